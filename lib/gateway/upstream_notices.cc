/// \file
/// Notices of upstreams that leave or want a pause.

#include "teaselhill/gateway/upstream_notices.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::gateway {

/// A longer pause is cut to this time, because a faulty upstream could name one
/// that it never outlives.
static constexpr std::chrono::hours kMaxPause{1};

/// Time after which a process that the directory does not list is forgotten. An
/// older listing may name it once more.
static constexpr std::chrono::minutes kUnlistedRetention{1};

/// Difference up to which a pause that is named again counts as the same.
static constexpr std::chrono::milliseconds kPauseTolerance{200};

void UpstreamNotices::OnAnswer(const UpstreamProcess& upstream,
                               const UpstreamNotice& notice,
                               TimePoint sent_at,
                               TimePoint now,
                               WallTime wall_now) {
  if (notice.leaving || notice.pause > Duration::zero())
    ApplyOwn(upstream, notice, now);
  const bool is_usual =
      !notice.limit.requests_per_second && !notice.limit.unreadable;
  if (!is_usual || limits_.IsLimited(upstream))
    limits_.OnAnswer(upstream, notice.limit, sent_at, now, wall_now);
}

void UpstreamNotices::ApplyOwn(const UpstreamProcess& upstream,
                               const UpstreamNotice& notice,
                               TimePoint now) {
  State& state = states_[upstream];
  if (notice.leaving && !std::exchange(state.leaving, true)) {
    changes_.push_back({upstream, /*leaving=*/true, {}});
    unshared_.push_back({upstream, /*leaving=*/true, {}});
  }
  const Duration pause = std::min<Duration>(notice.pause, kMaxPause);
  if (pause <= Duration::zero() ||
      now + pause <= state.paused_until + kPauseTolerance)
    return;
  state.paused_until = now + pause;
  changes_.push_back({upstream, /*leaving=*/false, pause});
  unshared_.push_back({upstream, /*leaving=*/false, pause});
}

void UpstreamNotices::OnObservations(const UpstreamObservations& observations,
                                     TimePoint now,
                                     WallTime wall_now) {
  limits_.OnObservations(observations.limits, now, wall_now);
  for (const NoticeObservation& observation : observations.notices) {
    State& state = states_[observation.upstream];
    if (observation.leaving && !std::exchange(state.leaving, true))
      changes_.push_back({observation.upstream, /*leaving=*/true, {}});
    const Duration pause = std::min<Duration>(observation.pause, kMaxPause);
    state.others_paused_until =
        std::max(state.others_paused_until, now + pause);
  }
}

UpstreamObservations UpstreamNotices::TakeObservations(TimePoint now) {
  return {limits_.TakeObservations(now), std::exchange(unshared_, {}), {}};
}

const UpstreamNotices::State* UpstreamNotices::Find(
    const UpstreamProcess& upstream) const {
  const auto found = states_.find(upstream);
  return found == states_.end() ? nullptr : &found->second;
}

bool UpstreamNotices::IsLeaving(const UpstreamProcess& upstream) const {
  const State* state = Find(upstream);
  return state && state->leaving;
}

bool UpstreamNotices::IsExcluded(const UpstreamProcess& upstream,
                                 TimePoint now) const {
  const State* state = Find(upstream);
  return state && (state->leaving || now < state->paused_until);
}

bool UpstreamNotices::IsAvoided(const UpstreamProcess& upstream,
                                TimePoint now) const {
  const State* state = Find(upstream);
  return state && now < state->others_paused_until;
}

Duration UpstreamNotices::UntilPauseEnds(const UpstreamProcess& upstream,
                                         TimePoint now) const {
  const State* state = Find(upstream);
  return state ? std::max(Duration::zero(), Duration(state->paused_until - now))
               : Duration::zero();
}

void UpstreamNotices::Expire(const UpstreamList& upstreams, TimePoint now) {
  limits_.Expire(upstreams);
  for (auto it = states_.begin(); it != states_.end();) {
    State& state = it->second;
    if (upstreams.Lists(it->first) || state.listed_at == TimePoint{})
      state.listed_at = now;
    const bool is_over = !state.leaving && now >= state.paused_until &&
                         now >= state.others_paused_until;
    const bool is_gone = now >= state.listed_at + kUnlistedRetention;
    it = is_over || is_gone ? states_.erase(it) : std::next(it);
  }
}

}  // namespace teaselhill::gateway
