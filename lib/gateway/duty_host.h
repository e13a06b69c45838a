/// \file
/// Duties of this host, if the settings list any.

#ifndef TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_
#define TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_

#include <memory>
#include <vector>

#include "teaselhill/duties/duty_runner.h"
#include "teaselhill/gateway/daemon.h"
#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/memory_budget.h"

namespace teaselhill::gateway {

/// Used on the thread of `loop`. Without duties it does nothing.
class DutyHost {
 public:
  DutyHost(const GatewaySettings& settings,
           Adapter& adapter,
           net::EventLoop& loop,
           net::MemoryBudget& memory_budget,
           Logger& logger,
           Metrics& metrics,
           std::vector<std::unique_ptr<duties::Duty>> duties);

  void OnHosts(const std::vector<HostRecord>& records);
  void StartDrain();

 private:
  std::unique_ptr<duties::DutyRunner> runner_;  ///< null: no duties
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_DUTY_HOST_H_
