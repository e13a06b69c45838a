/// \file
/// Limits of upstreams, and this host's turns at them.

#include "teaselhill/gateway/upstream_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

namespace {

/// A turn lapses after this time and the time of kTurnAgeRequests requests of
/// the fleet, and after kMaxTurnAgeSeconds at the latest. That bounds what
/// hosts that were idle can send at once.
constexpr double kMinTurnAgeSeconds = 1;
constexpr double kTurnAgeRequests = 2;
constexpr double kMaxTurnAgeSeconds = 10;

}  // namespace

bool UpstreamLimits::IsLimited(const UpstreamProcess& upstream) const {
  return limits_.count(upstream) != 0;
}

void UpstreamLimits::SetPosition(const FleetPosition& position) {
  position_ = position;
  for (auto& [upstream, limit] : limits_)
    limit.share.SetPosition(position);
}

void UpstreamLimits::OnAnswer(const UpstreamProcess& upstream,
                              const LimitNotice& notice,
                              TimePoint sent_at,
                              TimePoint now,
                              WallTime wall_now) {
  if (notice.unreadable)
    return;
  const bool is_news =
      Apply(upstream, notice.requests_per_second, sent_at, wall_now);
  const auto found = limits_.find(upstream);
  const bool is_due = found != limits_.end() &&
                      now >= found->second.shared_at + options_.refresh_period;
  if (!is_news && !is_due)
    return;
  if (found != limits_.end())
    found->second.shared_at = now;
  Share(upstream, notice.requests_per_second, sent_at);
}

void UpstreamLimits::OnObservations(
    const std::vector<LimitObservation>& observations,
    TimePoint now,
    WallTime wall_now) {
  for (const LimitObservation& observation : observations) {
    Apply(observation.upstream, observation.requests_per_second,
          now - observation.age, wall_now);
    const auto found = limits_.find(observation.upstream);
    if (found != limits_.end())
      found->second.shared_at = now;
  }
}

bool UpstreamLimits::Apply(const UpstreamProcess& upstream,
                           std::optional<double> requests_per_second,
                           TimePoint observed_at,
                           WallTime wall_now) {
  const auto found = limits_.find(upstream);
  if (!requests_per_second) {
    if (found == limits_.end() || observed_at <= found->second.observed_at)
      return false;
    End(upstream, observed_at);
    return true;
  }
  if (found == limits_.end()) {
    const auto ended = ended_at_.find(upstream);
    if (ended != ended_at_.end() && observed_at <= ended->second)
      return false;
    ended_at_.erase(upstream);
    Limit limit{0, observed_at, {}, RateShare(Hash64(upstream.id), wall_now)};
    limit.share.SetPosition(position_);
    SetRate(&limit, *requests_per_second);
    limits_.emplace(upstream, std::move(limit));
    changes_.push_back({upstream, std::nullopt, requests_per_second});
    return true;
  }
  Limit& limit = found->second;
  if (observed_at < limit.observed_at)
    return false;
  limit.observed_at = observed_at;
  if (IsUnchanged(limit, *requests_per_second))
    return false;
  changes_.push_back(
      {upstream, limit.requests_per_second, requests_per_second});
  SetRate(&limit, *requests_per_second);
  return true;
}

void UpstreamLimits::End(const UpstreamProcess& upstream,
                         TimePoint observed_at) {
  const auto found = limits_.find(upstream);
  changes_.push_back(
      {upstream, found->second.requests_per_second, std::nullopt});
  limits_.erase(found);
  ended_at_[upstream] = observed_at;
}

bool UpstreamLimits::IsUnchanged(const Limit& limit,
                                 double requests_per_second) const {
  return std::abs(requests_per_second - limit.requests_per_second) <=
         options_.tolerance * limit.requests_per_second;
}

void UpstreamLimits::SetRate(Limit* limit, double requests_per_second) const {
  limit->requests_per_second = requests_per_second;
  const double rate =
      std::max(requests_per_second * options_.used_fraction, options_.min_rate);
  const double max_age = std::min(kMinTurnAgeSeconds + kTurnAgeRequests / rate,
                                  kMaxTurnAgeSeconds);
  limit->share.SetRate(rate, FromSeconds(max_age));
}

void UpstreamLimits::Share(const UpstreamProcess& upstream,
                           std::optional<double> requests_per_second,
                           TimePoint observed_at) {
  unshared_.push_back({upstream, requests_per_second, observed_at});
}

std::vector<LimitObservation> UpstreamLimits::TakeObservations(TimePoint now) {
  std::vector<LimitObservation> observations;
  for (const Unshared& unshared : std::exchange(unshared_, {}))
    observations.push_back({unshared.upstream, unshared.requests_per_second,
                            now - unshared.observed_at});
  return observations;
}

std::optional<Duration> UpstreamLimits::OldestTurnAge(
    const UpstreamProcess& upstream,
    WallTime now) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? Duration::zero()
                                : found->second.share.OldestTurnAge(now);
}

Duration UpstreamLimits::UntilNextTurn(const UpstreamProcess& upstream,
                                       WallTime now) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? Duration::zero()
                                : found->second.share.UntilNextTurn(now);
}

Duration UpstreamLimits::MaxTurnAge(const UpstreamProcess& upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? Duration::zero()
                                : found->second.share.max_age();
}

double UpstreamLimits::OwnRate(const UpstreamProcess& upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end()
             ? 0
             : found->second.share.rate() /
                   static_cast<double>(std::max<size_t>(position_.hosts, 1));
}

void UpstreamLimits::OnSent(const UpstreamProcess& upstream, WallTime now) {
  const auto found = limits_.find(upstream);
  if (found != limits_.end())
    found->second.share.Use(now);
}

void UpstreamLimits::Expire(const UpstreamList& upstreams) {
  for (auto it = limits_.begin(); it != limits_.end();) {
    if (upstreams.Lists(it->first)) {
      ++it;
      continue;
    }
    changes_.push_back(
        {it->first, it->second.requests_per_second, std::nullopt});
    it = limits_.erase(it);
  }
  for (auto it = ended_at_.begin(); it != ended_at_.end();)
    it = upstreams.Lists(it->first) ? std::next(it) : ended_at_.erase(it);
}

}  // namespace teaselhill::gateway
