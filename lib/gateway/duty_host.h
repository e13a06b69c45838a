/// \file
/// Duties of this host, if the settings list any.

#ifndef TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_
#define TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_

#include <memory>
#include <vector>

#include "teaselhill/duties/duty_runner.h"
#include "teaselhill/duties/usage_duty.h"
#include "teaselhill/gateway/daemon.h"
#include "teaselhill/gateway/duty_poller.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/peer_calls.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/memory_budget.h"

namespace teaselhill::gateway {

/// What the duties use of their host; all must outlive them.
struct DutyEnvironment {
  Adapter& adapter;
  net::EventLoop& loop;
  net::MemoryBudget& memory_budget;
  PeerCalls& calls;
  Logger& logger;
  EventLog& log;
  Metrics& metrics;
  const SharedState& state;
};

/// Used on the thread of the environment's loop. Without duties it does
/// nothing.
class DutyHost {
 public:
  DutyHost(const GatewaySettings& settings,
           const DutyEnvironment& environment,
           HostReportSources sources);

  void OnHosts(const std::vector<HostRecord>& records);
  void StartDrain();

 private:
  // Owned by the runner; null if it does not have them.
  DutyPoller* poller_ = nullptr;
  duties::UsageDuty* usage_ = nullptr;
  std::unique_ptr<duties::DutyRunner> runner_;  ///< null: no duties
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_
