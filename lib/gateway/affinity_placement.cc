/// \file
/// Rendezvous hashing with a bounded queueing delay.

#include "teaselhill/gateway/affinity_placement.h"

#include <algorithm>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// Maximum number of engines whose load reports are fetched for one request.
static constexpr size_t kMaxReportCandidates = 2;

static const PlacementRegistration kAffinity(
    "affinity",
    [](const PlacementOptions& options) {
      return std::make_unique<AffinityPlacement>(options);
    });

PrefixLoadTracker::Usage PrefixLoadTracker::DecayedUsage(const Usage& usage,
                                                         TimePoint now) const {
  const double factor = DecayFactor(now - usage.updated_at, half_life_);
  return {usage.tokens * factor, usage.requests * factor, now};
}

void PrefixLoadTracker::AddRequest(uint64_t prefix_hash,
                                   double tokens,
                                   TimePoint now) {
  for (Usage* usage : {&total_usage_, &usage_by_prefix_[prefix_hash]}) {
    *usage = DecayedUsage(*usage, now);
    usage->tokens += tokens;
    usage->requests += 1;
  }
}

double PrefixLoadTracker::LoadFraction(uint64_t prefix_hash,
                                       TimePoint now) const {
  const auto found = usage_by_prefix_.find(prefix_hash);
  if (found == usage_by_prefix_.end())
    return 0;
  const Usage usage = DecayedUsage(found->second, now);
  const Usage total = DecayedUsage(total_usage_, now);
  if (usage.requests <= 1 || total.tokens <= 0)
    return 0;
  return usage.tokens * (usage.requests - 1) / usage.requests / total.tokens;
}

void PrefixLoadTracker::ExpireUnused(TimePoint now) {
  constexpr double kMinRequests = 0.05;
  for (auto entry = usage_by_prefix_.begin();
       entry != usage_by_prefix_.end();) {
    const bool unused =
        DecayedUsage(entry->second, now).requests < kMinRequests;
    entry = unused ? usage_by_prefix_.erase(entry) : std::next(entry);
  }
}

std::optional<Placement> AffinityPlacement::ChooseUpstream(
    const PlacementRequest& request,
    const UpstreamList& upstreams,
    const UpstreamHealth& health,
    TimePoint now) {
  const EligibleUpstreams eligible =
      FindEligibleUpstreams(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return std::nullopt;
  std::vector<Candidate> candidates =
      RankUpstreams(request, eligible.candidates(), now);
  const uint64_t highest_rank = candidates.front().hash_rank;
  for (Candidate& candidate : candidates) {
    candidate.has_prefix_cached =
        request.prefix_hash != 0 &&
        (candidate.hash_rank == highest_rank ||
         HasPrefixCached(request.prefix_hash, *candidate.upstream, now));
    candidate.expected_delay = ExpectedDelay(request, candidate, health, now);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.expected_delay != b.expected_delay
                         ? a.expected_delay < b.expected_delay
                         : a.hash_rank > b.hash_rank;
            });
  const Candidate& best = candidates.front();
  Placement placement;
  placement.upstream = *best.upstream;
  placement.expected_delay = best.expected_delay;
  placement.second_best_delay = candidates.size() > 1
                                    ? candidates[1].expected_delay
                                    : best.expected_delay;
  placement.candidate_count = static_cast<int>(candidates.size());
  placement.ejected_count = static_cast<int>(eligible.ejected.size());
  if (eligible.usable.empty())
    placement.reason = PlacementReason::kAllEjected;
  else if (!request.is_engine)
    placement.reason = PlacementReason::kNearest;
  else if (best.hash_rank == highest_rank)
    placement.reason = PlacementReason::kAffinityOwner;
  else if (best.has_prefix_cached)
    placement.reason = PlacementReason::kPrefixCached;
  else
    placement.reason = PlacementReason::kLeastDelay;
  return placement;
}

std::vector<UpstreamEntry> AffinityPlacement::ReportCandidates(
    const PlacementRequest& request,
    const UpstreamList& upstreams,
    const UpstreamHealth& health,
    TimePoint now) const {
  std::vector<UpstreamEntry> report_candidates;
  if (!request.is_engine || request.prefix_hash == 0)
    return report_candidates;
  const EligibleUpstreams eligible =
      FindEligibleUpstreams(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return report_candidates;
  for (const Candidate& candidate :
       RankUpstreams(request, eligible.candidates(), now)) {
    if (report_candidates.size() < kMaxReportCandidates)
      report_candidates.push_back(*candidate.upstream);
  }
  return report_candidates;
}

std::vector<AffinityPlacement::Candidate> AffinityPlacement::RankUpstreams(
    const PlacementRequest& request,
    const std::vector<const UpstreamEntry*>& upstreams,
    TimePoint now) const {
  std::vector<Candidate> ranked;
  for (const UpstreamEntry* upstream : upstreams) {
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.hash_rank = Hash64(upstream->id, request.prefix_hash);
    ranked.push_back(candidate);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.hash_rank > b.hash_rank;
            });
  if (request.prefix_hash != 0)
    ranked.resize(PrefixEngineCount(request, ranked.size(), now));
  return ranked;
}

