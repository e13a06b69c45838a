/// \file
/// Decides which engine should serve which models.

#ifndef TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_
#define TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

struct PlannerOptions {
  /// A model is short when its demand exceeds this share of its capacity.
  double high_load = 0.85;
  /// A model may lose an engine only when its load stays below this afterwards.
  double low_load = 0.6;
  /// A shortage must last this long before an engine is moved.
  Duration shortage_time = std::chrono::seconds(20);
  /// An engine that was moved stays as it is for at least this long.
  Duration min_stay = std::chrono::minutes(5);
  /// The gain over this time must exceed the capacity lost while loading.
  Duration horizon = std::chrono::minutes(10);
  int min_replicas = 2;
  size_t max_moves = 1;  ///< engines reloading at a time in the domain
  /// An order whose answer was lost is repeated only after the engine's own
  /// state has been read, and not sooner than this.
  Duration order_timeout = std::chrono::seconds(30);
};

/// The engine's own state (`GET /v1/state`) and load. `state_read` is when the
/// state was asked for.
struct EngineState {
  std::string name;
  std::vector<std::string> models;
  bool loading = false;
  bool up = true;
  int running = 0;
  double tokens_per_second = 0;  ///< capacity
  TimePoint state_read;
};

struct PlannerInput {
  std::vector<EngineState> engines;
  std::vector<config::UpstreamAssignment> assignments;
  std::map<std::string, double> demand;  ///< tokens/s by model
  /// Time to fetch and load a model, as last seen.
  Duration load_time = std::chrono::seconds(30);
  /// Fetches that this failure domain may start now: the weight store's limit
  /// divided by the number of domains that fetch.
  int fetches_allowed = 1;
};

/// What to do now. An engine in `drain` gets no new requests until its order is
/// done; its order appears once `running` is 0.
struct Plan {
  std::vector<std::string> drain;
  std::vector<Order> orders;
};

/// The planner of one failure domain. Only the lease holder acts on its plans.
class AssignmentPlanner {
 public:
  explicit AssignmentPlanner(PlannerOptions options) : options_(options) {}

  Plan Decide(const PlannerInput& input, TimePoint now);

  /// The order was sent at `now`. Its engine gets no other order before its
  /// state was read after this.
  void OnOrderSent(const Order& order, TimePoint now);

  /// Forgets moves under way, when another host became the order giver.
  void Reset();

 private:
  struct Move {
    std::string model;
    std::optional<TimePoint> sent;  // of the last order
    TimePoint started;
  };

  void FinishMoves(const PlannerInput& input, TimePoint now);
  void AddBinding(const PlannerInput& input, TimePoint now, Plan* plan);
  void AddShortage(const PlannerInput& input, TimePoint now);
  void AddMoves(const PlannerInput& input, TimePoint now, Plan* plan);

  PlannerOptions options_;
  std::map<std::string, Move> moves_;             // by engine
  std::map<std::string, TimePoint> moved_at_;     // by engine
  std::map<std::string, TimePoint> short_since_;  // by model
  std::map<std::string, TimePoint> order_sent_;   // by engine
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_
