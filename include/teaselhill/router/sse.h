/// \file
/// Splits a stream of server-sent events and counts its tokens.

#ifndef TEASELHILL_ROUTER_SSE_H_
#define TEASELHILL_ROUTER_SSE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselhill/support/result.h"

namespace teaselhill::router {

/// Emits only complete events, so that an interrupted stream can be resumed at
/// exactly the next token of the caller's answer.
class SseSplitter {
 public:
  /// Complete events found by one call of Feed().
  struct Batch {
    std::string events;  ///< complete events, without `[DONE]`
    uint32_t tokens = 0;
    bool done = false;  ///< `data: [DONE]` has arrived
    /// Event by which the engine reports that its answer has failed, empty if
    /// none has arrived. It is no part of `events`; what follows it is dropped.
    std::string error_event;
  };

  /// Adds the next data of the stream. Errors: kProtocolError, if the event
  /// that is still incomplete after this data exceeds the size limit.
  Result<Batch> Feed(std::string_view data);

  uint64_t total_tokens() const { return total_tokens_; }

  /// Bytes of the event that is still incomplete.
  size_t held_bytes() const { return partial_event_.size(); }

 private:
  std::string partial_event_;
  uint64_t total_tokens_ = 0;
  bool done_ = false;
  bool failed_ = false;  ///< an error event has arrived
};

/// Whether the event carries a non-empty `content`, which counts as one token.
bool CarriesToken(std::string_view event);

/// Whether the event is named `error`, or its data is an object that begins
/// with an `error`.
bool ReportsError(std::string_view event);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_SSE_H_
