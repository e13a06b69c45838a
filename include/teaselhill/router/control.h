/// \file
/// The control thread, which makes all decisions of a host.

#ifndef TEASELHILL_ROUTER_CONTROL_H_
#define TEASELHILL_ROUTER_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "teaselhill/metrics/metrics.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/router/ports.h"
#include "teaselhill/router/settings.h"
#include "teaselhill/router/tls_setup.h"
#include "teaselhill/router/traffic_worker.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Owns all decision state and connects it to the platform, the other hosts and
/// the traffic threads.
class Control : public ControlPort {
 public:
  Control(const Settings& settings,
          const TlsSetup& tls,
          PublishedState& shared,
          TrafficPort& traffic,
          Logger& logger,
          Metrics& metrics);
  ~Control() override;

  /// Binds the peer and admin listeners and starts all timers.
  Status Start();

  net::EventLoop& loop();

  /// Rejects new requests and announces to the peers that this host is leaving.
  /// Calls `done` once no request is in flight and the platform's load balancer
  /// had time to observe the drain, or once the drain timeout has passed. All
  /// requests are answered shortly before that. `traffic` must outlive this.
  void Drain(DrainPort& traffic, std::function<void()> done);

  // ControlPort; callable from any thread.
  void OnArrived(RequestInfo info) override;
  void OnFirstToken(RequestId request, int attempt) override;
  void OnProgress(std::vector<TokenProgress> progress) override;
  void OnAttemptEnded(AttemptEnd end,
                      std::shared_ptr<const StoredAnswer> answer) override;
  void OnCallerDisconnected(RequestId request) override;
  void OnIdempotencyTokenRequested(int worker,
                                   RequestId request,
                                   const std::string& customer) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CONTROL_H_
