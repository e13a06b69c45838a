/// \file
/// Planner for the assignment of models to the engines of one failure domain.

#include "teaselhill/orders/assignment_planner.h"

#include <algorithm>
#include <tuple>

namespace teaselhill::orders {

using config::UpstreamAssignment;

static const EngineState* FindEngine(const PlannerInput& input,
                                     const std::string& name) {
  for (const EngineState& engine : input.engines) {
    if (engine.name == name)
      return &engine;
  }
  return nullptr;
}

static const UpstreamAssignment* FindAssignment(const PlannerInput& input,
                                                const std::string& name) {
  for (const UpstreamAssignment& assignment : input.assignments) {
    if (assignment.name == name)
      return &assignment;
  }
  return nullptr;
}

static std::set<std::string> ModelsOf(const EngineState& engine) {
  return {engine.models.begin(), engine.models.end()};
}

static bool Serves(const EngineState& engine, const std::string& model) {
  return std::count(engine.models.begin(), engine.models.end(), model) > 0;
}

static bool Shows(const EngineState& engine, const Order& order) {
  return Serves(engine, order.model) == (order.kind == OrderKind::kLoadModel);
}

static double DemandFor(const PlannerInput& input, const std::string& model) {
  const auto found = input.demand.find(model);
  return found == input.demand.end() ? 0 : found->second;
}

AssignmentPlan AssignmentPlanner::MakePlan(const PlannerInput& input,
                                           TimePoint now) {
  Prune(input);
  FinishMoves(input, now);
  StartBindingMoves(input, now);
  StartShortageMove(input, now);
  AssignmentPlan plan;
  int fetches = input.fetches_allowed;
  for (const auto& entry : moves_) {
    const std::string& name = entry.first;
    const std::set<std::string>& wanted = entry.second.wanted;
    plan.engines_to_drain.push_back(name);
    const EngineState& engine = *FindEngine(input, name);
    if (engine.running_requests > 0 || !MayOrder(engine, now))
      continue;
    // Unloading first frees memory; a drained engine serves no requests.
    const std::set<std::string> loaded = ModelsOf(engine);
    const auto extra = std::find_if(
        loaded.begin(), loaded.end(),
        [&](const std::string& model) { return wanted.count(model) == 0; });
    const auto missing = std::find_if(
        wanted.begin(), wanted.end(),
        [&](const std::string& model) { return loaded.count(model) == 0; });
    if (extra != loaded.end())
      plan.orders.push_back({name, OrderKind::kUnloadModel, *extra});
    else if (missing != wanted.end() && fetches-- > 0)
      plan.orders.push_back({name, OrderKind::kLoadModel, *missing});
  }
  return plan;
}

template <typename Map, typename Predicate>
static void EraseIf(Map* map, Predicate predicate) {
  for (auto at = map->begin(); at != map->end();)
    at = predicate(*at) ? map->erase(at) : std::next(at);
}

void AssignmentPlanner::Prune(const PlannerInput& input) {
  const auto gone = [&](const auto& entry) {
    return FindEngine(input, entry.first) == nullptr;
  };
  EraseIf(&moves_, gone);
  EraseIf(&moved_at_, gone);
  EraseIf(&order_sent_, gone);
  const auto unknown = [&](const auto& entry) {
    return input.demand.count(entry.first) == 0;
  };
  EraseIf(&short_since_, unknown);
  EraseIf(&last_short_, unknown);
}

void AssignmentPlanner::FinishMoves(const PlannerInput& input, TimePoint now) {
  EraseIf(&moves_, [&](const auto& entry) {
    const EngineState& engine = *FindEngine(input, entry.first);
    const bool done = !engine.loading && MayOrder(engine, now) &&
                      ModelsOf(engine) == entry.second.wanted;
    if (done || !engine.reachable)
      moved_at_[engine.name] = now;
    return done || !engine.reachable ||
           now - entry.second.started >= options_.move_timeout;
  });
}

void AssignmentPlanner::StartBindingMoves(const PlannerInput& input,
                                          TimePoint now) {
  for (const UpstreamAssignment& assignment : input.assignments) {
    const EngineState* engine = FindEngine(input, assignment.name);
    if (assignment.models.empty() || engine == nullptr || !engine->reachable ||
        engine->loading)
      continue;
    const std::set<std::string> wanted(assignment.models.begin(),
                                       assignment.models.end());
    const auto move = moves_.find(engine->name);
    if (move != moves_.end())
      move->second.wanted = wanted;
    else if (ModelsOf(*engine) != wanted &&
             moves_.size() < options_.max_concurrent_moves)
      moves_[engine->name] = {wanted, now};
  }
}

std::map<std::string, AssignmentPlanner::ModelLoad> AssignmentPlanner::Loads(
    const PlannerInput& input) const {
  std::map<std::string, ModelLoad> loads;
  for (const EngineState& engine : input.engines) {
    const UpstreamAssignment* assignment = FindAssignment(input, engine.name);
    if (!engine.reachable || engine.loading || moves_.count(engine.name) > 0 ||
        (assignment != nullptr && assignment->draining))
      continue;
    for (const std::string& model : engine.models) {
      loads[model].capacity +=
          engine.tokens_per_second / static_cast<double>(engine.models.size());
      ++loads[model].replicas;
    }
  }
  return loads;
}

void AssignmentPlanner::StartShortageMove(const PlannerInput& input,
                                          TimePoint now) {
  const auto loads = Loads(input);
  for (const auto& [model, demand] : input.demand) {
    const auto found = loads.find(model);
    const double capacity = found == loads.end() ? 0 : found->second.capacity;
    const double shortage = demand - options_.max_load_fraction * capacity;
    if (shortage <= 0) {
      short_since_.erase(model);
      continue;
    }
    last_short_[model] = now;
    const TimePoint since = short_since_.try_emplace(model, now).first->second;
    if (now - since < options_.min_shortage_duration ||
        moves_.size() >= options_.max_concurrent_moves ||
        input.fetches_allowed <= 0)
      continue;
    const EngineState* donor = PickDonor(input, loads, model, now);
    if (donor != nullptr && IsWorthwhile(*donor, shortage, input.load_time)) {
      moves_[donor->name] = {{model}, now};
      short_since_.erase(model);
      return;  // `loads` does not include the new move
    }
  }
}

const EngineState* AssignmentPlanner::PickDonor(
    const PlannerInput& input,
    const std::map<std::string, ModelLoad>& loads,
    const std::string& model,
    TimePoint now) const {
  const EngineState* best = nullptr;
  for (const EngineState& engine : input.engines) {
    const UpstreamAssignment* assignment = FindAssignment(input, engine.name);
    const bool bound = assignment != nullptr &&
                       (assignment->draining || !assignment->models.empty());
    const auto moved = moved_at_.find(engine.name);
    const bool fresh = moved != moved_at_.end() &&
                       now - moved->second < options_.min_time_between_moves;
    if (!engine.reachable || engine.loading || bound || fresh ||
        moves_.count(engine.name) > 0 || Serves(engine, model) ||
        !MaySpare(engine, input, loads, now))
      continue;
    if (best == nullptr || std::tie(engine.running_requests, engine.name) <
                               std::tie(best->running_requests, best->name))
      best = &engine;
  }
  return best;
}

bool AssignmentPlanner::MaySpare(const EngineState& engine,
                                 const PlannerInput& input,
                                 const std::map<std::string, ModelLoad>& loads,
                                 TimePoint now) const {
  for (const std::string& model : engine.models) {
    const auto last_short = last_short_.find(model);
    if (last_short != last_short_.end() &&
        now - last_short->second < options_.min_time_between_moves)
      return false;
    const ModelLoad& load = loads.at(model);
    const double left =
        load.capacity -
        engine.tokens_per_second / static_cast<double>(engine.models.size());
    if (load.replicas - 1 < options_.min_replicas ||
        DemandFor(input, model) > options_.max_donor_load_fraction * left)
      return false;
  }
  return true;
}

bool AssignmentPlanner::IsWorthwhile(const EngineState& engine,
                                     double shortage,
                                     Duration load_time) const {
  const double gain = std::min(shortage, engine.tokens_per_second) *
                      ToSeconds(options_.gain_horizon - load_time);
  return gain > engine.tokens_per_second * ToSeconds(load_time);
}

// After an order, with or without a response, the engine's own state decides
// whether it may get the next one: the state must have been read since, show no
// loading, and show the effect of the order unless order_timeout has passed.
bool AssignmentPlanner::MayOrder(const EngineState& engine,
                                 TimePoint now) const {
  if (!engine.reachable || engine.loading)
    return false;
  const auto sent = order_sent_.find(engine.name);
  if (sent == order_sent_.end())
    return true;
  if (engine.state_read_at <= sent->second.at)
    return false;
  return Shows(engine, sent->second.order) ||
         now - sent->second.at >= options_.order_timeout;
}

void AssignmentPlanner::OnOrderSent(const Order& order, TimePoint now) {
  order_sent_[order.engine] = {order, now};
}

void AssignmentPlanner::Reset() {
  moves_.clear();
  short_since_.clear();
}

int FetchBudget::FetchesAllowed(size_t domains, TimePoint now) const {
  if (!last_)
    return 1;
  if (rate_ <= 0)
    return 0;
  const Duration spacing = FromSeconds(
      60.0 / rate_ * static_cast<double>(std::max<size_t>(domains, 1)));
  return now - *last_ >= spacing ? 1 : 0;
}

}  // namespace teaselhill::orders
