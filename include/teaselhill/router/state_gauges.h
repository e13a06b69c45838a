/// \file
/// Gauges of a host's decision state for operators.

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

/// What a host shows of itself at one moment.
struct HostState {
  bool ready = false;
  bool draining = false;
  size_t open_requests = 0;
  admission::QueueStats queue;
  std::map<std::string, double> members;    ///< other hosts by state
  std::map<std::string, double> upstreams;  ///< by state, all domains
  std::vector<membership::DomainStatus> domains;
  double limit_share = 1;  ///< share of the listed hosts that is reachable
  LogOffset config_next_offset = 0;
  services::LogLag config_lag;
  services::LogLag claims_lag;
  claims::ClaimStats claims;
  retry::CrashCounts crashes;
  bool host_list_reachable = false;
  bool holds_order_lease = false;
};

/// Time since the log last answered a read; zero before the first answer.
Duration LogSilence(const services::LogLag& lag, TimePoint now);

/// Sets the gauges of `/metrics`.
void ExportState(const HostState& state, TimePoint now, Metrics& metrics);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_STATE_GAUGES_H_
