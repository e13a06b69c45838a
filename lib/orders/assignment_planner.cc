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

static std::set<std::string> LoadedModels(const EngineState& engine) {
  return {engine.models.begin(), engine.models.end()};
}

static bool ServesModel(const EngineState& engine, const std::string& model) {
  return std::count(engine.models.begin(), engine.models.end(), model) > 0;
}

static bool StateReflectsOrder(const EngineState& engine, const Order& order) {
  return ServesModel(engine, order.model) ==
         (order.kind == OrderKind::kLoadModel);
}

static double DemandFor(const PlannerInput& input, const std::string& model) {
  const auto found = input.demand.find(model);
  return found == input.demand.end() ? 0 : found->second;
}

AssignmentPlan AssignmentPlanner::MakePlan(const PlannerInput& input,
                                           TimePoint now) {
  RemoveStaleState(input);
  RemoveFinishedMoves(input, now);
  StartAssignedMoves(input, now);
  StartShortageMove(input, now);
  AssignmentPlan plan;
  int fetches = input.fetches_allowed;
  for (const auto& entry : moves_) {
    const std::string& name = entry.first;
    const std::set<std::string>& wanted = entry.second.wanted;
    plan.engines_to_drain.push_back(name);
    const EngineState& engine = *FindEngine(input, name);
    if (engine.running_requests > 0 || !CanSendOrder(engine, now))
      continue;
    // Unwanted models are unloaded before other models are loaded, to free
    // memory. No request is lost, because the engine has been drained.
    const std::set<std::string> loaded = LoadedModels(engine);
    const auto unwanted = std::find_if(
        loaded.begin(), loaded.end(),
        [&](const std::string& model) { return wanted.count(model) == 0; });
    const auto missing = std::find_if(
        wanted.begin(), wanted.end(),
        [&](const std::string& model) { return loaded.count(model) == 0; });
    if (unwanted != loaded.end())
      plan.orders.push_back({name, OrderKind::kUnloadModel, *unwanted});
    else if (missing != wanted.end() && fetches-- > 0)
      plan.orders.push_back({name, OrderKind::kLoadModel, *missing});
  }
  return plan;
}

template <typename Map, typename Predicate>
static void EraseIf(Map* map, Predicate predicate) {
  for (auto it = map->begin(); it != map->end();)
    it = predicate(*it) ? map->erase(it) : std::next(it);
}

void AssignmentPlanner::RemoveStaleState(const PlannerInput& input) {
  const auto engine_removed = [&](const auto& entry) {
    return FindEngine(input, entry.first) == nullptr;
  };
  EraseIf(&moves_, engine_removed);
  EraseIf(&last_move_ended_at_, engine_removed);
  EraseIf(&last_orders_, engine_removed);
  const auto model_removed = [&](const auto& entry) {
    return input.demand.count(entry.first) == 0;
  };
  EraseIf(&shortage_started_at_, model_removed);
  EraseIf(&last_shortage_at_, model_removed);
}

void AssignmentPlanner::RemoveFinishedMoves(const PlannerInput& input,
                                            TimePoint now) {
  EraseIf(&moves_, [&](const auto& entry) {
    const EngineState& engine = *FindEngine(input, entry.first);
    const bool complete = !engine.loading && CanSendOrder(engine, now) &&
                          LoadedModels(engine) == entry.second.wanted;
    if (complete || !engine.reachable)
      last_move_ended_at_[engine.name] = now;
    return complete || !engine.reachable ||
           now - entry.second.started_at >= options_.move_timeout;
  });
}

void AssignmentPlanner::StartAssignedMoves(const PlannerInput& input,
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
    else if (LoadedModels(*engine) != wanted &&
             moves_.size() < options_.max_concurrent_moves)
      moves_[engine->name] = {wanted, now};
  }
}

