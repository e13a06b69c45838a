/// \file
/// Passive health checks of upstreams.

#include "teaselhill/gateway/upstream_health.h"

#include <algorithm>

#include "teaselhill/support/decay.h"

namespace teaselhill::gateway {

namespace {

/// Half-life of an upstream's delay estimate. Shorter than that of failures,
/// since queues drain within a second or two.
constexpr std::chrono::milliseconds kDelayHalfLife{700};

/// Weight of a new observation in the delay estimate of an upstream.
constexpr double kDelayWeight = 0.4;

constexpr std::chrono::seconds kForgetAfter{60};

/// Age up to which a report takes precedence over earlier answers.
constexpr std::chrono::milliseconds kReportAge{250};

/// Weight of a new observation in the mean delay of a service, and the
/// half-life of that mean without observations.
constexpr double kServiceDelayWeight = 0.15;
constexpr std::chrono::seconds kServiceDelayHalfLife{2};

/// A refusal raises the delay estimate to at least this value, so that load
/// moves to other upstreams.
constexpr double kRefusalDelayMs = 400;

}  // namespace

UpstreamHealth::Record& UpstreamHealth::Touch(const std::string& id,
                                              TimePoint now) {
  Record& record = records_[id];
  const double factor =
      DecayFactor(now - record.counted_at, options_.half_life);
  record.failures *= factor;
  record.successes *= factor;
  record.counted_at = now;
  return record;
}

void UpstreamHealth::OnConnectFailed(const std::string& id,
                                     const std::string& domain,
                                     TimePoint now) {
  OnMisdirected(id, now);
  Domain& state = domains_[domain];
  state.failed[id] = now;
  JudgeDomain(domain, state, now);
}

void UpstreamHealth::OnReached(const std::string& domain) {
  const auto found = domains_.find(domain);
  if (found == domains_.end())
    return;
  if (found->second.ejections > 0)
    events_.push_back({"", domain, /*ejected=*/false, Duration::zero(), 0, 0,
                       found->second.ejections});
  domains_.erase(found);
}

void UpstreamHealth::OnMisdirected(const std::string& id, TimePoint now) {
  Record& record = Touch(id, now);
  record.failures += 1;
  Eject(id, record, now);
}

void UpstreamHealth::JudgeDomain(const std::string& name,
                                 Domain& domain,
                                 TimePoint now) {
  if (now < domain.ejected_until)
    return;
  for (auto entry = domain.failed.begin(); entry != domain.failed.end();)
    entry = now - entry->second > options_.domain_window
                ? domain.failed.erase(entry)
                : std::next(entry);
  // After an ejection, one failed connection is enough to eject the domain
  // again.
  if (domain.failed.size() < options_.domain_failures && domain.ejections == 0)
    return;
  Duration time = options_.first_domain_ejection;
  for (int i = 0; i < domain.ejections; ++i)
    time = std::min(2 * time, options_.longest_domain_ejection);
  domain.ejected_until = now + time;
  ++domain.ejections;
  events_.push_back({"", name, /*ejected=*/true, time,
                     static_cast<double>(domain.failed.size()), 0,
                     domain.ejections});
}

void UpstreamHealth::OnFailed(const std::string& id, TimePoint now) {
  Record& record = Touch(id, now);
  record.failures += 1;
  Judge(id, record, now);
}

void UpstreamHealth::OnSucceeded(const std::string& id, TimePoint now) {
  Record& record = Touch(id, now);
  record.successes += 1;
  if (now < record.ejected_until || record.ejections == 0)
    return;
  events_.push_back({id, "", /*ejected=*/false, Duration::zero(),
                     record.failures, record.successes,
                     std::exchange(record.ejections, 0)});
}

void UpstreamHealth::OnDelay(const std::string& id,
                             Duration excess,
                             TimePoint now) {
  Record& record = Touch(id, now);
  const double known =
      record.delay_ms * DecayFactor(now - record.delay_at, kDelayHalfLife);
  const double seen = std::max(0.0, ToMilliseconds(excess));
  record.delay_ms = known + kDelayWeight * (seen - known);
  record.delay_at = now;
}

void UpstreamHealth::OnReport(const std::string& id,
                              Duration queueing,
                              int running,
                              TimePoint now) {
  Record& record = Touch(id, now);
  record.reported = queueing;
  record.running = running;
  record.reported_at = now;
}

bool UpstreamHealth::HasReport(const std::string& id, TimePoint now) const {
  const auto found = records_.find(id);
  return found != records_.end() && found->second.reported_at != TimePoint{} &&
         now - found->second.reported_at < kReportAge;
}

std::optional<int> UpstreamHealth::ReportedRunning(const std::string& id,
                                                   TimePoint now) const {
  if (!HasReport(id, now))
    return std::nullopt;
  return records_.at(id).running;
}

void UpstreamHealth::OnRefused(const std::string& id, TimePoint now) {
  Record& record = Touch(id, now);
  record.delay_ms = std::max(
      kRefusalDelayMs,
      record.delay_ms * DecayFactor(now - record.delay_at, kDelayHalfLife));
  record.delay_at = now;
}

bool UpstreamHealth::Ejected(const std::string& id,
                             const std::string& domain,
                             TimePoint now) const {
  const auto state = domains_.find(domain);
  if (state != domains_.end() && now < state->second.ejected_until)
    return true;
  const auto found = records_.find(id);
  return found != records_.end() && now < found->second.ejected_until;
}

Duration UpstreamHealth::ExpectedDelay(const std::string& id,
                                       TimePoint now) const {
  const auto found = records_.find(id);
  if (found == records_.end())
    return Duration::zero();
  const Record& record = found->second;
  if (HasReport(id, now))
    return record.reported;
  return FromSeconds(record.delay_ms / 1000 *
                     DecayFactor(now - record.delay_at, kDelayHalfLife));
}

Duration UpstreamHealth::TypicalDelay(const std::string& service,
                                      TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return Duration::zero();
  return FromSeconds(
      found->second.ms / 1000 *
      DecayFactor(now - found->second.at, kServiceDelayHalfLife));
}

void UpstreamHealth::OnServiceDelay(const std::string& service,
                                    Duration excess,
                                    TimePoint now) {
  Delay& delay = services_[service];
  const double known = ToMilliseconds(TypicalDelay(service, now));
  const double seen = std::max(0.0, ToMilliseconds(excess));
  delay.ms = known + kServiceDelayWeight * (seen - known);
  delay.at = now;
}

double UpstreamHealth::FailureShare(const std::string& id,
                                    TimePoint now) const {
  const auto found = records_.find(id);
  if (found == records_.end())
    return 0;
  const Record& record = found->second;
  const double factor =
      DecayFactor(now - record.counted_at, options_.half_life);
  // One assumed success keeps a single failure from giving a share of 1.
  const double all = (record.failures + record.successes) * factor + 1;
  return record.failures * factor / all;
}

void UpstreamHealth::Expire(TimePoint now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    if (now - entry->second.counted_at > kForgetAfter)
      entry = records_.erase(entry);
    else
      ++entry;
  }
}

void UpstreamHealth::Eject(const std::string& id,
                           Record& record,
                           TimePoint now) {
  if (now < record.ejected_until)
    return;
  Duration time = options_.first_ejection;
  for (int i = 0; i < record.ejections && time < options_.longest_ejection; ++i)
    time *= 2;
  time = std::min(time, options_.longest_ejection);
  record.ejected_until = now + time;
  ++record.ejections;
  events_.push_back({id, "", /*ejected=*/true, time, record.failures,
                     record.successes, record.ejections});
}

void UpstreamHealth::Judge(const std::string& id,
                           Record& record,
                           TimePoint now) {
  const double all = record.failures + record.successes;
  if (record.failures >= options_.min_failures &&
      record.failures >= options_.max_failure_share * all)
    Eject(id, record, now);
}

}  // namespace teaselhill::gateway
