/// \file
/// Sends to upstreams that name limits, and refusals for these.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

bool Exchange::AreAllLimited() const {
  const auto list = gateway_.shared_state_.upstreams();
  const std::vector<UpstreamEntry>& upstreams =
      list->OfService(request_.service);
  return !upstreams.empty() &&
         std::all_of(upstreams.begin(), upstreams.end(),
                     [this](const UpstreamEntry& upstream) {
                       return gateway_.upstream_limits_.IsLimited(
                           {upstream.id, upstream.incarnation});
                     });
}

std::vector<std::string> Exchange::UpstreamsWithoutTurn() {
  const UpstreamLimits& limits = gateway_.upstream_limits_;
  std::vector<std::string> without_turn;
  if (limits.empty())
    return without_turn;
  const double required_age =
      AreAllLimited() ? gateway_.limited_admission_.RequiredTurnAge(
                            request_.service, request_.gate_level(),
                            request_.team, gateway_.rng_.Uniform(), BootNow())
                      : 0;
  const WallTime now = WallNow();
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    const UpstreamProcess process{upstream.id, upstream.incarnation};
    if (!limits.IsLimited(process))
      continue;
    const std::optional<Duration> age = limits.OldestTurnAge(process, now);
    if (!age ||
        ToSeconds(*age) < required_age * ToSeconds(limits.MaxTurnAge(process)))
      without_turn.push_back(upstream.id);
  }
  return without_turn;
}

std::vector<std::string> Exchange::LimitedUpstreams() const {
  std::vector<std::string> limited;
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    if (gateway_.upstream_limits_.IsLimited(
            {upstream.id, upstream.incarnation}))
      limited.push_back(upstream.id);
  }
  return limited;
}

void Exchange::UseTurn() {
  const UpstreamProcess process{upstream_.id, upstream_.incarnation};
  if (!gateway_.upstream_limits_.IsLimited(process))
    return;
  gateway_.upstream_limits_.OnSent(process, WallNow());
  gateway_.limited_admission_.OnTurnUsed(request_.service, request_.team,
                                         BootNow());
}

void Exchange::RefuseForLimits() {
  const WallTime wall_now = WallNow();
  double own_rate = 0;
  Duration until_next_turn = Duration::max();
  const auto list = gateway_.shared_state_.upstreams();
  for (const UpstreamEntry& upstream : list->OfService(request_.service)) {
    const UpstreamProcess process{upstream.id, upstream.incarnation};
    own_rate += gateway_.upstream_limits_.OwnRate(process);
    until_next_turn =
        std::min(until_next_turn,
                 gateway_.upstream_limits_.UntilNextTurn(process, wall_now));
  }
  const TimePoint now = BootNow();
  upstream_retry_after_ = gateway_.limited_admission_.RetryAfter(
      request_.service, request_.gate_level(), own_rate, until_next_turn, now);
  gateway_.log_.Write(LineKind::kFailure,
                      RequestLogLine("limit_refusal")
                          .Field("team", request_.team)
                          .Field("tier", request_.tier)
                          .Field("service", request_.service)
                          .Field("own_rate", own_rate)
                          .Field("retry_after_ms", upstream_retry_after_),
                      now);
  ApplyFinalStep(FinalStepAfterTimeout(state_, ResultCode::kUpstreamsLimited));
}

}  // namespace teaselhill::gateway
