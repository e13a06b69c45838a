/// \file
/// Budgets of the gateway's loops for unfinished messages.

#ifndef TEASELHILL_LIB_GATEWAY_HOST_MEMORY_H_
#define TEASELHILL_LIB_GATEWAY_HOST_MEMORY_H_

#include "teaselhill/gateway/memory_bounds.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/support/allocator.h"

namespace teaselhill::gateway {

/// Must outlive both loops, whose connections use the budgets.
class HostMemory {
 public:
  HostMemory(size_t max_memory_bytes,
             net::EventLoop& traffic_loop,
             net::EventLoop& control_loop);

  net::MemoryBudget& traffic() { return traffic_; }
  net::MemoryBudget& control() { return control_; }

  /// Sets the gauges, and gives free memory back to the system after messages
  /// held much. Call periodically, on any one thread.
  void Report(Metrics& metrics);

 private:
  net::MemoryBudget traffic_;
  net::MemoryBudget control_;
  MemoryReleaseSchedule release_schedule_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_HOST_MEMORY_H_
