/// \file
/// Ages of turns by urgency and team.

#include "teaselhill/gateway/limited_admission.h"

#include <algorithm>
#include <iterator>

#include "teaselhill/support/decay.h"

namespace teaselhill::gateway {

double LimitedAdmission::RequiredTurnAge(const std::string& service_name,
                                         const GateLevel& level,
                                         const std::string& team,
                                         double sample,
                                         TimePoint now) {
  Service& service = services_[service_name];
  service.levels[level].last_seen = now;
  service.teams[team].last_seen = now;
  Forget(service, now);
  if (sample < options_.unreserved_fraction)
    return 0;
  const auto levels = static_cast<double>(service.levels.size());
  const auto more_urgent = static_cast<double>(
      std::distance(service.levels.begin(), service.levels.find(level)));
  const double rank = more_urgent + Excess(service, team, now);
  return options_.max_required_age * rank / levels;
}

void LimitedAdmission::OnTurnUsed(const std::string& service,
                                  const std::string& team,
                                  TimePoint now) {
  Team& state = services_[service].teams[team];
  state.used = UsedBy(state, now) + 1;
  state.decayed_at = now;
  state.last_seen = now;
}

Duration LimitedAdmission::RetryAfter(const std::string& service_name,
                                      const GateLevel& level,
                                      double own_rate,
                                      Duration until_next_turn,
                                      TimePoint now) {
  Service& service = services_[service_name];
  Level& state = service.levels[level];
  state.last_seen = now;
  const auto more_urgent = static_cast<double>(
      std::distance(service.levels.begin(), service.levels.find(level)));
  // What the more urgent levels leave over, if each takes as much as it gets.
  const double rate = own_rate / (more_urgent + 1);
  const Duration spacing =
      rate > 0 ? std::min(FromSeconds(1 / rate), options_.max_retry_after)
               : options_.max_retry_after;
  state.last_return_at =
      std::max(now + until_next_turn, state.last_return_at + spacing);
  state.last_return_at =
      std::min(state.last_return_at, now + options_.max_retry_after);
  return std::max<Duration>(state.last_return_at - now,
                            std::chrono::milliseconds(50));
}

double LimitedAdmission::UsedBy(const Team& team, TimePoint now) const {
  return team.used * DecayFactor(now - team.decayed_at, options_.use_half_life);
}

double LimitedAdmission::Excess(const Service& service,
                                const std::string& team,
                                TimePoint now) const {
  double total = 0;
  for (const auto& [name, state] : service.teams)
    total += UsedBy(state, now);
  if (total <= 0)
    return 0;
  const double even_part = total / static_cast<double>(service.teams.size());
  const double used = UsedBy(service.teams.at(team), now);
  return std::clamp(used / even_part - 1, 0.0, 1.0);
}

void LimitedAdmission::Forget(Service& service, TimePoint now) const {
  const auto forget_old = [&](auto& states) {
    for (auto it = states.begin(); it != states.end();) {
      const bool is_old = now - it->second.last_seen > options_.retention;
      it = is_old ? states.erase(it) : std::next(it);
    }
  };
  forget_old(service.levels);
  forget_old(service.teams);
}

}  // namespace teaselhill::gateway
