/// \file
/// Failures, leaving marks, pace and stragglers of upstreams.

#include <algorithm>
#include <cstddef>

#include "upstream_table_impl.h"

namespace teaselhill::routing {

namespace {

/// The first ejection must outlast `CrashTrackerOptions::merge_window`, within
/// which two crashes of an upstream count as one.
constexpr Duration kFirstEjection = std::chrono::seconds(4);
constexpr Duration kLongestEjection = std::chrono::seconds(60);
/// The backoff is reset when no failure follows for this time after the longest
/// ejection.
constexpr Duration kBackoffForgotten = std::chrono::seconds(60);
constexpr uint32_t kEjectingFailures = 3;
constexpr double kMaxPaceSamples = 400;
constexpr size_t kMinPacedEngines = 3;
constexpr double kStragglerEnter = 2.0;  ///< times the median
constexpr double kStragglerLeave = 1.4;
/// Streams report progress every 100 ms, so this is ten missed reports.
constexpr Duration kStall = std::chrono::seconds(1);
constexpr uint32_t kStallTokens = 4;  ///< weight of one stalled stream

/// Marks after which an upstream may return as a new process.
constexpr uint8_t kStopSigns = static_cast<uint8_t>(LeavingSign::kHostList) |
                               static_cast<uint8_t>(LeavingSign::kOperator);

}  // namespace

void UpstreamTable::OnFailure(Upstream& upstream, TimePoint now) {
  if (upstream.failures < kEjectingFailures)
    return;
  // The other streams of a crashed upstream break during its ejection and
  // belong to the same failure.
  if (upstream.ejected && now < upstream.ejected_until)
    return;
  if (now - upstream.failed_at > kBackoffForgotten + kLongestEjection)
    upstream.ejections = 0;
  const uint32_t doublings = std::min<uint32_t>(upstream.ejections, 5);
  ++upstream.ejections;
  upstream.ejected = true;
  upstream.failed_at = now;
  upstream.ejected_until =
      now + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

void UpstreamTable::OnSuccess(Upstream& upstream,
                              TimePoint sent_at,
                              TimePoint now) {
  // An attempt sent before the failure does not show that it is over.
  if (upstream.ejected && sent_at <= upstream.failed_at)
    return;
  upstream.ejected = false;
  upstream.failures = 0;
}

Health UpstreamTable::HealthOf(const Upstream& upstream, TimePoint now) const {
  if (!upstream.ejected)
    return Health::kHealthy;
  return now < upstream.ejected_until ? Health::kEjected : Health::kProbing;
}

bool UpstreamTable::MarkLeaving(const std::string& name,
                                LeavingSign sign,
                                TimePoint now) {
  Upstream* const upstream = Mutable(name);
  if (upstream == nullptr)
    return false;
  const bool was_leaving = IsLeaving(*upstream, now);
  upstream->leaving |= Bit(sign);
  if (sign == LeavingSign::kRefusal)
    upstream->refused_at = now;
  return !was_leaving;
}

void UpstreamTable::ClearLeaving(const std::string& name,
                                 LeavingSign sign,
                                 TimePoint now) {
  Upstream* const upstream = Mutable(name);
  if (upstream == nullptr)
    return;
  const uint8_t before = upstream->leaving;
  upstream->leaving &= ~Bit(sign);
  if ((before & kStopSigns) != 0 && (upstream->leaving & kStopSigns) == 0)
    OnReturned(*upstream);
}

void UpstreamTable::OnReturned(Upstream& upstream) {
  Upstream fresh;
  fresh.spec = std::move(upstream.spec);
  fresh.index = upstream.index;
  fresh.leaving = upstream.leaving;
  fresh.refused_at = upstream.refused_at;
  fresh.peers = std::move(upstream.peers);
  // Attempts of this host may still be in flight, and their ends will be
  // subtracted from the counts.
  fresh.own_in_flight = upstream.own_in_flight;
  fresh.own_non_resumable = upstream.own_non_resumable;
  fresh.own_suspects = upstream.own_suspects;
  fresh.own_tokens_owed = upstream.own_tokens_owed;
  fresh.sent_since_message = upstream.sent_since_message;
  fresh.ended_since_message = upstream.ended_since_message;
  fresh.changed_at = upstream.changed_at;
  fresh.told_at = upstream.told_at;
  fresh.told_in_flight = upstream.told_in_flight;
  fresh.told_non_resumable = upstream.told_non_resumable;
  fresh.told_suspects = upstream.told_suspects;
  upstream = std::move(fresh);
  prefixes_.RemoveUpstream(upstream.index);
}

bool UpstreamTable::IsLeaving(const Upstream& upstream, TimePoint now) const {
  const uint8_t firm = upstream.leaving & ~Bit(LeavingSign::kRefusal);
  const bool refusing = (upstream.leaving & Bit(LeavingSign::kRefusal)) != 0 &&
                        now - upstream.refused_at < kRefusalHold;
  return firm != 0 || refusing;
}

void UpstreamTable::RecordPace(Upstream& upstream,
                               double seconds,
                               uint32_t tokens,
                               TimePoint now) {
  const double known = std::min(DecayedSamples(upstream, now), kMaxPaceSamples);
  upstream.seconds_per_token =
      (upstream.seconds_per_token * known + seconds * tokens) /
      (known + tokens);
  upstream.pace_samples = known + tokens;
  upstream.pace_at = now;
}

void UpstreamTable::RefreshStalls(TimePoint now) {
  for (const auto& [id, attempt] : attempts_) {
    const Duration silence = now - attempt.progress_at;
    if (attempt.first_token && silence > kStall)
      RecordPace(upstreams_[attempt.upstream], ToSeconds(silence), kStallTokens,
                 now);
  }
}

void UpstreamTable::RefreshStragglers(TimePoint now) {
  std::vector<double> paces;
  for (const auto& [model, indices] : by_model_) {
    paces.clear();
    for (const uint32_t index : indices) {
      const Upstream& upstream = upstreams_[index];
      if (DecayedSamples(upstream, now) >= kMinPaceSamples)
        paces.push_back(upstream.seconds_per_token);
    }
    if (paces.size() < kMinPacedEngines)
      continue;
    auto middle =
        paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    const double median = *middle;
    pace_[model].median_seconds_per_token = median;
    for (const uint32_t index : indices) {
      Upstream& upstream = upstreams_[index];
      if (DecayedSamples(upstream, now) < kMinPaceSamples)
        continue;
      const double limit =
          (upstream.straggler ? kStragglerLeave : kStragglerEnter) * median;
      upstream.straggler = upstream.seconds_per_token > limit;
    }
  }
}

ModelPace UpstreamTable::PaceOf(const std::string& model) const {
  const auto found = pace_.find(model);
  return found == pace_.end() ? ModelPace{} : found->second;
}

}  // namespace teaselhill::routing
