/// \file
/// Integral controller of the overload gate.

#include "teaselhill/gateway/overload_gate.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/support/decay.h"

namespace teaselhill::gateway {

namespace {

/// A level without requests for this time is removed. It then neither counts as
/// less urgent than a request's level nor sets the most urgent route tier.
constexpr std::chrono::seconds kLevelExpiry{20};

/// Half-life of the count of started answers.
constexpr std::chrono::milliseconds kStartRateHalfLife{1000};

constexpr std::chrono::seconds kMaxExpectedWait{10};

}  // namespace

void QueueWaitEstimator::OnAnswerStarted(TimePoint now) {
  OnRemoved();
  decayed_starts_ =
      decayed_starts_ * DecayFactor(now - decayed_at_, kStartRateHalfLife) + 1;
  decayed_at_ = now;
  if (first_start_at_ == TimePoint{})
    first_start_at_ = now;
}

double QueueWaitEstimator::StartsPerSecond(TimePoint now) const {
  const double half_life_s = ToSeconds(kStartRateHalfLife);
  const double count =
      decayed_starts_ * DecayFactor(now - decayed_at_, kStartRateHalfLife);
  // At a constant rate, the decaying count converges to the rate times this
  // time constant. The exponential term corrects a count that has not converged
  // yet.
  const double time_constant_s = half_life_s / std::log(2.0);
  const double age_s =
      std::max(ToSeconds(now - first_start_at_), half_life_s / 4);
  return count / (time_constant_s * (1 - std::exp(-age_s / time_constant_s)));
}

Duration QueueWaitEstimator::ExpectedWait(TimePoint now) const {
  // Before the first answer there is no rate, and a single waiting request is
  // not a queue.
  if (waiting_requests_ <= 1 || first_start_at_ == TimePoint{})
    return Duration::zero();
  const double starts_per_second = StartsPerSecond(now);
  const double wait_s =
      starts_per_second > 0 ? (waiting_requests_ - 1) / starts_per_second : 1e9;
  return wait_s > ToSeconds(kMaxExpectedWait) ? Duration(kMaxExpectedWait)
                                              : FromSeconds(wait_s);
}

GateDecision OverloadGate::Admit(const std::string& service,
                                 const GateLevel& level,
                                 Duration target,
                                 double admission_sample,
                                 double retry_after_sample,
                                 TimePoint now) {
  ServiceState& state = services_[service];
  state.last_seen_by_level[level] = now;
  state.target_by_level[level] = target;
  for (auto entry = state.last_seen_by_level.begin();
       entry != state.last_seen_by_level.end();)
    entry = now - entry->second > kLevelExpiry
                ? state.last_seen_by_level.erase(entry)
                : std::next(entry);
  GateDecision decision;
  decision.expected_wait =
      state.wait_estimators[level.route_tier].ExpectedWait(now);
  OnWaitObserved(service, level, decision.expected_wait, target, now);
  decision.pressure = DecayedPressure(state, now);
  if (level.route_tier == state.last_seen_by_level.begin()->first.route_tier)
    return decision;
  const auto less_urgent_levels = static_cast<double>(
      std::distance(state.last_seen_by_level.upper_bound(level),
                    state.last_seen_by_level.end()));
  decision.rejected_fraction =
      std::clamp(decision.pressure - options_.deadband - less_urgent_levels,
                 0.0, 1 - options_.min_admitted_fraction);
  decision.admitted = admission_sample >= decision.rejected_fraction;
  if (!decision.admitted)
    decision.retry_after = std::max<Duration>(
        FromSeconds(ToSeconds(target) *
                    (options_.min_retry_after_fraction +
                     retry_after_sample * (options_.max_retry_after_fraction -
                                           options_.min_retry_after_fraction))),
        options_.min_retry_after);
  return decision;
}

GateDecision OverloadGate::RecheckWithLoad(const std::string& service,
                                           const GateLevel& level,
                                           GateDecision rejected,
                                           const EngineLoad& load,
                                           Duration target) const {
  const auto state = services_.find(service);
  const Duration shortest = state == services_.end()
                                ? target
                                : ShortestTarget(state->second, level, target);
  GateDecision decision = rejected;
  decision.load = load;
  decision.admitted = load.running_requests <= options_.max_running_requests &&
                      ToSeconds(load.backlog) <=
                          ToSeconds(shortest) * options_.max_backlog_fraction;
  return decision;
}

Duration OverloadGate::ShortestTarget(const ServiceState& state,
                                      const GateLevel& level,
                                      Duration target) {
  Duration shortest = target;
  for (const auto& [known, last_seen] : state.last_seen_by_level) {
    const bool may_be_rejected =
        known.route_tier != state.last_seen_by_level.begin()->first.route_tier;
    if (may_be_rejected && !(level < known))
      shortest = std::min(shortest, state.target_by_level.at(known));
  }
  return shortest;
}

void OverloadGate::OnWaitObserved(const std::string& service,
                                  const GateLevel& level,
                                  Duration waited,
                                  Duration target,
                                  TimePoint now) {
  if (target <= Duration::zero())
    return;
  ServiceState& state = services_[service];
  const double error = std::clamp(
      ToSeconds(waited) / ToSeconds(target) - options_.setpoint_fraction,
      options_.min_error, options_.max_error);
  // Levels of the most urgent route tier are never rejected.
  double max_pressure = options_.deadband;
  for (const auto& [known_level, last_seen] : state.last_seen_by_level)
    max_pressure += known_level.route_tier !=
                    state.last_seen_by_level.begin()->first.route_tier;
  const bool most_urgent =
      !state.last_seen_by_level.empty() &&
      level.route_tier <= state.last_seen_by_level.begin()->first.route_tier;
  if (most_urgent && error < 0)
    return;
  state.pressure = std::clamp(
      DecayedPressure(state, now) + options_.gain * error, 0.0, max_pressure);
  state.updated_at = now;
}

void OverloadGate::OnQueued(const std::string& service,
                            const GateLevel& level) {
  services_[service].wait_estimators[level.route_tier].OnQueued();
}

void OverloadGate::OnAnswerStarted(const std::string& service,
                                   const GateLevel& level,
                                   TimePoint now) {
  services_[service].wait_estimators[level.route_tier].OnAnswerStarted(now);
}

void OverloadGate::OnEndedUnanswered(const std::string& service,
                                     const GateLevel& level) {
  services_[service].wait_estimators[level.route_tier].OnRemoved();
}

double OverloadGate::Pressure(const std::string& service, TimePoint now) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : DecayedPressure(found->second, now);
}

double OverloadGate::DecayedPressure(const ServiceState& state,
                                     TimePoint now) const {
  return state.pressure *
         DecayFactor(now - state.updated_at, options_.pressure_half_life);
}

}  // namespace teaselhill::gateway
