/// \file
/// Rendezvous hashing with a bounded queueing delay.

#include "teaselhill/gateway/affinity_placement.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// Maximum number of engines whose load reports are fetched for one request.
static constexpr size_t kMaxReportCandidates = 2;

/// Cost of placing an urgent stream at an engine, for each request that runs
/// there and for one that is about to be full. A free slot is worth more than a
/// shorter prefill, since a stream keeps its engine for seconds.
static constexpr std::chrono::milliseconds kRunningRequestCost{4};
static constexpr std::chrono::milliseconds kFullEngineCost{150};

/// Reserved engines that are compared for one urgent stream. Two random ones
/// keep the load even where each host knows little of it.
static constexpr size_t kSampledEngines = 2;

static const PlacementRegistration kAffinity(
    "affinity",
    [](const PlacementOptions& options) {
      return std::make_unique<AffinityPlacement>(options);
    });

/// Returns random engines: the same ones for the same sample, as long as they
/// are listed.
static std::vector<const UpstreamEntry*> SampleEngines(
    std::vector<const UpstreamEntry*> engines,
    uint64_t sample) {
  std::sort(engines.begin(), engines.end(),
            [sample](const UpstreamEntry* a, const UpstreamEntry* b) {
              return Hash64(a->id, sample) > Hash64(b->id, sample);
            });
  engines.resize(std::min(engines.size(), kSampledEngines));
  return engines;
}

/// Rank by weighted rendezvous hashing: an engine gets the highest one for a
/// part of all hashes that is in proportion to its speed.
static double PrefixRank(uint64_t hash, double speed) {
  const double uniform = (static_cast<double>(hash) + 1) * 0x1p-64;
  return std::log(uniform) / speed;
}

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
  engine_counts_[request.service] = upstreams.OfService(request.service).size();
  const EligibleUpstreams eligible =
      FindEligibleUpstreams(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return std::nullopt;
  const EngineGroups groups = DivideCandidates(request, upstreams, eligible);
  if (request.is_urgent_stream && !groups.reserved.empty()) {
    Placement placement = ChooseReserved(request, groups, health, now);
    placement.ejected_count = static_cast<int>(eligible.ejected.size());
    return placement;
  }
  if (reserve_.AppliesTo(request, upstreams.OfService(request.service).size()))
    reserve_.OnPlaced(request.service, {},
                      health.MeanServiceDelay(request.service, now), now);
  std::vector<Candidate> candidates = RankUpstreams(
      request, groups.shared.empty() ? groups.reserved : groups.shared, now);
  candidates.front().is_first_in_rank = true;
  for (Candidate& candidate : candidates) {
    candidate.has_prefix_cached =
        request.prefix_hash != 0 &&
        (candidate.is_first_in_rank ||
         HasPrefixCached(request.prefix_hash, *candidate.upstream, now));
    candidate.expected_delay = ExpectedDelay(request, candidate, health, now);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.expected_delay != b.expected_delay
                         ? a.expected_delay < b.expected_delay
                         : a.rank > b.rank;
            });
  const Candidate& best = candidates.front();
  Placement placement;
  placement.upstream = *best.upstream;
  placement.expected_delay = best.expected_delay;
  placement.second_best_delay = candidates.size() > 1
                                    ? candidates[1].expected_delay
                                    : best.expected_delay;
  placement.engine_speed = SpeedOf(request, *best.upstream);
  placement.candidate_count = static_cast<int>(candidates.size());
  placement.ejected_count = static_cast<int>(eligible.ejected.size());
  if (eligible.usable.empty())
    placement.reason = PlacementReason::kAllEjected;
  else if (!request.is_engine)
    placement.reason = PlacementReason::kNearest;
  else if (best.is_first_in_rank)
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
  if (!request.is_engine ||
      (request.prefix_hash == 0 && !request.is_urgent_stream))
    return report_candidates;
  const EligibleUpstreams eligible =
      FindEligibleUpstreams(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return report_candidates;
  const EngineGroups groups = DivideCandidates(request, upstreams, eligible);
  if (request.is_urgent_stream && !groups.reserved.empty()) {
    for (const UpstreamEntry* engine :
         SampleEngines(groups.reserved, request.sample))
      report_candidates.push_back(*engine);
    return report_candidates;
  }
  for (const Candidate& candidate : RankUpstreams(
           request, groups.shared.empty() ? groups.reserved : groups.shared,
           now)) {
    if (report_candidates.size() < kMaxReportCandidates)
      report_candidates.push_back(*candidate.upstream);
  }
  return report_candidates;
}

bool AffinityPlacement::AlwaysNeedsReports(
    const PlacementRequest& request,
    const UpstreamList& upstreams) const {
  return request.is_urgent_stream &&
         reserve_.AppliesTo(request,
                            upstreams.OfService(request.service).size());
}

