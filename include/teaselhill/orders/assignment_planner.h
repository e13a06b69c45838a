/// \file
/// Plans which engines of a failure domain serve which models.

#ifndef TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_
#define TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

struct PlannerOptions {
  /// A model has a shortage when its demand exceeds this fraction of its
  /// capacity.
  double max_load_fraction = 0.85;
  /// An engine may be moved away from a model only if the model's demand is at
  /// most this fraction of the model's capacity without that engine.
  double max_donor_load_fraction = 0.6;
  /// A shortage must last this long before an engine is moved.
  Duration min_shortage_duration = std::chrono::seconds(20);
  /// An engine is moved for a shortage only if at least this time has passed
  /// since the engine's last move ended and since the last shortage of each
  /// model that the engine serves. A move that timed out or was discarded does
  /// not count as a last move.
  Duration min_time_between_moves = std::chrono::minutes(5);
  /// An engine is moved for a shortage only if, within this time after the
  /// move's start, the engine can produce more tokens for the shortage than it
  /// fails to produce while loading the model.
  Duration gain_horizon = std::chrono::minutes(10);
  /// An engine is not moved for a shortage if a model that it serves would have
  /// fewer replicas than this.
  int min_replicas = 2;
  size_t max_concurrent_moves = 1;  ///< engines moved at a time in the domain
  /// An order whose effect the engine's state does not show is retried only
  /// after this time, and only if the state was requested after the order was
  /// sent.
  Duration order_timeout = std::chrono::seconds(30);
  /// A move that is not complete within this time after its start is abandoned.
  Duration move_timeout = std::chrono::minutes(10);
};

/// The state that an engine reports (`GET /v1/state`) and the engine's load.
/// `state_read_at` is the time at which the state was requested.
struct EngineState {
  std::string name;
  std::vector<std::string> models;
  bool loading = false;
  bool reachable = true;
  int running_requests = 0;
  double tokens_per_second = 0;  ///< capacity
  TimePoint state_read_at;
};

struct PlannerInput {
  std::vector<EngineState> engines;
  std::vector<config::UpstreamAssignment> assignments;
  std::map<std::string, double> demand;  ///< tokens/s by model
  /// Time to fetch and load a model, as last observed.
  Duration load_time = std::chrono::seconds(30);
  /// Number of fetches that this failure domain may start now, see FetchBudget:
  /// the weight store's rate limit is divided by the number of domains that
  /// fetch.
  int fetches_allowed = 1;
};

/// The actions to take now. An engine in `engines_to_drain` must get no new
/// requests. `orders` contains an order for such an engine only if the engine's
/// `running_requests` is 0.
struct AssignmentPlan {
  std::vector<std::string> engines_to_drain;
  std::vector<Order> orders;
};

/// The planner of one failure domain. Only the lease holder acts on its plans.
class AssignmentPlanner {
 public:
  explicit AssignmentPlanner(PlannerOptions options) : options_(options) {}

  /// Returns the plan for the present state of the domain.
  AssignmentPlan MakePlan(const PlannerInput& input, TimePoint now);

  /// Called when the order was sent at `now`. The engine gets no other order
  /// until its state has been requested after `now` and either shows the effect
  /// of this order or PlannerOptions::order_timeout has passed.
  void OnOrderSent(const Order& order, TimePoint now);

  /// Removes all moves in progress and restarts the measured duration of each
  /// shortage.
  /// Called when this host acquires or loses the order lease.
  void DiscardMoves();

 private:
  struct EngineMove {
    std::set<std::string> wanted;
    TimePoint started_at;
  };
  struct SentOrder {
    Order order;
    TimePoint sent_at;
  };
  struct ModelLoad {
    double capacity = 0;
    int replicas = 0;
  };

  void RemoveStaleState(const PlannerInput& input);
  void RemoveFinishedMoves(const PlannerInput& input, TimePoint now);
  void StartAssignedMoves(const PlannerInput& input, TimePoint now);
  void StartShortageMove(const PlannerInput& input, TimePoint now);
  std::map<std::string, ModelLoad> ComputeLoads(
      const PlannerInput& input) const;
  const EngineState* PickDonor(const PlannerInput& input,
                               const std::map<std::string, ModelLoad>& loads,
                               const std::string& model,
                               TimePoint now) const;
  bool CanSpare(const EngineState& engine,
                const PlannerInput& input,
                const std::map<std::string, ModelLoad>& loads,
                TimePoint now) const;
  bool IsWorthwhile(const EngineState& engine,
                    double shortage,
                    Duration load_time) const;
  bool CanSendOrder(const EngineState& engine, TimePoint now) const;

  PlannerOptions options_;
  std::map<std::string, EngineMove> moves_;               // by engine
  std::map<std::string, TimePoint> last_move_ended_at_;   // by engine
  std::map<std::string, TimePoint> shortage_started_at_;  // by model
  std::map<std::string, TimePoint> last_shortage_at_;     // by model
  std::map<std::string, SentOrder> last_orders_;          // by engine
};

/// The failure domain's share of the weight store's rate limit.
class FetchBudget {
 public:
  explicit FetchBudget(double fetches_per_minute)
      : fetches_per_minute_(fetches_per_minute) {}

  /// Returns how many fetches may start now (0 or 1) if `domains` failure
  /// domains share the weight store's rate limit.
  int FetchesAllowed(size_t domains, TimePoint now) const;
  void OnFetch(TimePoint now) { last_fetch_at_ = now; }
  /// Called when the store refused a fetch with 429, because other hosts used
  /// up the rate limit. The next fetch waits as long as after a fetch.
  void OnRefused(TimePoint now) { last_fetch_at_ = now; }

 private:
  double fetches_per_minute_;
  std::optional<TimePoint> last_fetch_at_;
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_
