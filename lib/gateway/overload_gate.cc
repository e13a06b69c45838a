/// \file
/// Integral controller of the overload gate.

#include "teaselhill/gateway/overload_gate.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/support/decay.h"

namespace teaselhill::gateway {

namespace {

/// A level without a request for this long is no longer counted.
constexpr std::chrono::seconds kForgetLevel{20};

/// Half-life of the count of started answers.
constexpr std::chrono::milliseconds kRateHalfLife{1000};

constexpr std::chrono::seconds kLongestWait{10};

}  // namespace

void WaitEstimate::OnBegan(TimePoint now) {
  OnLeft();
  begun_ = begun_ * DecayFactor(now - at_, kRateHalfLife) + 1;
  at_ = now;
  if (since_ == TimePoint{})
    since_ = now;
}

double WaitEstimate::Rate(TimePoint now) const {
  const double half_life = ToSeconds(kRateHalfLife);
  const double count = begun_ * DecayFactor(now - at_, kRateHalfLife);
  // At a constant rate, the decaying count converges to the rate times this
  // time constant. The exponential term corrects a count that has not converged
  // yet.
  const double full = half_life / std::log(2.0);
  const double age = std::max(ToSeconds(now - since_), half_life / 4);
  return count / (full * (1 - std::exp(-age / full)));
}

Duration WaitEstimate::Expected(TimePoint now) const {
  // Before the first answer there is no rate, and a single waiting request is
  // not a queue.
  if (waiting_ <= 1 || since_ == TimePoint{})
    return Duration::zero();
  const double rate = Rate(now);
  const double seconds = rate > 0 ? (waiting_ - 1) / rate : 1e9;
  return seconds > ToSeconds(kLongestWait) ? Duration(kLongestWait)
                                           : FromSeconds(seconds);
}

GateDecision OverloadGate::Admit(const std::string& service,
                                 const GateLevel& level,
                                 Duration target,
                                 double dice,
                                 double spread,
                                 TimePoint now) {
  State& state = services_[service];
  state.levels[level] = now;
  for (auto entry = state.levels.begin(); entry != state.levels.end();)
    entry = now - entry->second > kForgetLevel ? state.levels.erase(entry)
                                               : std::next(entry);
  GateDecision decision;
  decision.expected_wait = state.waits[level.route].Expected(now);
  OnWaited(service, level, decision.expected_wait, target, now);
  decision.pressure = Decayed(state, now);
  if (level.route == state.levels.begin()->first.route)
    return decision;
  const auto less_urgent = static_cast<double>(
      std::distance(state.levels.upper_bound(level), state.levels.end()));
  decision.refused_part =
      std::clamp(decision.pressure - options_.deadband - less_urgent, 0.0,
                 1 - options_.least_admitted);
  decision.admitted = dice >= decision.refused_part;
  if (!decision.admitted)
    decision.retry_after = std::max<Duration>(
        FromSeconds(ToSeconds(target) * (options_.shortest_return +
                                         spread * (options_.longest_return -
                                                   options_.shortest_return))),
        options_.least_return);
  return decision;
}

GateDecision OverloadGate::Recheck(GateDecision refused,
                                   const EngineLoad& load,
                                   Duration target) const {
  GateDecision decision = refused;
  decision.load = load;
  decision.admitted =
      load.running <= options_.most_running &&
      ToSeconds(load.backlog) <= ToSeconds(target) * options_.most_backlog;
  return decision;
}

void OverloadGate::OnWaited(const std::string& service,
                            const GateLevel& level,
                            Duration waited,
                            Duration target,
                            TimePoint now) {
  if (target <= Duration::zero())
    return;
  State& state = services_[service];
  const double error =
      std::clamp(ToSeconds(waited) / ToSeconds(target) - options_.setpoint,
                 options_.least_error, options_.most_error);
  // Levels of the most urgent route tier are never rejected.
  double refusable = options_.deadband;
  for (const auto& [other, seen] : state.levels)
    refusable += other.route != state.levels.begin()->first.route;
  const bool urgent =
      !state.levels.empty() && level.route <= state.levels.begin()->first.route;
  if (urgent && error < 0)
    return;
  state.pressure =
      std::clamp(Decayed(state, now) + options_.gain * error, 0.0, refusable);
  state.at = now;
}

void OverloadGate::OnQueued(const std::string& service,
                            const GateLevel& level) {
  services_[service].waits[level.route].OnQueued();
}

void OverloadGate::OnBegan(const std::string& service,
                           const GateLevel& level,
                           TimePoint now) {
  services_[service].waits[level.route].OnBegan(now);
}

void OverloadGate::OnLeft(const std::string& service, const GateLevel& level) {
  services_[service].waits[level.route].OnLeft();
}

double OverloadGate::Pressure(const std::string& service, TimePoint now) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : Decayed(found->second, now);
}

double OverloadGate::Decayed(const State& state, TimePoint now) const {
  return state.pressure * DecayFactor(now - state.at, options_.half_life);
}

}  // namespace teaselhill::gateway