size_t AffinityPlacement::PrefixEngineCount(const PlacementRequest& request,
                                            size_t engines,
                                            TimePoint now) const {
  const double load_fraction =
      prefix_load_tracker_.LoadFraction(request.prefix_hash, now);
  const double extra_engines = load_fraction * static_cast<double>(engines) /
                               options_.max_prefix_load_fraction;
  const size_t engine_count = static_cast<size_t>(options_.engines_per_prefix) +
                              static_cast<size_t>(extra_engines);
  return std::clamp<size_t>(engine_count, 1, engines);
}

bool AffinityPlacement::HasPrefixCached(uint64_t prefix_hash,
                                        const UpstreamEntry& upstream,
                                        TimePoint now) const {
  const auto found = caching_engines_.find(prefix_hash);
  if (found == caching_engines_.end())
    return false;
  for (const CachingEngine& engine : found->second) {
    if (engine.upstream_id == upstream.id &&
        engine.incarnation == upstream.incarnation)
      return now - engine.last_used_at < options_.prefix_retention;
  }
  return false;
}

Duration AffinityPlacement::ExpectedDelay(const PlacementRequest& request,
                                          const Candidate& candidate,
                                          const UpstreamHealth& health,
                                          TimePoint now) const {
  const std::string& id = candidate.upstream->id;
  const auto found = upstream_loads_.find(id);
  const UpstreamLoad load =
      found == upstream_loads_.end() ? UpstreamLoad{} : found->second;
  double delay_ms =
      ToMilliseconds(health.ExpectedDelay(id, now)) +
      ToMilliseconds(options_.failure_cost) * health.FailureFraction(id, now);
  if (!request.is_engine) {
    delay_ms += ToMilliseconds(options_.service_slot_cost) * load.in_flight;
    if (candidate.upstream->domain != options_.own_domain)
      delay_ms += ToMilliseconds(options_.cross_domain_cost);
    return FromSeconds(delay_ms / 1000);
  }
  double tokens = load.unanswered_tokens;
  if (!candidate.has_prefix_cached)
    tokens += request.shared_prefix_tokens;
  delay_ms += tokens / options_.prefill_tokens_per_ms;
  return FromSeconds(delay_ms / 1000);
}

void AffinityPlacement::OnRequestSent(const PlacementRequest& request,
                                      const UpstreamEntry& upstream,
                                      TimePoint now) {
  UpstreamLoad& load = upstream_loads_[upstream.id];
  ++load.in_flight;
  load.last_used_at = now;
  load.unanswered_tokens += request.unique_tokens;
  if (request.prefix_hash == 0)
    return;
  prefix_load_tracker_.AddRequest(request.prefix_hash, request.unique_tokens,
                                  now);
  std::vector<CachingEngine>& engines_with_prefix =
      caching_engines_[request.prefix_hash];
  for (CachingEngine& engine : engines_with_prefix) {
    if (engine.upstream_id == upstream.id) {
      engine.incarnation = upstream.incarnation;
      engine.last_used_at = now;
      return;
    }
  }
  engines_with_prefix.push_back({upstream.id, upstream.incarnation, now});
}

void AffinityPlacement::OnAnswerStarted(const PlacementRequest& request,
                                        const std::string& upstream) {
  UpstreamLoad& load = upstream_loads_[upstream];
  load.unanswered_tokens =
      std::max(0.0, load.unanswered_tokens - request.unique_tokens);
}

void AffinityPlacement::OnAttemptEnded(const PlacementRequest& request,
                                       const std::string& upstream,
                                       bool answer_started) {
  if (!answer_started)
    OnAnswerStarted(request, upstream);
  UpstreamLoad& load = upstream_loads_[upstream];
  load.in_flight = std::max(0, load.in_flight - 1);
}

Duration AffinityPlacement::ExpectedPrefill(const PlacementRequest& request,
                                            const UpstreamEntry& upstream,
                                            TimePoint now) const {
  double tokens = request.unique_tokens;
  if (request.prefix_hash == 0 ||
      !HasPrefixCached(request.prefix_hash, upstream, now))
    tokens += request.shared_prefix_tokens;
  return FromSeconds(tokens / options_.prefill_tokens_per_ms / 1000);
}

void AffinityPlacement::ExpireUnused(TimePoint now) {
  prefix_load_tracker_.ExpireUnused(now);
  for (auto entry = caching_engines_.begin();
       entry != caching_engines_.end();) {
    std::vector<CachingEngine>& engines_with_prefix = entry->second;
    engines_with_prefix.erase(
        std::remove_if(engines_with_prefix.begin(), engines_with_prefix.end(),
                       [&](const CachingEngine& engine) {
                         return now - engine.last_used_at >=
                                options_.prefix_retention;
                       }),
        engines_with_prefix.end());
    entry = engines_with_prefix.empty() ? caching_engines_.erase(entry)
                                        : std::next(entry);
  }
  for (auto entry = upstream_loads_.begin(); entry != upstream_loads_.end();) {
    const UpstreamLoad& load = entry->second;
    const bool idle = load.in_flight == 0 &&
                      now - load.last_used_at >= options_.prefix_retention;
    entry = idle ? upstream_loads_.erase(entry) : std::next(entry);
  }
}

int AffinityPlacement::in_flight(const std::string& upstream) const {
  const auto found = upstream_loads_.find(upstream);
  return found == upstream_loads_.end() ? 0 : found->second.in_flight;
}

}  // namespace teaselhill::gateway
