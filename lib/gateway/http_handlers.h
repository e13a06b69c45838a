/// \file
/// Handlers of the gateway's listeners other than the one for callers.

#ifndef TEASELHILL_LIB_GATEWAY_HTTP_HANDLERS_H_
#define TEASELHILL_LIB_GATEWAY_HTTP_HANDLERS_H_

#include <memory>
#include <optional>
#include <utility>

#include "teaselhill/gateway/gateway.h"
#include "teaselhill/net/error_response.h"

namespace teaselhill::gateway {

/// Responds to readiness checks on every path.
class ReadinessHandler : public net::HttpHandler {
 public:
  explicit ReadinessHandler(const SharedState& shared)
      : shared_state_(shared) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    const bool ready = shared_state_.Ready();
    response->Respond(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                      ready ? "ready\n" : "not ready\n");
  }

 private:
  const SharedState& shared_state_;
};

class MetricsHandler : public net::HttpHandler {
 public:
  explicit MetricsHandler(const Metrics& metrics) : metrics_(metrics) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    response->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_.Exposition());
  }

 private:
  const Metrics& metrics_;
};

/// Serves requests of hosts that are cut from all upstreams. Used on the
/// traffic thread.
class RelayHandler : public net::HttpHandler {
 public:
  explicit RelayHandler(Gateway& gateway) : gateway_(gateway) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    std::optional<RelayOrigin> origin = TakeRelayOrigin(&request.headers);
    const bool from_fleet =
        gateway_.relay_peers().IsFleetAddress(request.remote_address);
    if (!origin || !from_fleet)
      return Refuse({ResultCode::kUnknownPath, "for hosts of the fleet only"},
                    *response);
    gateway_.HandleRelayed(std::move(request), std::move(*origin),
                           std::move(response));
  }

 private:
  static void Refuse(const Error& error, net::ResponseWriter& response) {
    response.Respond(Describe(error.code).http_status,
                     net::ErrorHeaders(error, Duration::zero()),
                     net::ErrorBody(error));
  }

  Gateway& gateway_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_HTTP_HANDLERS_H_
