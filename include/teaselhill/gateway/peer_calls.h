/// \file
/// Calls from host to host.

#ifndef TEASELHILL_GATEWAY_PEER_CALLS_H_
#define TEASELHILL_GATEWAY_PEER_CALLS_H_

#include <functional>
#include <string>

#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Used on one event loop, on whose thread callbacks run.
class PeerCalls {
 public:
  virtual ~PeerCalls() = default;

  /// Answers the calls of other hosts to one path; returns the response body,
  /// or an error for a call that cannot be decoded.
  using CallHandler = std::function<Result<std::string>(const std::string&)>;
  virtual void Serve(const std::string& path, CallHandler handler) = 0;

  /// Calls a path of one peer. `callback` gets the response body, or an error
  /// after `timeout` at the latest.
  using CallCallback = std::function<void(Result<std::string>)>;
  virtual void Call(const std::string& address,
                    const std::string& path,
                    std::string body,
                    Duration timeout,
                    CallCallback callback) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_CALLS_H_
