/// \file
/// Builds the caller's answer from the events of an engine.

#ifndef TEASELHILL_ROUTER_ANSWER_H_
#define TEASELHILL_ROUTER_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "teaselhill/net/http_server.h"
#include "teaselhill/router/ports.h"

namespace teaselhill::router {

/// Writes a streamed answer event by event, or collects the events into one
/// response body. The answer may come from several attempts, each of which
/// resumes where the previous one was interrupted.
class AnswerWriter {
 public:
  AnswerWriter(std::shared_ptr<net::ResponseWriter> response,
               bool stream,
               bool store_answer,
               std::string request_id);

  /// Adds complete events that carry `tokens` tokens in total. Returns whether
  /// an answer that is collected for its caller still has an allowed size.
  bool AddEvents(std::string events, uint32_t tokens);

  /// Ends a complete answer.
  void Finish();

  /// Ends a started stream with an error event, or sends the error as the whole
  /// response if the answer has not started.
  void Fail(const Error& error, Duration retry_after);

  /// Sends a complete response.
  void Respond(int status, net::Headers headers, std::string body);

  void Replay(const StoredAnswer& answer);
  void DetachCaller() { response_.reset(); }

  uint64_t tokens() const { return tokens_; }
  bool started() const { return started_; }
  net::ResponseWriter* response() { return response_.get(); }

  /// Start, continue and end an event stream that is passed through. An event
  /// is written when it is complete, so that an error event can follow at any
  /// time.
  void StartEventStream(int status, net::Headers headers);
  bool AddEventStream(std::string_view data);  ///< false: event too large
  void FinishEventStream();

  /// Bytes that are kept until the answer is complete, and those of them that
  /// are only kept for callers that retry.
  size_t held_bytes() const {
    return content_.size() + partial_event_.size() + stored_bytes();
  }
  size_t stored_bytes() const { return stored_body_.size(); }

  /// Does not store the answer.
  void DropStored();

  /// Forgets what the caller has not received. Returns whether the answer has
  /// to begin anew.
  bool DropCollected();

  /// Returns the stored answer, or null if it was not stored. Call once.
  std::shared_ptr<const StoredAnswer> TakeStoredAnswer();

 private:
  void StoreEvents(std::string_view data);
  void CollectContent(std::string_view events);
  std::string CompletionBody() const;

  std::shared_ptr<net::ResponseWriter> response_;
  bool stream_;
  bool store_answer_;
  std::string request_id_;
  bool started_ = false;
  uint64_t tokens_ = 0;
  uint64_t prompt_tokens_ = 0;
  std::string model_;
  std::string content_;
  std::string finish_reason_ = "stop";
  std::string partial_event_;  ///< of a stream that is passed through
  std::string stored_body_;
  std::shared_ptr<StoredAnswer> stored_answer_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_ANSWER_H_
