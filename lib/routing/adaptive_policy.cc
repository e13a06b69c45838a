/// \file
/// The adaptive policy: chooses the upstream with the least expected time, the
/// sum of queueing, prefill, decode and the cost of crossing failure domains.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "teaselhill/routing/routing_policy.h"

namespace teaselhill::routing {

namespace {

/// Output length assumed when neither the request nor the model provides one.
constexpr double kDefaultOutputTokens = 128;
/// Relative increase of the time per token from an empty to a full batch.
constexpr double kFullBatchSlowdownFraction = 0.5;
/// Expected delay per request in flight on a plain service.
constexpr double kServiceSecondsPerRequest = 0.005;
/// Fraction of a straggler's batch that non-urgent requests may use.
constexpr double kStragglerBatchFraction = 0.5;
/// Time after the end of an ejection from which urgent idempotent requests may
/// probe the upstream. Other idempotent requests may probe it at once.
constexpr Duration kUrgentProbeDelay = std::chrono::seconds(5);
/// Time after the end of an ejection from which any request may probe the
/// upstream, including non-idempotent requests but no isolated crash suspects.
constexpr Duration kAnyProbeDelay = std::chrono::seconds(15);
/// Fraction of the suitable requests that probe an upstream after its ejection,
/// until `kAnyProbeDelay` has passed.
constexpr double kEjectedProbeFraction = 0.25;
constexpr size_t kMaxPrefixCandidates = 4;
/// Approximate interval at which hosts publish their sends to each other.
constexpr Duration kPeerPublishInterval = std::chrono::milliseconds(100);
/// When a batch has at most this many free slots, the hosts that use the
/// upstream divide the free slots among themselves.
constexpr int kMaxContestedSlots = 2;
constexpr size_t kMaxSampleSize = 16;

struct Candidate {
  uint32_t index = 0;
  int load = 0;
  int free_slots = 0;
  bool local = false;  ///< in the host's failure domain
};

struct Scan {
  std::vector<Candidate> eligible;
  std::vector<Candidate> probes;
  std::vector<Candidate> ejected;
  int serving = 0;  ///< not leaving, or leaving only by a refusal
  int leaving = 0;
  int unhealthy = 0;  ///< ejected or probing
  int full = 0;
  int unsuitable = 0;
};

class AdaptivePolicy : public RoutingPolicy {
 public:
  explicit AdaptivePolicy(RoutingOptions options)
      : options_(std::move(options)) {}

  RouteResult Choose(const RouteRequest& request,
                     const UpstreamTable& table,
                     Rng& rng,
                     TimePoint now) override {
    matches_.clear();
    ScanUpstreams(request, table, rng, now);
    if (scan_.serving == 0)
      return NoUpstream{scan_.leaving};
    if (!scan_.probes.empty()) {
      const Candidate probe = scan_.probes[rng.Below(scan_.probes.size())];
      return MakeChoice(request, table, {probe}, ChoiceReason::kProbe, rng,
                        now);
    }
    if (!scan_.eligible.empty())
      return ChooseFrom(request, table, scan_.eligible, false, rng, now);
    // When most upstreams are ejected, the fault is more likely to be on this
    // host or its network, and the healthy upstreams could not carry the load.
    // Ejection is then ignored.
    if (2 * scan_.unhealthy > scan_.serving && !scan_.ejected.empty())
      return ChooseFrom(request, table, scan_.ejected, true, rng, now);
    return NoCapacity{scan_.serving, scan_.unhealthy, scan_.full,
                      scan_.unsuitable};
  }

 private:
  const std::vector<uint32_t>& ServingUpstreams(
      const RouteRequest& request,
      const UpstreamTable& table) const {
    return request.kind == UpstreamKind::kEngine
               ? table.ServingModel(request.target)
               : table.ServingService(request.target);
  }

  /// Returns the load at which an upstream with a batch of `batch` requests is
  /// full for the request's tier.
  int MaxLoad(const RouteRequest& request,
              const Upstream& upstream,
              int batch) const {
    if (request.tier == kUrgentTier) {
      const int headroom = static_cast<int>(
          std::ceil(batch * options_.urgent_headroom_fraction));
      return batch + std::max(1, headroom);
    }
    if (upstream.straggler)
      return std::max(1, static_cast<int>(batch * kStragglerBatchFraction));
    return batch;
  }

  static bool MeetsIsolation(const RouteRequest& request,
                             const Upstream& upstream,
                             const UpstreamTable& table,
                             TimePoint now) {
    if (request.isolated)
      return table.Suspects(upstream, now) == 0 &&
             table.NonResumable(upstream, now) == 0;
    return request.idempotent || table.Suspects(upstream, now) == 0;
  }

