/// \file
/// Sends to upstreams that name limits, and refusals for these.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

constexpr Tier kUrgentTier = 0;

/// Delay after which a caller may find room at brittle upstreams.
constexpr std::chrono::milliseconds kRoomRetryAfter{300};

}  // namespace

bool Exchange::AreAllLimited() const {
  const auto list = gateway_.shared_state_.upstreams();
  const std::vector<UpstreamEntry>& upstreams =
      list->OfService(request_.service);
  return !upstreams.empty() &&
         std::all_of(upstreams.begin(), upstreams.end(),
                     [this](const UpstreamEntry& upstream) {
                       return gateway_.upstream_notices_.limits().IsLimited(
                           {upstream.id, upstream.incarnation});
                     });
}

std::vector<std::string> Exchange::UpstreamsWithoutTurn() {
  const UpstreamNotices& notices = gateway_.upstream_notices_;
  std::vector<std::string> without_turn;
  if (notices.empty() && gateway_.brittle_upstreams_.empty())
    return without_turn;
  const TimePoint now = BootNow();
  const bool urgent = request_.tier <= kUrgentTier;
  const double required_age =
      AreAllLimited() ? gateway_.limited_admission_.RequiredTurnAge(
                            request_.service, request_.gate_level(),
                            request_.team, gateway_.rng_.Uniform(), now)
                      : 0;
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    const UpstreamProcess process{upstream.id, upstream.incarnation};
    if (notices.IsExcluded(process, now) || !HasTurn(process, required_age) ||
        !gateway_.brittle_upstreams_.HasRoom(upstream, urgent, now))
      without_turn.push_back(upstream.id);
    else if (notices.IsAvoided(process, now))
      request_.placement_request.avoided_upstreams.push_back(upstream.id);
  }
  return without_turn;
}

bool Exchange::HasTurn(const UpstreamProcess& process,
                       double required_age) const {
  const UpstreamLimits& limits = gateway_.upstream_notices_.limits();
  if (!limits.IsLimited(process))
    return true;
  const std::optional<Duration> age = limits.OldestTurnAge(process, WallNow());
  return age && ToSeconds(*age) >=
                    required_age * ToSeconds(limits.MaxTurnAge(process));
}

std::vector<std::string> Exchange::LimitedUpstreams() const {
  std::vector<std::string> limited;
  const UpstreamNotices& notices = gateway_.upstream_notices_;
  const TimePoint now = BootNow();
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    const UpstreamProcess process{upstream.id, upstream.incarnation};
    if (notices.limits().IsLimited(process) || notices.IsExcluded(process, now))
      limited.push_back(upstream.id);
  }
  return limited;
}

void Exchange::UseTurn() {
  const UpstreamProcess process{attempt_.upstream.id,
                                attempt_.upstream.incarnation};
  UpstreamLimits& limits = gateway_.upstream_notices_.limits();
  if (!limits.IsLimited(process))
    return;
  limits.OnSent(process, WallNow());
  gateway_.limited_admission_.OnTurnUsed(request_.service, request_.team,
                                         BootNow());
}

void Exchange::RefuseForLimits() {
  const UpstreamNotices& notices = gateway_.upstream_notices_;
  const WallTime wall_now = WallNow();
  const TimePoint now = BootNow();
  double own_rate = 0;
  Duration until_next_turn = Duration::max();
  bool all_paused = true;
  bool no_room = false;  // at an upstream that takes requests otherwise
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    const UpstreamProcess process{upstream.id, upstream.incarnation};
    if (notices.IsLeaving(process))
      continue;
    no_room |= notices.UntilPauseEnds(process, now) == Duration::zero() &&
               !notices.limits().IsLimited(process);
    own_rate += notices.limits().OwnRate(process);
    all_paused &= notices.UntilPauseEnds(process, now) > Duration::zero();
    until_next_turn =
        std::min(until_next_turn,
                 std::max(notices.limits().UntilNextTurn(process, wall_now),
                          notices.UntilPauseEnds(process, now)));
  }
  if (until_next_turn == Duration::max())
    return FailRequest({ResultCode::kNoUpstream, ""});
  upstream_retry_after_ = no_room ? kRoomRetryAfter
                          : all_paused
                              ? until_next_turn
                              : gateway_.limited_admission_.RetryAfter(
                                    request_.service, request_.gate_level(),
                                    own_rate, until_next_turn, now);
  gateway_.log_.Write(LineKind::kFailure,
                      RequestLogLine("limit_refusal")
                          .Field("team", request_.team)
                          .Field("tier", request_.tier)
                          .Field("service", request_.service)
                          .Field("own_rate", own_rate)
                          .Field("all_paused", all_paused)
                          .Field("no_room", no_room)
                          .Field("retry_after_ms", upstream_retry_after_),
                      now);
  if (HasPool())
    gateway_.work_counter_.OnRefused(request_.service, request_.route->tier);
  ApplyFinalStep(FinalStepAfterTimeout(state_, ResultCode::kUpstreamsLimited));
}

}  // namespace teaselhill::gateway
