/// \file
/// Pressure controller.

#include "teaselhill/gateway/overload_gate.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::gateway {

namespace {

/// A level that sends nothing for this long does not count any more.
constexpr std::chrono::seconds kForgetLevel{20};

}  // namespace

GateDecision OverloadGate::Admit(const std::string& service,
                                 const GateLevel& level,
                                 double dice,
                                 double spread,
                                 TimePoint now) {
  State& state = services_[service];
  state.levels[level] = now;
  for (auto entry = state.levels.begin(); entry != state.levels.end();)
    entry = now - entry->second > kForgetLevel ? state.levels.erase(entry)
                                               : std::next(entry);
  GateDecision decision;
  decision.pressure = Decayed(state, now);
  if (level.route == state.levels.begin()->first.route)
    return decision;
  const auto less_urgent = static_cast<double>(
      std::distance(state.levels.upper_bound(level), state.levels.end()));
  decision.refused_part = std::clamp(decision.pressure - less_urgent, 0.0,
                                     1 - options_.least_admitted);
  decision.admitted = dice >= decision.refused_part;
  if (!decision.admitted)
    decision.retry_after =
        options_.shortest_return +
        FromSeconds(spread * ToSeconds(options_.longest_return -
                                       options_.shortest_return));
  return decision;
}

void OverloadGate::OnWaited(const std::string& service,
                            Duration waited,
                            Duration target,
                            TimePoint now) {
  if (target <= Duration::zero())
    return;
  State& state = services_[service];
  const double error =
      std::clamp(ToSeconds(waited) / ToSeconds(target) - options_.setpoint,
                 options_.least_error, options_.most_error);
  // Levels of the most urgent route tier are never refused.
  double refusable = 0;
  for (const auto& [level, seen] : state.levels)
    refusable += level.route != state.levels.begin()->first.route;
  state.pressure = std::clamp(
      Decayed(state, now) + options_.gain * error, 0.0, refusable);
  state.at = now;
}

double OverloadGate::Pressure(const std::string& service,
                              TimePoint now) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : Decayed(found->second, now);
}

double OverloadGate::Decayed(const State& state, TimePoint now) const {
  return state.pressure *
         std::exp2(-ToSeconds(now - state.at) / ToSeconds(options_.half_life));
}

}  // namespace teaselhill::gateway
