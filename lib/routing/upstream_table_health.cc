/// \file
/// Failures, leaving marks, pace and stragglers of upstreams.

#include <algorithm>
#include <cstddef>

#include "upstream_table_impl.h"

namespace teaselhill::routing {

namespace {

/// Must be longer than `CrashTrackerOptions::merge_window`, because two crashes
/// of an upstream within that window count as one.
constexpr Duration kMinEjection = std::chrono::seconds(4);
constexpr Duration kMaxEjection = std::chrono::seconds(60);
/// The backoff is reset when an upstream is ejected more than this time plus
/// `kMaxEjection` after its previous ejection started.
constexpr Duration kBackoffResetDelay = std::chrono::seconds(60);
constexpr uint32_t kMinFailureWeightToEject = 3;
constexpr double kMaxPaceTokens = 400;
constexpr size_t kMinMeasuredEngines = 3;
constexpr double kStragglerEnterRatio = 2.0;  ///< times the median
constexpr double kStragglerExitRatio = 1.4;
/// A stream without progress for this time is stalled. Streams report progress
/// every 100 ms, so a stalled stream has missed ten reports.
constexpr Duration kStallTimeout = std::chrono::seconds(1);
constexpr uint32_t kStallWeightTokens = 4;  ///< weight of one stalled stream

/// Sources of leaving marks that mean that the upstream's process stops. When
/// these marks are removed, the upstream may be a new process.
constexpr uint8_t kStopSources =
    static_cast<uint8_t>(LeavingSource::kHostList) |
    static_cast<uint8_t>(LeavingSource::kOperator);

}  // namespace

void UpstreamTable::OnFailure(Upstream& upstream, TimePoint now) {
  if (upstream.failure_weight < kMinFailureWeightToEject)
    return;
  // The other streams of a crashed upstream break during its ejection and
  // belong to the same failure.
  if (upstream.ejected && now < upstream.ejected_until)
    return;
  if (now - upstream.failed_at > kBackoffResetDelay + kMaxEjection)
    upstream.ejections = 0;
  const uint32_t doublings = std::min<uint32_t>(upstream.ejections, 5);
  ++upstream.ejections;
  upstream.ejected = true;
  upstream.failed_at = now;
  upstream.ejected_until =
      now + std::min(kMinEjection * (1 << doublings), kMaxEjection);
}

void UpstreamTable::OnSuccess(Upstream& upstream,
                              TimePoint sent_at,
                              TimePoint now) {
  // The success of an attempt that was sent before the failure does not show
  // that the upstream has recovered.
  if (upstream.ejected && sent_at <= upstream.failed_at)
    return;
  upstream.ejected = false;
  upstream.failure_weight = 0;
}

Health UpstreamTable::HealthOf(const Upstream& upstream, TimePoint now) const {
  if (!upstream.ejected)
    return Health::kHealthy;
  return now < upstream.ejected_until ? Health::kEjected : Health::kProbing;
}

bool UpstreamTable::MarkLeaving(const std::string& name,
                                LeavingSource source,
                                TimePoint now) {
  Upstream* const upstream = FindMutable(name);
  if (upstream == nullptr)
    return false;
  const bool was_leaving = IsLeaving(*upstream, now);
  upstream->leaving_sources |= LeavingBit(source);
  if (source == LeavingSource::kRefusal)
    upstream->refused_at = now;
  return !was_leaving;
}

void UpstreamTable::ClearLeaving(const std::string& name,
                                 LeavingSource source,
                                 TimePoint now) {
  Upstream* const upstream = FindMutable(name);
  if (upstream == nullptr)
    return;
  const uint8_t before = upstream->leaving_sources;
  upstream->leaving_sources &= ~LeavingBit(source);
  if ((before & kStopSources) != 0 &&
      (upstream->leaving_sources & kStopSources) == 0)
    ResetReturned(*upstream);
}

void UpstreamTable::ResetReturned(Upstream& upstream) {
  Upstream reset;
  reset.spec = std::move(upstream.spec);
  reset.index = upstream.index;
  reset.leaving_sources = upstream.leaving_sources;
  reset.refused_at = upstream.refused_at;
  reset.peer_loads = std::move(upstream.peer_loads);
  // The counts of own attempts are kept: attempts of this host may still be in
  // flight, and the end of each is subtracted from the counts.
  reset.own_in_flight = upstream.own_in_flight;
  reset.own_non_resumable = upstream.own_non_resumable;
  reset.own_suspects = upstream.own_suspects;
  reset.own_tokens_remaining = upstream.own_tokens_remaining;
  reset.sent_since_message = upstream.sent_since_message;
  reset.ended_since_message = upstream.ended_since_message;
  reset.changed_at = upstream.changed_at;
  reset.published_at = upstream.published_at;
  reset.published_in_flight = upstream.published_in_flight;
  reset.published_non_resumable = upstream.published_non_resumable;
  reset.published_suspects = upstream.published_suspects;
  upstream = std::move(reset);
  prefixes_.RemoveUpstream(upstream.index);
}

bool UpstreamTable::IsLeaving(const Upstream& upstream, TimePoint now) const {
  const uint8_t other_marks =
      upstream.leaving_sources & ~LeavingBit(LeavingSource::kRefusal);
  const bool refusing =
      (upstream.leaving_sources & LeavingBit(LeavingSource::kRefusal)) != 0 &&
      now - upstream.refused_at < kRefusalMarkLifetime;
  return other_marks != 0 || refusing;
}

void UpstreamTable::RecordPace(Upstream& upstream,
                               double seconds,
                               uint32_t tokens,
                               TimePoint now) {
  const double known_tokens =
      std::min(DecayedPaceTokens(upstream, now), kMaxPaceTokens);
  upstream.seconds_per_token =
      (upstream.seconds_per_token * known_tokens + seconds * tokens) /
      (known_tokens + tokens);
  upstream.pace_tokens = known_tokens + tokens;
  upstream.pace_updated_at = now;
}

void UpstreamTable::RefreshStalls(TimePoint now) {
  for (const auto& [id, attempt] : attempts_) {
    const Duration stalled_for = now - attempt.progress_at;
    if (attempt.first_token && stalled_for > kStallTimeout)
      RecordPace(upstreams_[attempt.upstream], ToSeconds(stalled_for),
                 kStallWeightTokens, now);
  }
}

void UpstreamTable::RefreshStragglers(TimePoint now) {
  std::vector<double> paces;
  for (const auto& [model, indices] : by_model_) {
    paces.clear();
    for (const uint32_t index : indices) {
      const Upstream& upstream = upstreams_[index];
      if (DecayedPaceTokens(upstream, now) >= kMinPaceTokens)
        paces.push_back(upstream.seconds_per_token);
    }
    if (paces.size() < kMinMeasuredEngines)
      continue;
    auto middle =
        paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    const double median = *middle;
    model_stats_[model].median_seconds_per_token = median;
    for (const uint32_t index : indices) {
      Upstream& upstream = upstreams_[index];
      if (DecayedPaceTokens(upstream, now) < kMinPaceTokens)
        continue;
      const double limit =
          (upstream.straggler ? kStragglerExitRatio : kStragglerEnterRatio) *
          median;
      upstream.straggler = upstream.seconds_per_token > limit;
    }
  }
}

ModelStats UpstreamTable::StatsOf(const std::string& model) const {
  const auto found = model_stats_.find(model);
  return found == model_stats_.end() ? ModelStats{} : found->second;
}

}  // namespace teaselhill::routing
