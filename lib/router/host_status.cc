/// \file
/// Conversion of a host's status to JSON.

#include "teaselhill/router/host_status.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace teaselhill::router {

namespace {

using nlohmann::json;

const char* HealthName(routing::Health health) {
  switch (health) {
    case routing::Health::kHealthy:
      return "healthy";
    case routing::Health::kProbing:
      return "probing";
    case routing::Health::kEjected:
      break;
  }
  return "ejected";
}

/// Returns the reasons for which an upstream is marked as leaving, separated by
/// commas.
std::string LeavingReason(const routing::Upstream& upstream) {
  static constexpr std::pair<routing::LeavingSource, const char*> kSignNames[] =
      {{routing::LeavingSource::kHostList, "host list"},
       {routing::LeavingSource::kOperator, "assignment or orders"},
       {routing::LeavingSource::kRefusal, "answered 503"},
       {routing::LeavingSource::kPeer, "another host"}};
  std::string reason;
  for (const auto& [sign, name] : kSignNames) {
    if ((upstream.leaving_sources & static_cast<uint8_t>(sign)) != 0)
      reason += (reason.empty() ? "" : ", ") + std::string(name);
  }
  return reason;
}

}  // namespace

const char* MemberStateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kLeaving:
      return "leaving";
    case membership::MemberState::kDead:
      break;
  }
  return "dead";
}

const char* UpstreamStateName(const routing::UpstreamTable& upstreams,
                              const routing::Upstream& upstream,
                              TimePoint now) {
  if (upstreams.IsLeaving(upstream, now))
    return "leaving";
  if (upstream.straggler)
    return "straggler";
  return HealthName(upstreams.HealthOf(upstream, now));
}

std::string StatusJson(const StatusSources& sources, TimePoint now) {
  const HostState& state = sources.state;
  json status = {{"host", sources.self.host},
                 {"domain", sources.domain},
                 {"incarnation", sources.self.incarnation},
                 {"ready", state.ready},
                 {"draining", state.draining},
                 {"config_offset", state.config_next_offset - 1},
                 {"config_records_behind", state.config_lag.behind},
                 {"log_reachable", state.config_lag.reachable},
                 {"log_silence_ms",
                  ToMilliseconds(TimeSinceLogAnswer(state.config_lag, now))},
                 {"host_list_reachable", state.host_list_reachable},
                 {"holds_order_lease", state.holds_order_lease},
                 {"share_of_limits", state.limit_share},
                 {"open_requests", state.open_requests},
                 {"claims_waiting", state.claims.waiting},
                 {"claims_caught_up", state.claims.caught_up},
                 {"suspects", state.crashes.suspects},
                 {"quarantined", state.crashes.quarantined}};
  status["members"] = json::array();
  for (const membership::MemberView& seen : sources.members)
    status["members"].push_back(
        {{"name", seen.member.id.host},
         {"domain", seen.member.domain},
         {"state", MemberStateName(seen.member.state)},
         {"last_heard_ms", ToMilliseconds(seen.time_since_last_seen)}});
  status["domains"] = json::array();
  for (const membership::DomainStatus& domain : state.domains)
    status["domains"].push_back({{"name", domain.domain},
                                 {"known", domain.known},
                                 {"reachable", domain.reachable}});
  status["upstreams"] = json::array();
  const auto view = sources.config;
  for (const auto& [name, entry] :
       view ? view->assignments
            : std::map<std::string, config::AssignmentEntry>()) {
    const routing::Upstream* upstream = sources.upstreams.Find(name);
    if (!upstream)
      continue;
    const bool leaving = sources.upstreams.IsLeaving(*upstream, now);
    status["upstreams"].push_back(
        {{"name", name},
         {"state", UpstreamStateName(sources.upstreams, *upstream, now)},
         {"in_flight", upstream->own_in_flight},
         {"load", sources.upstreams.CorrectedLoad(*upstream, now)},
         {"pace_ms", upstream->seconds_per_token * 1000},
         {"reason", leaving ? LeavingReason(*upstream) : ""}});
  }
  status["queues"] = json::array();
  for (const admission::TierStats& tier : state.queue.tiers)
    status["queues"].push_back(
        {{"tier", tier.tier},
         {"queued", tier.queued_count},
         {"queued_tokens", tier.queued_work_tokens},
         {"oldest_wait_ms", ToMilliseconds(tier.oldest_wait)}});
  return status.dump();
}

}  // namespace teaselhill::router
