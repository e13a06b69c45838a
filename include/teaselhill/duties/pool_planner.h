/// \file
/// Orders of servers by demand.

#ifndef TEASELHILL_DUTIES_POOL_PLANNER_H_
#define TEASELHILL_DUTIES_POOL_PLANNER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/pool_load.h"
#include "teaselhill/duties/pool_sizing.h"
#include "teaselhill/duties/pool_spec.h"

namespace teaselhill::duties {

/// Why an order is sent.
enum class PoolReason {
  kShortage,  ///< fewer servers than the present demand needs
  kRaise,     ///< more servers for bursts or losses that may come
  kRestore,   ///< servers of an earlier order are missing, or were reclaimed
  kUnknown,   ///< an earlier call failed and may have taken effect
  kLower,     ///< fewer servers are enough
};
std::string_view PoolReasonName(PoolReason reason);

struct PoolPlannerOptions {
  /// No order of a subject and kind is reversed within this time, but for a
  /// shortage.
  Duration reversal_time = std::chrono::seconds(8);
  /// For this time a lower target must hold before it is ordered.
  Duration lower_delay = std::chrono::seconds(4);
  /// Least change, as a part of the ordered servers, that is worth an order.
  double raise_deadband = 0.1;
  double lower_deadband = 0.12;
  double reclaimable_lower_deadband = 0.2;
  int min_reclaimable_change = 2;
  /// Time between two orders that lower one service.
  Duration lower_period = std::chrono::seconds(1);
  /// Part of the servers of one subject and kind that one order takes away.
  double max_lower_part = 0.25;
  /// Time from the first work that is seen to the first order that lowers.
  Duration settle_time = std::chrono::seconds(6);
  /// For this time a new holder lowers nothing.
  Duration acquired_time = std::chrono::seconds(8);
  Duration order_period = std::chrono::milliseconds(250);
  /// Time from a refusal for lack of servers to the next try.
  Duration unavailable_time = std::chrono::seconds(3);
  /// Time from a call without an answer to its repetition.
  Duration unknown_time = std::chrono::milliseconds(1500);
};

/// One order and the figures that decided on it.
struct PlannedOrder {
  PoolOrder order;
  PoolReason reason = PoolReason::kRaise;
  int previous = 0;  ///< ordered or present before
  int present = 0;   ///< ready, of this subject and kind
  int ready = 0;     ///< of the service, of both kinds
  PoolFigures figures;
  PoolTarget target;
};

/// What is known of one service, for logs and gauges.
struct PoolStatus {
  std::string service;
  PoolFigures figures;
  PoolTarget target;
  std::vector<PoolDomain> present;
  int ready = 0;
  bool has_work = false;
};

/// Decides on the servers of all services that have a pool. Deterministic: the
/// time is an argument and never decreases. At most one order per call of
/// Plan(); of each subject and kind, one order is under way at a time.
class PoolPlanner {
 public:
  explicit PoolPlanner(PoolPlannerOptions options = {});
  ~PoolPlanner();

  /// Begins anew with the texts that earlier holders kept, oldest first.
  /// Without any, the servers that are present count as ordered.
  void Reset(const std::vector<std::string>& kept, TimePoint now);

  void OnReport(const HostReport& report, TimePoint now);
  void OnServers(const std::vector<PoolService>& services, TimePoint now);

  /// Returns the next order to send, if any.
  std::optional<PlannedOrder> Plan(TimePoint now);

  /// A planned order has ended, or could not be sent now.
  void OnOutcome(const PoolOrder& order, CallOutcome outcome, TimePoint now);
  void OnNotSent(const PoolOrder& order, TimePoint now);

  /// A text for the next holder.
  std::string Snapshot() const;

  std::vector<PoolStatus> Status() const;

 private:
  class ServicePlanner;

  PoolPlannerOptions options_;
  /// What an earlier holder kept of services that are not known yet.
  std::string kept_;
  TimePoint reset_at_{};
  TimePoint last_order_at_{};
  std::map<std::string, std::unique_ptr<ServicePlanner>> services_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_POOL_PLANNER_H_