bool AffinityPlacement::UsesEngineSpeeds(const PlacementRequest& request,
                                         const UpstreamList& upstreams) const {
  // An engine that runs many requests at once shows its load between events
  // rather than its speed.
  return options_.engine_speeds &&
         reserve_.AppliesTo(request,
                            upstreams.OfService(request.service).size());
}

double AffinityPlacement::SpeedOf(const PlacementRequest& request,
                                  const UpstreamEntry& upstream) const {
  const auto count = engine_counts_.find(request.service);
  if (!options_.engine_speeds || count == engine_counts_.end() ||
      !reserve_.AppliesTo(request, count->second))
    return 1;
  return options_.engine_speeds->SpeedOf(upstream.id, upstream.incarnation);
}

EngineGroups AffinityPlacement::DivideCandidates(
    const PlacementRequest& request,
    const UpstreamList& upstreams,
    const EligibleUpstreams& eligible) const {
  const std::vector<UpstreamEntry>& engines =
      upstreams.OfService(request.service);
  if (eligible.usable.empty() || !reserve_.AppliesTo(request, engines.size()))
    return {{}, eligible.candidates()};
  return DivideEngines(engines, eligible.usable,
                       reserve_.Fraction(request.service));
}

Placement AffinityPlacement::ChooseReserved(const PlacementRequest& request,
                                            const EngineGroups& groups,
                                            const UpstreamHealth& health,
                                            TimePoint now) {
  std::vector<const UpstreamEntry*> candidates =
      SampleEngines(groups.reserved, request.sample);
  const auto slots = static_cast<double>(request.engine_spec.slots);
  std::vector<double> reported_fills;
  bool all_full = true;
  for (const UpstreamEntry* engine : candidates) {
    const std::optional<int> running = health.ReportedRunning(engine->id, now);
    if (running)
      reported_fills.push_back(std::min(1.0, *running / slots));
    all_full &= running && *running + 1 >= slots;
  }
  reserve_.OnPlaced(request.service, reported_fills,
                    health.MeanServiceDelay(request.service, now), now);
  if (all_full) {
    const auto others = SampleEngines(groups.shared, request.sample);
    candidates.insert(candidates.end(), others.begin(), others.end());
  }
  Placement placement;
  placement.reason =
      all_full ? PlacementReason::kReserveFull : PlacementReason::kReserved;
  placement.candidate_count = static_cast<int>(candidates.size());
  placement.expected_delay = placement.second_best_delay = Duration::max();
  for (const UpstreamEntry* engine : candidates) {
    const Duration delay = UrgentDelay(request, *engine, health, now);
    if (delay < placement.expected_delay) {
      placement.second_best_delay = placement.expected_delay;
      placement.expected_delay = delay;
      placement.upstream = *engine;
    } else {
      placement.second_best_delay =
          std::min(placement.second_best_delay, delay);
    }
  }
  if (candidates.size() == 1)
    placement.second_best_delay = placement.expected_delay;
  placement.engine_speed = SpeedOf(request, placement.upstream);
  return placement;
}

Duration AffinityPlacement::UrgentDelay(const PlacementRequest& request,
                                        const UpstreamEntry& upstream,
                                        const UpstreamHealth& health,
                                        TimePoint now) const {
  Candidate candidate;
  candidate.upstream = &upstream;
  const Duration delay = ExpectedDelay(request, candidate, health, now);
  const auto slots = static_cast<double>(request.engine_spec.slots);
  const std::optional<int> reported = health.ReportedRunning(upstream.id, now);
  // An engine without a recent report is taken for one at the intended load.
  const double running =
      reported ? *reported : reserve_.options().target_fill * slots;
  const Duration full_cost =
      running + 1 >= slots ? Duration(kFullEngineCost) : Duration::zero();
  return delay + FromSeconds(ToSeconds(kRunningRequestCost) * running) +
         full_cost;
}

std::vector<AffinityPlacement::Candidate> AffinityPlacement::RankUpstreams(
    const PlacementRequest& request,
    const std::vector<const UpstreamEntry*>& upstreams,
    TimePoint now) const {
  std::vector<Candidate> ranked;
  for (const UpstreamEntry* upstream : upstreams) {
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.rank = PrefixRank(Hash64(upstream->id, request.prefix_hash),
                                SpeedOf(request, *upstream));
    ranked.push_back(candidate);
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
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
  double delay_ms = ToMilliseconds(health.ExpectedDelay(id, now));
  // A report counts requests; a slow engine takes longer for each.
  if (health.HasRecentReport(id, now))
    delay_ms /= SpeedOf(request, *candidate.upstream);
  delay_ms +=
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
  delay_ms += tokens / options_.prefill_tokens_per_ms /
              SpeedOf(request, *candidate.upstream);
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
  return FromSeconds(tokens / options_.prefill_tokens_per_ms /
                     SpeedOf(request, upstream) / 1000);
}

void AffinityPlacement::ExpireUnused(TimePoint now) {
  reserve_.Update(now);
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
