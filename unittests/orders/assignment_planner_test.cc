/// \file
/// Guards against thrashing, too few replicas, retries of orders without
/// reading the engine's state, and reloads of engines that serve requests.

#include "teaselhill/orders/assignment_planner.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace teaselhill::orders {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

EngineState MakeEngine(std::string name, std::vector<std::string> models) {
  EngineState engine;
  engine.name = std::move(name);
  engine.models = std::move(models);
  engine.tokens_per_second = 1000;
  return engine;
}

/// Six engines: four serve model `a` and two serve model `b`.
PlannerInput MakeInput(double demand_a, double demand_b) {
  PlannerInput input;
  for (int i = 0; i < 6; ++i)
    input.engines.push_back(
        MakeEngine("e" + std::to_string(i), {i < 4 ? "a" : "b"}));
  input.demand = {{"a", demand_a}, {"b", demand_b}};
  return input;
}

/// A domain whose engines complete each order after `input.load_time`.
struct SimulatedDomain {
  AssignmentPlanner planner{PlannerOptions()};
  PlannerInput input;
  TimePoint now;
  int load_orders = 0;
  std::set<std::string> drained;
  std::map<std::string, std::pair<Order, TimePoint>> orders_in_progress;

  void Step(bool lose_order = false) {
    now += seconds(5);
    for (EngineState& engine : input.engines) {
      engine.state_read_at = now;
      const auto in_progress = orders_in_progress.find(engine.name);
      engine.loading = in_progress != orders_in_progress.end();
      if (engine.loading &&
          now - in_progress->second.second >= input.load_time) {
        const Order& order = in_progress->second.first;
        engine.models.clear();
        if (order.kind == OrderKind::kLoadModel)
          engine.models.push_back(order.model);
        engine.loading = false;
        orders_in_progress.erase(in_progress);
      }
    }
    now += seconds(1);
    const AssignmentPlan plan = planner.MakePlan(input, now);
    drained.insert(plan.engines_to_drain.begin(), plan.engines_to_drain.end());
    for (EngineState& engine : input.engines) {
      const bool drain =
          std::count(plan.engines_to_drain.begin(), plan.engines_to_drain.end(),
                     engine.name) > 0;
      engine.running_requests = drain ? 0 : 3;
    }
    for (const Order& order : plan.orders) {
      load_orders += order.kind == OrderKind::kLoadModel;
      planner.OnOrderSent(order, now);
      if (!lose_order)
        orders_in_progress[order.engine] = {order, now};
    }
  }
  int CountReplicas(const std::string& model) const {
    int count = 0;
    for (const EngineState& engine : input.engines)
      count += std::count(engine.models.begin(), engine.models.end(), model);
    return count;
  }
};

}  // namespace

TEST_CASE("an engine is moved only for a long shortage with a net gain") {
  const auto [demand_a, demand_b, load_seconds, fetches, moved] =
      GENERATE(table<double, double, int, int, bool>({
          {800, 1900, 30, 1, true},
          {800, 1600, 30, 1, false},   // within capacity
          {2500, 1900, 30, 1, false},  // model `a` needs all its engines
          {800, 1710, 60, 1, false},   // the gain is less than the loading cost
          {800, 1900, 30, 0, false},   // the weight store's rate is used up
          {800, 5000, 400, 1, false},  // loading takes most of gain_horizon
      }));
  INFO(demand_a << " " << demand_b << " " << load_seconds);
  AssignmentPlanner planner{PlannerOptions()};
  PlannerInput input = MakeInput(demand_a, demand_b);
  input.load_time = seconds(load_seconds);
  input.fetches_allowed = fetches;
  CHECK(planner.MakePlan(input, TimePoint()).engines_to_drain.empty());
  CHECK(
      planner.MakePlan(input, TimePoint(seconds(19))).engines_to_drain.empty());
  CHECK(planner.MakePlan(input, TimePoint(seconds(21)))
            .engines_to_drain.empty() == !moved);
}

