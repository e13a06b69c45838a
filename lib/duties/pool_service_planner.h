/// \file
/// Orders of servers of one service.

#ifndef TEASELHILL_LIB_DUTIES_POOL_SERVICE_PLANNER_H_
#define TEASELHILL_LIB_DUTIES_POOL_SERVICE_PLANNER_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/duties/pool_planner.h"

namespace teaselhill::duties {

/// Time since `time`; the longest possible one if there is none.
inline Duration Since(const std::optional<TimePoint>& time, TimePoint now) {
  return time ? now - *time : Duration::max();
}

inline bool IsFuture(const std::optional<TimePoint>& time, TimePoint now) {
  return time && *time > now;
}

/// Least change of `servers` that is worth an order.
inline int Deadband(double part, int servers, int least) {
  return std::max(least, static_cast<int>(std::lround(part * servers)));
}

/// Plans the orders of one service.
class PoolPlanner::ServicePlanner {
 public:
  /// `kept`: what an earlier holder kept of the service; null if nothing.
  ServicePlanner(const PoolPlannerOptions& options,
                 const std::string& service,
                 const nlohmann::json& kept,
                 TimePoint now);

  void OnReport(const std::string& host,
                const std::vector<const EngineWork*>& rows,
                TimePoint now) {
    load_.OnReport(host, rows, now);
  }
  void OnServers(const PoolService& service, TimePoint now);
  /// Updates the figures and the target.
  void Update(TimePoint now);

  struct Candidate {
    PlannedOrder planned;
    int priority = 0;  ///< the lowest goes first
  };
  std::optional<Candidate> Choose(TimePoint now);
  void OnSent(const PlannedOrder& planned, TimePoint now);
  void OnOutcome(const PoolOrder& order, CallOutcome outcome, TimePoint now);
  void OnNotSent(const PoolOrder& order);

  nlohmann::json Snapshot() const;
  PoolStatus Status() const;

 private:
  /// One kind of servers in one failure domain.
  struct Subject {
    int ordered = 0;   ///< last order that was or may have been accepted; after
                       ///< a reclaim, what was left
    int standing = 0;  ///< the same, but a reclaim does not end it
    bool has_order = false;
    bool confirmed = true;  ///< false: a call ended without an answer
    std::optional<int> under_way;
    std::optional<TimePoint> sent_at;
    std::optional<TimePoint> raised_at;
    std::optional<TimePoint> lowered_at;
    std::optional<TimePoint> not_before;
    /// Reclaimable servers are not ordered again until then.
    std::optional<TimePoint> unavailable_until;
    /// The last order was refused for lack of such servers.
    bool none_available = false;
    /// Since when the target has been lower by more than the deadband.
    std::optional<TimePoint> lower_since;
    std::optional<TimePoint> deviates_since;  ///< present servers from ordered
    int repeats = 0;  ///< of the same order because servers are missing
    int unanswered = 0;

    int highest() const {
      return std::max({ordered, standing, under_way.value_or(0)});
    }
  };
  struct Domain {
    PoolDomain present;
    Subject on_demand;
    Subject reclaimable;
    std::optional<TimePoint> empty_since;
    bool lost = false;
  };

  Subject& SubjectOf(Domain& domain, bool reclaimable) const {
    return reclaimable ? domain.reclaimable : domain.on_demand;
  }
  static int PresentOf(const Domain& domain, bool reclaimable) {
    return reclaimable ? domain.present.reclaimable : domain.present.on_demand;
  }
  void FollowSubject(int present, Subject& subject, TimePoint now) const;
  void FollowReclaim(Domain& domain, TimePoint now) const;
  bool IsBooting(const Subject& subject, TimePoint now) const;
  /// Ready servers, and those that are expected from recent orders.
  int ReadyOrBooting(TimePoint now) const;
  int ReadyFor(Duration time, TimePoint now) const;
  int WantedOf(const Domain& domain,
               const DomainTarget& target,
               bool reclaimable) const;
  /// Reclaimable servers that are tried for where none were to be had.
  int EvenShare(const Domain& domain) const;
  /// Whether orders may lower the number of servers now.
  bool MayLower(TimePoint now) const;
  void FollowLowerTargets(TimePoint now);

  std::optional<Candidate> Consider(const std::string& name,
                                    Domain& domain,
                                    const DomainTarget& target,
                                    bool reclaimable,
                                    TimePoint now) const;
  std::optional<Candidate> ConsiderRaise(const Domain& domain,
                                         const Subject& subject,
                                         int wanted,
                                         bool reclaimable,
                                         TimePoint now) const;
  std::optional<Candidate> ConsiderRepeat(const Domain& domain,
                                          const Subject& subject,
                                          bool reclaimable,
                                          TimePoint now) const;
  std::optional<Candidate> ConsiderLower(const Domain& domain,
                                         const Subject& subject,
                                         int wanted,
                                         bool reclaimable,
                                         TimePoint now) const;

  const PoolPlannerOptions& options_;
  std::string service_;
  PoolSpec spec_;
  PoolLoad load_;
  TimePoint begun_at_;
  std::map<std::string, Domain> domains_;
  PoolTarget target_;
  std::optional<TimePoint> lowered_at_;
  /// Last refusal for lack of reclaimable servers, in any domain.
  std::optional<TimePoint> none_available_at_;
  int ready_ = 0;
  int slots_ = 0;
  double slots_per_server_ = 1;
  /// Numbers of ready servers over the last seconds.
  std::deque<std::pair<TimePoint, int>> ready_history_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_LIB_DUTIES_POOL_SERVICE_PLANNER_H_