  bool MayProbeEjected(const RouteRequest& request,
                       const Upstream& upstream,
                       Rng& rng,
                       TimePoint now) const {
    if (upstream.probe_attempt != 0 || request.isolated)
      return false;
    const Duration since_ejection_end = now - upstream.ejected_until;
    if (since_ejection_end > kAnyProbeDelay)
      return true;
    if (!request.idempotent)
      return false;
    if (request.tier == kUrgentTier && since_ejection_end < kUrgentProbeDelay)
      return false;
    return rng.Uniform() < kEjectedProbeFraction;
  }

  void ScanUpstreams(const RouteRequest& request,
                     const UpstreamTable& table,
                     Rng& rng,
                     TimePoint now) {
    scan_.eligible.clear();
    scan_.probes.clear();
    scan_.ejected.clear();
    scan_.serving = scan_.leaving = scan_.unhealthy = scan_.full =
        scan_.unsuitable = 0;
    stragglers_.clear();
    if (now - period_start_ >= kPeerPublishInterval) {
      period_start_ = now;
      period_seed_ = rng.Next();
    }
    const bool urgent = request.tier == kUrgentTier;
    const bool probes_straggler =
        !urgent && request.idempotent && !request.isolated &&
        rng.Uniform() < options_.straggler_probe_fraction;
    int healthy_non_stragglers = 0;
    for (const uint32_t index : ServingUpstreams(request, table)) {
      const Upstream& upstream = table.At(index);
      if (table.IsLeaving(upstream, now)) {
        // A refusal mark expires by itself, so the upstream still counts as
        // serving and the request may wait until the mark has expired.
        const bool refusal_only = upstream.leaving_sources ==
                                  static_cast<uint8_t>(LeavingSource::kRefusal);
        scan_.serving += refusal_only ? 1 : 0;
        scan_.unsuitable += refusal_only ? 1 : 0;
        scan_.leaving += refusal_only ? 0 : 1;
        continue;
      }
      ++scan_.serving;
      const Health health = table.HealthOf(upstream, now);
      scan_.unhealthy += health == Health::kHealthy ? 0 : 1;
      healthy_non_stragglers +=
          health == Health::kHealthy && !upstream.straggler ? 1 : 0;
      if (IsExcluded(request, table, upstream) ||
          !MeetsIsolation(request, upstream, table, now)) {
        ++scan_.unsuitable;
        continue;
      }
      const int load = table.CorrectedLoad(upstream, now);
      const int max_load = MaxLoad(request, upstream, table.MaxBatch(upstream));
      if (load >= max_load) {
        ++scan_.full;
        continue;
      }
      // A crash suspect must start within the time slot that the crash tracker
      // assigned, so this host does not leave a free batch slot to its peers
      // for such a request.
      if (!urgent && !request.isolated &&
          IsLeftToPeers(upstream, max_load - load, now)) {
        ++scan_.full;
        continue;
      }
      const Candidate candidate{index, load, max_load - load,
                                upstream.spec.domain == options_.own_domain};
      if (health != Health::kHealthy) {
        scan_.ejected.push_back(candidate);
        if (health == Health::kProbing &&
            MayProbeEjected(request, upstream, rng, now))
          scan_.probes.push_back(candidate);
      } else if (!upstream.straggler) {
        scan_.eligible.push_back(candidate);
      } else if (urgent || probes_straggler) {
        stragglers_.push_back(candidate);
      } else {
        scan_.eligible.push_back(candidate);
      }
    }
    if (probes_straggler) {
      for (const Candidate& straggler : stragglers_)
        scan_.probes.push_back(straggler);
    } else if (healthy_non_stragglers == 0) {
      for (const Candidate& straggler : stragglers_)
        scan_.eligible.push_back(straggler);
    } else {
      scan_.unsuitable += static_cast<int>(stragglers_.size());
    }
  }

  /// Returns whether this host leaves the last free slots of a batch to its
  /// peers during the current period of `kPeerPublishInterval`. Until hosts
  /// receive each other's sends, all hosts see the same free slots and together
  /// would overfill the batch. Each host may therefore use the free slots only
  /// in a random fraction of the periods, and for one period after an own
  /// attempt has ended.
  bool IsLeftToPeers(const Upstream& upstream,
                     int free_slots,
                     TimePoint now) const {
    if (free_slots > kMaxContestedSlots ||
        now - upstream.own_ended_at < kPeerPublishInterval)
      return false;
    uint64_t hosts = 1;
    for (const PeerLoad& peer : upstream.peer_loads)
      hosts += peer.in_flight > 0 ? 1 : 0;
    // Multiplication by 2^64 over the golden ratio spreads the seed and index
    // over all bits.
    uint64_t hash = (period_seed_ ^ upstream.index) * 0x9E3779B97F4A7C15u;
    hash ^= hash >> 32;
    return hash % hosts >= static_cast<uint64_t>(free_slots);
  }