TEST_CASE("an engine with running requests gets no order until it is drained") {
  AssignmentPlanner planner{PlannerOptions()};
  PlannerInput input = MakeInput(800, 1900);
  for (EngineState& engine : input.engines)
    engine.running_requests = 1;
  planner.MakePlan(input, TimePoint());
  const AssignmentPlan plan = planner.MakePlan(input, TimePoint(seconds(30)));
  REQUIRE(plan.engines_to_drain.size() == 1);
  CHECK(plan.orders.empty());
  input.engines[0].running_requests = 0;
  CHECK(planner.MakePlan(input, TimePoint(seconds(31))).orders.size() == 1);
}

TEST_CASE(
    "an order without response is retried only after the timeout and a new "
    "reading of the engine's state") {
  AssignmentPlanner planner{PlannerOptions()};
  PlannerInput input = MakeInput(800, 1900);
  planner.MakePlan(input, TimePoint());
  TimePoint now{seconds(30)};
  const AssignmentPlan plan = planner.MakePlan(input, now);
  REQUIRE(plan.orders.size() == 1);
  planner.OnOrderSent(plan.orders[0], now);
  now += minutes(5);  // the engine's state was last read before the order
  CHECK(planner.MakePlan(input, now).orders.empty());
  const bool before_timeout = GENERATE(true, false);
  now = TimePoint(seconds(before_timeout ? 40 : 61));
  input.engines[0].state_read_at = now;
  CHECK(planner.MakePlan(input, now).orders.size() == (before_timeout ? 0 : 1));
  input.engines[0].loading = true;
  CHECK(planner.MakePlan(input, now).orders.empty());
}

TEST_CASE(
    "engines get the models that an operator assigned and are not moved for a "
    "shortage") {
  SimulatedDomain domain;
  domain.input = MakeInput(100, 5000);
  for (int i = 0; i < 4; ++i) {
    config::UpstreamAssignment assignment;
    assignment.name = "e" + std::to_string(i);
    assignment.models = {i == 3 ? "c" : "a"};
    domain.input.assignments.push_back(assignment);
  }
  for (int i = 0; i < 60; ++i)
    domain.Step();
  CHECK(domain.CountReplicas("a") == 3);
  CHECK(domain.CountReplicas("b") == 2);
  CHECK(domain.CountReplicas("c") == 1);
  CHECK(domain.drained == std::set<std::string>{"e3"});
}

TEST_CASE("oscillating demand does not make the planner thrash") {
  SimulatedDomain domain;
  domain.input = MakeInput(800, 800);
  for (int i = 0; i < 600; ++i) {  // an hour; demand changes every two minutes
    const bool high = i / 20 % 2 == 0;
    domain.input.demand = {{"a", high ? 3000.0 : 500.0},
                           {"b", high ? 500.0 : 3000.0}};
    domain.Step();
  }
  INFO(domain.load_orders);
  CHECK(domain.load_orders <= 12);  // min_time_between_moves is five minutes
}

TEST_CASE("the weight store's rate limit is divided among the domains") {
  const auto [domains, after, allowed] = GENERATE(
      table<size_t, int, int>({{1, 9, 0}, {1, 10, 1}, {3, 29, 0}, {3, 30, 1}}));
  FetchBudget budget(6);
  CHECK(budget.FetchesAllowed(domains, TimePoint()) == 1);
  budget.OnFetch(TimePoint());
  CHECK(budget.FetchesAllowed(domains, TimePoint(seconds(after))) == allowed);
}

TEST_CASE("every model keeps its minimum replicas under any demand") {
  rc::prop("under random demand and lost orders", [] {
    SimulatedDomain domain;
    domain.input = MakeInput(0, 0);
    const auto demands = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6000), rc::gen::inRange(0, 6000)));
    for (const auto& [a, b] : demands) {
      domain.input.demand = {{"a", a}, {"b", b}};
      for (int i = 0; i < 12; ++i) {
        domain.Step(i == 3 && a % 2 == 0);
        RC_ASSERT(domain.CountReplicas("a") >= 2);
        RC_ASSERT(domain.CountReplicas("b") >= 2);
      }
    }
  });
}

}  // namespace teaselhill::orders
