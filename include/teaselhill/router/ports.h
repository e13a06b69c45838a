/// \file
/// Messages between the control thread and the traffic threads.

#ifndef TEASELHILL_ROUTER_PORTS_H_
#define TEASELHILL_ROUTER_PORTS_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/net/http_types.h"
#include "teaselhill/router/caller_request.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::router {

/// Order to send a request to an upstream once.
struct AttemptOrder {
  RequestId request = 0;
  int attempt = 0;  ///< numbered from 0 in each request
  std::string upstream;
  std::string url;  ///< scheme, address and port
  /// Tokens that the caller has already; the engine leaves them out.
  uint64_t resume_offset = 0;
  /// Set for requests that must not be sent twice.
  bool fresh_connection = false;
  int engine_priority = 9;  ///< 0 is the most urgent
  /// The upstream is another host of the system, which holds the key.
  bool to_host = false;
};

/// How an attempt ended, as the traffic thread saw it.
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
  /// Tokens that the caller has, over all attempts.
  uint64_t delivered_tokens = 0;
};

/// A whole answer that is kept for callers who send again.
struct KeptAnswer {
  int status = 200;
  net::Headers headers;
  std::string body;
};

/// What the control thread tells the traffic threads. Callable from the control
/// thread; carried out on the thread that holds the request.
class TrafficPort {
 public:
  virtual ~TrafficPort() = default;
  virtual void StartAttempt(int worker, const AttemptOrder& order) = 0;
  virtual void CancelAttempt(int worker, RequestId request, int attempt) = 0;

  /// Answers with an error and forgets the request.
  virtual void Fail(int worker,
                    RequestId request,
                    const Error& error,
                    Duration retry_after) = 0;

  /// Answers with an answer that was kept, and forgets the request.
  virtual void Replay(int worker,
                      RequestId request,
                      std::shared_ptr<const KeptAnswer> answer) = 0;

  /// Forgets a request whose caller has gone; its attempts are cancelled.
  virtual void Drop(int worker, RequestId request) = 0;

  /// Answers a request for a single-use token.
  virtual void GiveToken(int worker,
                         RequestId request,
                         const std::string& token) = 0;
};

struct TokenProgress {
  RequestId request = 0;
  int attempt = 0;
  uint32_t tokens = 0;
};

/// What the traffic threads tell the control thread. The answer of a complete
/// attempt has been delivered by the time OnAttemptEnded() is called.
class ControlPort {
 public:
  virtual ~ControlPort() = default;
  virtual void OnArrived(RequestInfo info) = 0;
  virtual void OnFirstToken(RequestId request, int attempt) = 0;

  /// Tokens since the last report of each stream, at most every 100 ms.
  virtual void OnProgress(std::vector<TokenProgress> progress) = 0;

  /// `answer` is set for a complete answer that has to be kept.
  virtual void OnAttemptEnded(AttemptEnd end,
                              std::shared_ptr<const KeptAnswer> answer) = 0;
  virtual void OnCallerGone(RequestId request) = 0;
  virtual void OnTokenWanted(int worker,
                             RequestId request,
                             const std::string& customer) = 0;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_PORTS_H_