  RouteResult ChooseFrom(const RouteRequest& request,
                         const UpstreamTable& table,
                         const std::vector<Candidate>& pool,
                         bool ignores_ejection,
                         Rng& rng,
                         TimePoint now) {
    if (request.isolated)
      return MakeChoice(request, table, PickLeastLoaded(pool, rng),
                        ChoiceReason::kIsolation, rng, now);
    const ChoiceReason reason = ignores_ejection ? ChoiceReason::kPanic
                                : pool.size() == 1
                                    ? ChoiceReason::kOnlyCandidate
                                    : ChoiceReason::kLeastCost;
    return MakeChoice(request, table,
                      SampleCandidates(request, table, pool, rng, now), reason,
                      rng, now);
  }

  /// Returns one candidate, chosen at random from those with the least load. If
  /// the suspect crashes this upstream, the fewest other streams break.
  static std::vector<Candidate> PickLeastLoaded(
      const std::vector<Candidate>& pool,
      Rng& rng) {
    int least = pool.front().load;
    for (const Candidate& candidate : pool)
      least = std::min(least, candidate.load);
    std::vector<Candidate> best;
    for (const Candidate& candidate : pool) {
      if (candidate.load == least)
        best.push_back(candidate);
    }
    return {best[rng.Below(best.size())]};
  }

  /// Makes `draw_count` random draws, weighted by free slots, from the
  /// candidates inside (`local`) or outside the host's failure domain, and
  /// passes each drawn candidate to `add`. A candidate may be drawn more than
  /// once.
  template <typename Add>
  static void DrawWeighted(const std::vector<Candidate>& pool,
                           bool local,
                           size_t draw_count,
                           Rng& rng,
                           const Add& add) {
    uint64_t free_slots = 0;
    for (const Candidate& candidate : pool) {
      if (candidate.local == local)
        free_slots += static_cast<uint64_t>(candidate.free_slots);
    }
    if (free_slots == 0)
      return;
    std::array<uint64_t, kMaxSampleSize> draws{};
    for (size_t i = 0; i < draw_count; ++i)
      draws[i] = rng.Below(free_slots);
    std::sort(draws.begin(),
              draws.begin() + static_cast<std::ptrdiff_t>(draw_count));
    uint64_t cumulative_slots = 0;
    size_t next = 0;
    for (const Candidate& candidate : pool) {
      if (candidate.local != local)
        continue;
      cumulative_slots += static_cast<uint64_t>(candidate.free_slots);
      for (; next < draw_count && draws[next] < cumulative_slots; ++next)
        add(candidate);
    }
  }

  /// Returns a few candidates drawn at random, weighted by free slots, and
  /// those with the longest cached prefix. The random draw keeps hosts with the
  /// same stale reports from choosing the same upstream.
  std::vector<Candidate> SampleCandidates(const RouteRequest& request,
                                          const UpstreamTable& table,
                                          const std::vector<Candidate>& pool,
                                          Rng& rng,
                                          TimePoint now) {
    const size_t draw_count =
        std::min<size_t>(std::max(1, options_.sample_size), kMaxSampleSize);
    std::vector<Candidate> sample;
    sample.reserve(2 * draw_count + kMaxPrefixCandidates);
    const auto add = [&](const Candidate& candidate) {
      const auto same = [&](const Candidate& known) {
        return known.index == candidate.index;
      };
      if (std::none_of(sample.begin(), sample.end(), same))
        sample.push_back(candidate);
    };
    // The domains are drawn from separately, because draws from all candidates
    // would often contain none of the host's own domain.
    DrawWeighted(pool, true, draw_count, rng, add);
    DrawWeighted(pool, false, draw_count, rng, add);
    matches_ = request.prefix_blocks.empty()
                   ? std::vector<PrefixIndex::Match>{}
                   : table.prefixes().Find(request.prefix_blocks, now);
    size_t caching_candidates = 0;
    for (const PrefixIndex::Match& match : matches_) {
      const auto caching_candidate = std::find_if(
          pool.begin(), pool.end(),
          [&](const Candidate& c) { return c.index == match.upstream; });
      if (caching_candidate == pool.end())
        continue;
      add(*caching_candidate);
      if (++caching_candidates == kMaxPrefixCandidates)
        break;
    }
    return sample;
  }

