/// \file
/// Passive health checks of upstreams.

#include "teaselhill/gateway/upstream_health.h"

#include <algorithm>

#include "teaselhill/support/decay.h"

namespace teaselhill::gateway {

namespace {

/// Half-life of an upstream's delay estimate. Shorter than `failure_half_life`,
/// since queues drain within a second or two.
constexpr std::chrono::milliseconds kDelayHalfLife{700};

/// Weight of a new observation in the delay estimate of an upstream.
constexpr double kDelayWeight = 0.4;

constexpr std::chrono::seconds kStatsExpiry{60};

/// Maximum age of a load report that takes precedence over the delays of
/// earlier answers.
constexpr std::chrono::milliseconds kMaxReportAge{250};

/// Weight of a new observation in the mean delay of a service, and the
/// half-life of that mean without observations.
constexpr double kServiceDelayWeight = 0.15;
constexpr std::chrono::seconds kServiceDelayHalfLife{2};

/// A refusal raises the delay estimate to at least this value, so that load
/// moves to other upstreams.
constexpr double kRefusalDelayMs = 400;

}  // namespace

UpstreamHealth::UpstreamStats& UpstreamHealth::DecayCounts(
    const std::string& id,
    TimePoint now) {
  UpstreamStats& stats = upstream_stats_[id];
  const double factor =
      DecayFactor(now - stats.decayed_at, options_.failure_half_life);
  stats.failures *= factor;
  stats.successes *= factor;
  stats.decayed_at = now;
  return stats;
}

void UpstreamHealth::OnConnectFailed(const std::string& id,
                                     const std::string& domain,
                                     TimePoint now) {
  OnMisdirected(id, now);
  DomainStats& state = domain_stats_[domain];
  state.connect_failed_at[id] = now;
  EvaluateDomain(domain, state, now);
}

void UpstreamHealth::OnDomainReached(const std::string& domain) {
  const auto found = domain_stats_.find(domain);
  if (found == domain_stats_.end())
    return;
  if (found->second.consecutive_ejections > 0)
    events_.push_back({"", domain, /*ejected=*/false, Duration::zero(), 0, 0,
                       found->second.consecutive_ejections});
  domain_stats_.erase(found);
}

void UpstreamHealth::OnHostReconnected() {
  for (auto& [name, domain] : domain_stats_)
    events_.push_back({"", name, /*ejected=*/false, Duration::zero(), 0, 0,
                       domain.consecutive_ejections});
  domain_stats_.clear();
  for (auto& [id, stats] : upstream_stats_) {
    stats.failures = 0;
    stats.ejected_until = TimePoint{};
    stats.consecutive_ejections = 0;
  }
}

void UpstreamHealth::OnMisdirected(const std::string& id, TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  stats.failures += 1;
  EjectUpstream(id, stats, now);
}

void UpstreamHealth::EvaluateDomain(const std::string& name,
                                    DomainStats& domain,
                                    TimePoint now) {
  if (now < domain.ejected_until)
    return;
  for (auto entry = domain.connect_failed_at.begin();
       entry != domain.connect_failed_at.end();)
    entry = now - entry->second > options_.domain_failure_window
                ? domain.connect_failed_at.erase(entry)
                : std::next(entry);
  // After an ejection, one failed connection is enough to eject the domain
  // again.
  if (domain.connect_failed_at.size() < options_.min_domain_failures &&
      domain.consecutive_ejections == 0)
    return;
  Duration ejection_duration = options_.first_domain_ejection;
  for (int i = 0; i < domain.consecutive_ejections; ++i)
    ejection_duration =
        std::min(2 * ejection_duration, options_.max_domain_ejection);
  domain.ejected_until = now + ejection_duration;
  ++domain.consecutive_ejections;
  events_.push_back({"", name, /*ejected=*/true, ejection_duration,
                     static_cast<double>(domain.connect_failed_at.size()), 0,
                     domain.consecutive_ejections});
}

void UpstreamHealth::OnAnswerFailed(const std::string& id, TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  stats.failures += 1;
  EvaluateUpstream(id, stats, now);
}

void UpstreamHealth::OnAnswerCompleted(const std::string& id, TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  stats.successes += 1;
  if (now < stats.ejected_until || stats.consecutive_ejections == 0)
    return;
  events_.push_back({id, "", /*ejected=*/false, Duration::zero(),
                     stats.failures, stats.successes,
                     std::exchange(stats.consecutive_ejections, 0)});
}

void UpstreamHealth::OnStartDelay(const std::string& id,
                                  Duration excess,
                                  TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  const double estimate_ms =
      stats.delay_ms *
      DecayFactor(now - stats.delay_updated_at, kDelayHalfLife);
  const double observed_ms = std::max(0.0, ToMilliseconds(excess));
  stats.delay_ms = estimate_ms + kDelayWeight * (observed_ms - estimate_ms);
  stats.delay_updated_at = now;
}

void UpstreamHealth::OnLoadReport(const std::string& id,
                                  Duration queueing,
                                  int running,
                                  TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  stats.reported_delay = queueing;
  stats.reported_running = running;
  stats.reported_at = now;
}

bool UpstreamHealth::HasRecentReport(const std::string& id,
                                     TimePoint now) const {
  const auto found = upstream_stats_.find(id);
  return found != upstream_stats_.end() &&
         found->second.reported_at != TimePoint{} &&
         now - found->second.reported_at < kMaxReportAge;
}

std::optional<int> UpstreamHealth::ReportedRunning(const std::string& id,
                                                   TimePoint now) const {
  if (!HasRecentReport(id, now))
    return std::nullopt;
  return upstream_stats_.at(id).reported_running;
}

void UpstreamHealth::OnRequestRefused(const std::string& id, TimePoint now) {
  UpstreamStats& stats = DecayCounts(id, now);
  stats.delay_ms =
      std::max(kRefusalDelayMs,
               stats.delay_ms *
                   DecayFactor(now - stats.delay_updated_at, kDelayHalfLife));
  stats.delay_updated_at = now;
}

bool UpstreamHealth::IsEjected(const std::string& id,
                               const std::string& domain,
                               TimePoint now) const {
  const auto state = domain_stats_.find(domain);
  if (state != domain_stats_.end() && now < state->second.ejected_until)
    return true;
  const auto found = upstream_stats_.find(id);
  return found != upstream_stats_.end() && now < found->second.ejected_until;
}

Duration UpstreamHealth::ExpectedDelay(const std::string& id,
                                       TimePoint now) const {
  const auto found = upstream_stats_.find(id);
  if (found == upstream_stats_.end())
    return Duration::zero();
  const UpstreamStats& stats = found->second;
  if (HasRecentReport(id, now))
    return stats.reported_delay;
  return FromSeconds(stats.delay_ms / 1000 *
                     DecayFactor(now - stats.delay_updated_at, kDelayHalfLife));
}

Duration UpstreamHealth::MeanServiceDelay(const std::string& service,
                                          TimePoint now) const {
  const auto found = service_delays_.find(service);
  if (found == service_delays_.end())
    return Duration::zero();
  return FromSeconds(
      found->second.mean_ms / 1000 *
      DecayFactor(now - found->second.updated_at, kServiceDelayHalfLife));
}

void UpstreamHealth::OnServiceStartDelay(const std::string& service,
                                         Duration excess,
                                         TimePoint now) {
  MeanDelay& delay = service_delays_[service];
  const double estimate_ms = ToMilliseconds(MeanServiceDelay(service, now));
  const double observed_ms = std::max(0.0, ToMilliseconds(excess));
  delay.mean_ms =
      estimate_ms + kServiceDelayWeight * (observed_ms - estimate_ms);
  delay.updated_at = now;
}

double UpstreamHealth::FailureFraction(const std::string& id,
                                       TimePoint now) const {
  const auto found = upstream_stats_.find(id);
  if (found == upstream_stats_.end())
    return 0;
  const UpstreamStats& stats = found->second;
  const double factor =
      DecayFactor(now - stats.decayed_at, options_.failure_half_life);
  // One success is added to the counts, so that a single failure does not yield
  // a fraction of 1.
  const double total = (stats.failures + stats.successes) * factor + 1;
  return stats.failures * factor / total;
}

void UpstreamHealth::ExpireUpstreams(TimePoint now) {
  for (auto entry = upstream_stats_.begin(); entry != upstream_stats_.end();) {
    if (now - entry->second.decayed_at > kStatsExpiry)
      entry = upstream_stats_.erase(entry);
    else
      ++entry;
  }
}

void UpstreamHealth::EjectUpstream(const std::string& id,
                                   UpstreamStats& stats,
                                   TimePoint now) {
  if (now < stats.ejected_until)
    return;
  Duration ejection_duration = options_.first_ejection;
  for (int i = 0; i < stats.consecutive_ejections &&
                  ejection_duration < options_.max_ejection;
       ++i)
    ejection_duration *= 2;
  ejection_duration = std::min(ejection_duration, options_.max_ejection);
  stats.ejected_until = now + ejection_duration;
  ++stats.consecutive_ejections;
  events_.push_back({id, "", /*ejected=*/true, ejection_duration,
                     stats.failures, stats.successes,
                     stats.consecutive_ejections});
}

void UpstreamHealth::EvaluateUpstream(const std::string& id,
                                      UpstreamStats& stats,
                                      TimePoint now) {
  const double total = stats.failures + stats.successes;
  if (stats.failures >= options_.min_failures &&
      stats.failures >= options_.max_failure_fraction * total)
    EjectUpstream(id, stats, now);
}

}  // namespace teaselhill::gateway
