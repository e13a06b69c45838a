/// \file
/// Asks an upstream who it is.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_PROBER_H_
#define TEASELHILL_GATEWAY_UPSTREAM_PROBER_H_

#include <functional>
#include <string>

#include "teaselhill/gateway/loss_reviewer.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Sends health checks whose responses tell one process of an upstream from the
/// next. Used on the traffic thread.
class UpstreamProber {
 public:
  using Callback = std::function<void(const ProbeReport&)>;

  UpstreamProber(net::HttpClient& client,
                 const UpstreamProtocol& protocol,
                 Duration timeout)
      : client_(client), protocol_(protocol), timeout_(timeout) {}

  /// Calls `done` with the report within the timeout.
  void Probe(const UpstreamEntry& upstream,
             const std::string& health_path,
             Callback done);

 private:
  net::HttpClient& client_;
  const UpstreamProtocol& protocol_;
  Duration timeout_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_PROBER_H_