std::map<std::string, AssignmentPlanner::ModelLoad>
AssignmentPlanner::ComputeLoads(const PlannerInput& input) const {
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
  const auto loads = ComputeLoads(input);
  for (const auto& [model, demand] : input.demand) {
    const auto found = loads.find(model);
    const double capacity = found == loads.end() ? 0 : found->second.capacity;
    const double shortage = demand - options_.max_load_fraction * capacity;
    if (shortage <= 0) {
      shortage_started_at_.erase(model);
      continue;
    }
    last_shortage_at_[model] = now;
    const TimePoint started_at =
        shortage_started_at_.try_emplace(model, now).first->second;
    if (now - started_at < options_.min_shortage_duration ||
        moves_.size() >= options_.max_concurrent_moves ||
        input.fetches_allowed <= 0)
      continue;
    const EngineState* donor = PickDonor(input, loads, model, now);
    if (donor != nullptr && IsWorthwhile(*donor, shortage, input.load_time)) {
      moves_[donor->name] = {{model}, now};
      shortage_started_at_.erase(model);
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
    const bool assigned = assignment != nullptr &&
                          (assignment->draining || !assignment->models.empty());
    const auto last_move_ended_at = last_move_ended_at_.find(engine.name);
    const bool recently_moved =
        last_move_ended_at != last_move_ended_at_.end() &&
        now - last_move_ended_at->second < options_.min_time_between_moves;
    if (!engine.reachable || engine.loading || assigned || recently_moved ||
        moves_.count(engine.name) > 0 || ServesModel(engine, model) ||
        !CanSpare(engine, input, loads, now))
      continue;
    if (best == nullptr || std::tie(engine.running_requests, engine.name) <
                               std::tie(best->running_requests, best->name))
      best = &engine;
  }
  return best;
}

bool AssignmentPlanner::CanSpare(const EngineState& engine,
                                 const PlannerInput& input,
                                 const std::map<std::string, ModelLoad>& loads,
                                 TimePoint now) const {
  for (const std::string& model : engine.models) {
    const auto last_shortage = last_shortage_at_.find(model);
    if (last_shortage != last_shortage_at_.end() &&
        now - last_shortage->second < options_.min_time_between_moves)
      return false;
    const ModelLoad& load = loads.at(model);
    const double remaining_capacity =
        load.capacity -
        engine.tokens_per_second / static_cast<double>(engine.models.size());
    if (load.replicas - 1 < options_.min_replicas ||
        DemandFor(input, model) >
            options_.max_donor_load_fraction * remaining_capacity)
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

// Decides by the state that the engine reports. A response to the last order is
// not needed. The state must show that the engine is not loading a model. If an
// order was sent before, the state must have been requested after that order
// was sent, and must show the effect of that order unless order_timeout has
// passed.
bool AssignmentPlanner::CanSendOrder(const EngineState& engine,
                                     TimePoint now) const {
  if (!engine.reachable || engine.loading)
    return false;
  const auto last_order = last_orders_.find(engine.name);
  if (last_order == last_orders_.end())
    return true;
  if (engine.state_read_at <= last_order->second.sent_at)
    return false;
  return StateReflectsOrder(engine, last_order->second.order) ||
         now - last_order->second.sent_at >= options_.order_timeout;
}

void AssignmentPlanner::OnOrderSent(const Order& order, TimePoint now) {
  last_orders_[order.engine] = {order, now};
}

void AssignmentPlanner::DiscardMoves() {
  moves_.clear();
  shortage_started_at_.clear();
}

int FetchBudget::FetchesAllowed(size_t domains, TimePoint now) const {
  if (!last_fetch_at_)
    return 1;
  if (fetches_per_minute_ <= 0)
    return 0;
  const Duration spacing =
      FromSeconds(60.0 / fetches_per_minute_ *
                  static_cast<double>(std::max<size_t>(domains, 1)));
  return now - *last_fetch_at_ >= spacing ? 1 : 0;
}

}  // namespace teaselhill::orders
