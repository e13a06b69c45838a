/// \file
/// Decides which engine should serve which models.

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
  /// A model is short when its demand exceeds this share of its capacity.
  double high_load = 0.85;
  /// A model may lose an engine only when its load stays below this afterwards.
  double low_load = 0.6;
  /// A shortage must last this long before an engine is moved.
  Duration shortage_time = std::chrono::seconds(20);
  /// An engine that was moved stays as it is for at least this long, and a
  /// model that was short keeps its engines for as long afterwards.
  Duration min_stay = std::chrono::minutes(5);
  /// The gain over this time must exceed the capacity lost while loading.
  Duration horizon = std::chrono::minutes(10);
  int min_replicas = 2;
  size_t max_moves = 1;  ///< engines reloading at a time in the domain
  /// An order whose answer was lost is repeated only after the engine's own
  /// state has been read, and not sooner than this.
  Duration order_timeout = std::chrono::seconds(30);
  /// A move that is not done by then is given up.
  Duration move_timeout = std::chrono::minutes(10);
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
    std::set<std::string> wanted;
    TimePoint started;
  };
  struct SentOrder {
    Order order;
    TimePoint at;
  };
  struct ModelLoad {
    double capacity = 0;
    int replicas = 0;
  };

  void Prune(const PlannerInput& input);
  void FinishMoves(const PlannerInput& input, TimePoint now);
  void StartBindingMoves(const PlannerInput& input, TimePoint now);
  void StartShortageMove(const PlannerInput& input, TimePoint now);
  std::map<std::string, ModelLoad> Loads(const PlannerInput& input) const;
  const EngineState* PickDonor(const PlannerInput& input,
                               const std::map<std::string, ModelLoad>& loads,
                               const std::string& model,
                               TimePoint now) const;
  bool MaySpare(const EngineState& engine,
                const PlannerInput& input,
                const std::map<std::string, ModelLoad>& loads,
                TimePoint now) const;
  bool IsWorthwhile(const EngineState& engine,
                    double shortage,
                    Duration load_time) const;
  bool MayOrder(const EngineState& engine, TimePoint now) const;

  PlannerOptions options_;
  std::map<std::string, Move> moves_;             // by engine
  std::map<std::string, TimePoint> moved_at_;     // by engine
  std::map<std::string, TimePoint> short_since_;  // by model
  std::map<std::string, TimePoint> last_short_;   // by model
  std::map<std::string, SentOrder> order_sent_;   // by engine
};

/// The failure domain's part of the weight store's rate.
class FetchBudget {
 public:
  explicit FetchBudget(double fetches_per_minute) : rate_(fetches_per_minute) {}

  /// Fetches that may start now when `domains` failure domains share the rate.
  int Allowed(size_t domains, TimePoint now) const;
  void OnFetch(TimePoint now) { last_ = now; }
  /// The store refused with 429: others used the rate.
  void OnRefused(TimePoint now) { last_ = now; }

 private:
  double rate_;
  std::optional<TimePoint> last_;
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ASSIGNMENT_PLANNER_H_
