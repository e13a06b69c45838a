/// \file
/// Messages between the control thread and the traffic threads.

#ifndef TEASELHILL_ROUTER_PORTS_H_
#define TEASELHILL_ROUTER_PORTS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/net/http_types.h"
#include "teaselhill/router/caller_request.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::router {

/// Command to send a request to an upstream once.
struct AttemptCommand {
  RequestId request = 0;
  int attempt = 0;  ///< numbered from 0 in each request
  std::string upstream;
  std::string url;  ///< scheme, address and port
  /// Tokens that were already delivered to the caller, as known to the control
  /// thread.
  uint64_t resume_offset = 0;
  int engine_priority = 9;  ///< 0 is the most urgent
  /// Whether the destination is not an upstream, but the host that holds the
  /// claim of the request's idempotency key.
  bool to_host = false;
  /// Silent attempt that is paused while this one may still fail. It is
  /// cancelled when this one delivers something.
  std::optional<int> replaces;
};

/// The end of an attempt as observed by the traffic thread.
struct AttemptEnd {
  RequestId request = 0;
  int attempt = 0;
  bool complete = false;  ///< the whole answer arrived
  ResultCode code = ResultCode::kOk;
  std::string detail;
  int status = 0;  ///< HTTP status, 0 if no response head arrived
  Duration retry_after{};
  bool may_have_been_sent = false;
  uint64_t tokens = 0;  ///< tokens received in this attempt
  /// Tokens delivered to the caller by all attempts together.
  uint64_t delivered_tokens = 0;
};

/// A complete answer, stored for callers that retry.
struct StoredAnswer {
  int status = 200;
  net::Headers headers;
  std::string body;
};

/// Commands from the control thread to the traffic threads. Called on the
/// control thread; executed on the thread that serves the request.
class TrafficPort {
 public:
  virtual ~TrafficPort() = default;
  virtual void StartAttempt(int worker, const AttemptCommand& command) = 0;
  virtual void CancelAttempt(int worker, RequestId request, int attempt) = 0;

  /// Goes on with a paused attempt whose replacement was not run.
  virtual void ResumeAttempt(int worker, RequestId request, int attempt) = 0;

  /// Responds with an error and removes the request.
  virtual void FailRequest(int worker,
                           RequestId request,
                           const Error& error,
                           Duration retry_after) = 0;

  /// Responds with a stored answer and removes the request.
  virtual void ReplayAnswer(int worker,
                            RequestId request,
                            std::shared_ptr<const StoredAnswer> answer) = 0;

  /// Cancels the attempts of a request whose caller disconnected, and removes
  /// the request.
  virtual void CancelRequest(int worker, RequestId request) = 0;

  /// Responds to a request for a single-use token.
  virtual void SendIdempotencyToken(int worker,
                                    RequestId request,
                                    const std::string& token) = 0;
};

/// Tokens received by an attempt since its previous report.
struct TokenProgress {
  RequestId request = 0;
  int attempt = 0;
  uint32_t tokens = 0;
};

/// Events from the traffic threads to the control thread. The answer of a
/// complete attempt has been written to the caller by the time OnAttemptEnded()
/// is called.
class ControlPort {
 public:
  virtual ~ControlPort() = default;
  virtual void OnArrived(RequestInfo info) = 0;
  virtual void OnFirstToken(RequestId request, int attempt) = 0;

  /// Reports the tokens that each running attempt has received since its
  /// previous report. Called at most every 100 ms by each traffic thread.
  virtual void OnProgress(std::vector<TokenProgress> progress) = 0;

  /// `answer` is the complete answer to store for retries, or null if there is
  /// none to store.
  virtual void OnAttemptEnded(AttemptEnd end,
                              std::shared_ptr<const StoredAnswer> answer) = 0;
  virtual void OnCallerDisconnected(RequestId request) = 0;
  virtual void OnIdempotencyTokenRequested(int worker,
                                           RequestId request,
                                           const std::string& customer) = 0;
};

/// What a drain needs of the traffic threads.
class DrainPort {
 public:
  virtual ~DrainPort() = default;

  /// Requests whose answer has not been written, and after EndConnections()
  /// also those whose answer has not left its socket.
  virtual size_t open_requests() const = 0;

  /// Refuses requests that have not arrived whole, and lets each connection end
  /// with its last answer.
  virtual void EndConnections() = 0;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_PORTS_H_
