/// \file
/// Gauges of a host's state for operators.

#ifndef TEASELHILL_ROUTER_STATE_GAUGES_H_
#define TEASELHILL_ROUTER_STATE_GAUGES_H_

#include <map>
#include <string>
#include <vector>

#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/claims/claim_table.h"
#include "teaselhill/membership/member_table.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/retry/crash_tracker.h"
#include "teaselhill/services/log_tail.h"

namespace teaselhill::router {

/// Snapshot of a host's state for operators.
struct HostState {
  bool ready = false;
  bool draining = false;
  size_t open_requests = 0;
  admission::QueueStats queue;
  std::map<std::string, double> members;    ///< peers by state
  std::map<std::string, double> upstreams;  ///< by state, all domains
  std::vector<membership::DomainStatus> domains;
  double limit_share = 1;  ///< reachable fraction of the listed hosts
  LogOffset config_next_offset = 0;
  services::LogLag config_lag;
  services::LogLag claims_lag;
  claims::ClaimStats claims;
  retry::CrashCounts crashes;
  bool host_list_reachable = false;
  bool holds_order_lease = false;
};

/// Returns the time since the log last answered a read, or zero before the
/// first answer.
Duration TimeSinceLogAnswer(const services::LogLag& lag, TimePoint now);

/// Sets the gauges that `/metrics` exports.
void ExportState(const HostState& state, TimePoint now, Metrics& metrics);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_STATE_GAUGES_H_