  CandidateEstimate EstimateTimes(const RouteRequest& request,
                                  const UpstreamTable& table,
                                  const Candidate& candidate,
                                  TimePoint now) const {
    const Upstream& upstream = table.At(candidate.index);
    CandidateEstimate estimate;
    estimate.upstream = upstream.spec.name;
    estimate.load = candidate.load;
    estimate.max_batch = std::max(1, table.MaxBatch(upstream));
    if (upstream.has_report)
      estimate.report_age = now - upstream.report_measured_at;
    if (upstream.spec.domain != options_.own_domain)
      estimate.crossing = options_.crossing_cost;
    if (request.kind == UpstreamKind::kService) {
      estimate.queueing =
          FromSeconds(candidate.load * kServiceSecondsPerRequest);
    } else {
      AddEngineTimes(request, table, upstream, estimate);
    }
    estimate.total = estimate.queueing + estimate.prefill + estimate.decode +
                     estimate.crossing;
    return estimate;
  }

  void AddEngineTimes(const RouteRequest& request,
                      const UpstreamTable& table,
                      const Upstream& upstream,
                      CandidateEstimate& estimate) const {
    const ModelStats model = table.StatsOf(request.target);
    const double typical_pace =
        model.median_seconds_per_token > 0
            ? model.median_seconds_per_token
            : ToSeconds(options_.default_time_per_token);
    const double peer_pace = upstream.peer_seconds_per_token;
    const double pace = upstream.seconds_per_token > 0
                            ? upstream.seconds_per_token
                            : (peer_pace > 0 ? peer_pace : typical_pace);
    const double mean_tokens = model.mean_output_tokens > 0
                                   ? model.mean_output_tokens
                                   : kDefaultOutputTokens;
    const double output_tokens = request.predicted_output_tokens > 0
                                     ? request.predicted_output_tokens
                                     : mean_tokens;
    const double batch_fill =
        static_cast<double>(estimate.load) / estimate.max_batch;
    estimate.decode = FromSeconds(
        output_tokens * pace *
        (1 + kFullBatchSlowdownFraction * std::min(1.0, batch_fill)));
    // During the time of one answer, a full batch frees about max_batch slots.
    const int queued_ahead = estimate.load - estimate.max_batch + 1;
    if (queued_ahead > 0)
      estimate.queueing =
          FromSeconds(queued_ahead * mean_tokens * pace / estimate.max_batch);
    double cached_fraction = 0;
    for (const PrefixIndex::Match& match : matches_) {
      if (match.upstream != upstream.index)
        continue;
      estimate.cached_blocks = match.cached_blocks;
      cached_fraction =
          match.confidence * match.cached_blocks / request.prefix_blocks.size();
    }
    estimate.prefill =
        FromSeconds((1 - cached_fraction) * request.prompt_tokens /
                    options_.prefill_tokens_per_second);
  }

  Choice MakeChoice(const RouteRequest& request,
                    const UpstreamTable& table,
                    const std::vector<Candidate>& sample,
                    ChoiceReason reason,
                    Rng& rng,
                    TimePoint now) const {
    Choice choice;
    choice.eligible = static_cast<int>(scan_.eligible.size());
    choice.candidates.reserve(sample.size());
    size_t best = 0;
    for (const Candidate& candidate : sample) {
      choice.candidates.push_back(
          EstimateTimes(request, table, candidate, now));
      if (choice.candidates.back().total < choice.candidates[best].total)
        best = choice.candidates.size() - 1;
    }
    std::swap(choice.candidates.front(), choice.candidates[best]);
    const CandidateEstimate& chosen = choice.candidates.front();
    choice.upstream = chosen.upstream;
    choice.reason = reason;
    if (reason == ChoiceReason::kLeastCost && chosen.cached_blocks > 0)
      choice.reason = ChoiceReason::kPrefixAffinity;
    return choice;
  }

  RoutingOptions options_;
  // Scratch space, reused so that `Choose` does not allocate memory for each
  // candidate.
  Scan scan_;
  std::vector<Candidate> stragglers_;
  TimePoint period_start_;
  uint64_t period_seed_ = 0;
  std::vector<PrefixIndex::Match> matches_;
};

const RoutingPolicyRegistration kAdaptiveRegistration(
    "adaptive",
    [](RoutingOptions options) -> std::unique_ptr<RoutingPolicy> {
      return std::make_unique<AdaptivePolicy>(std::move(options));
    });

}  // namespace

}  // namespace teaselhill::routing
