/// \file
/// Whether this host reaches any upstream.

#include <utility>

#include "teaselhill/gateway/gateway.h"

namespace teaselhill::gateway {

namespace {

/// While this host is cut from all upstreams, it tries to reach one and tells
/// the other hosts in this period.
constexpr std::chrono::milliseconds kReachPeriod{250};

size_t CountUpstreams(const UpstreamList& upstreams) {
  size_t count = 0;
  for (const auto& [service, entries] : upstreams.by_service)
    count += entries.size();
  return count;
}

/// The upstream at this place in the order of all services; `index` must be
/// less than CountUpstreams().
const UpstreamEntry& UpstreamAt(const UpstreamList& upstreams, size_t index) {
  auto service = upstreams.by_service.begin();
  for (; index >= service->second.size(); ++service)
    index -= service->second.size();
  return service->second[index];
}

}  // namespace

void Gateway::OnUpstreamReached(TimePoint opened_at) {
  reach_.OnReached(opened_at);
  ApplyReachChange();
}

void Gateway::OnUpstreamFailed(const std::string& upstream_id,
                               TimePoint opened_at) {
  const auto upstreams = shared_state_.upstreams();
  reach_.OnFailed(upstream_id, opened_at, CountUpstreams(*upstreams),
                  BootNow());
  ApplyReachChange();
}

void Gateway::ApplyReachChange() {
  const std::optional<bool> cut = reach_.TakeChange();
  if (!cut)
    return;
  const TimePoint now = BootNow();
  log_.Write(LineKind::kState,
             LogLine(*cut ? LogLevel::kWarning : LogLevel::kInfo,
                     *cut ? "cut_from_upstreams" : "upstreams_reached"),
             now);
  if (reach_publisher_)
    reach_publisher_(*cut);
  if (*cut)
    return WatchReach();
  upstream_health_.OnHostReconnected();
  LogHealthEvents(now);
}

void Gateway::WatchReach() {
  ProbeReach();
  reach_timer_ = loop_.timers().After(kReachPeriod, [this](TimePoint) {
    if (!reach_.is_cut())
      return;
    if (reach_publisher_)
      reach_publisher_(/*cut=*/true);
    WatchReach();
  });
}

void Gateway::ProbeReach() {
  const auto upstreams = shared_state_.upstreams();
  const size_t count = upstreams ? CountUpstreams(*upstreams) : 0;
  if (count == 0 || reach_probe_in_flight_)
    return;
  const auto index =
      static_cast<size_t>(rng_.Uniform() * static_cast<double>(count));
  const UpstreamEntry& upstream =
      UpstreamAt(*upstreams, std::min(index, count - 1));
  if (!MayProbe({upstream.id, upstream.incarnation}))
    return;
  const auto routes = shared_state_.routes();
  const Service* service =
      routes ? routes->FindService(upstream.service) : nullptr;
  reach_probe_in_flight_ = true;
  reach_prober_.Probe(upstream, service ? service->health_path : "",
                      [this](const ProbeReport& report) {
                        reach_probe_in_flight_ = false;
                        if (report.outcome == ProbeReport::Outcome::kAnswered)
                          OnUpstreamReached(report.sent_at);
                      });
}

bool Gateway::HasReachedUpstreamSince(TimePoint time) {
  if (reach_.ReachedAfter(time))
    return true;
  ProbeReach();
  return false;
}

}  // namespace teaselhill::gateway
