/// \file
/// Placement at the engines that have cached a request's shared prompt prefix.

#ifndef TEASELHILL_GATEWAY_AFFINITY_PLACEMENT_H_
#define TEASELHILL_GATEWAY_AFFINITY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/gateway/engine_reserve.h"
#include "teaselhill/gateway/placement.h"

namespace teaselhill::gateway {

/// Tracks the fraction of tokens that each prompt prefix accounts for among the
/// requests of this host that have a prefix. The fraction serves as an estimate
/// for the fleet. Counts decay; times never decrease.
class PrefixLoadTracker {
 public:
  explicit PrefixLoadTracker(Duration half_life) : half_life_(half_life) {}

  void AddRequest(uint64_t prefix_hash, double tokens, TimePoint now);

  /// Fraction of all added tokens that belong to requests with the prefix. One
  /// average request of the prefix is subtracted, so that a single request does
  /// not count as load.
  double LoadFraction(uint64_t prefix_hash, TimePoint now) const;

  void ExpireUnused(TimePoint now);

 private:
  struct Usage {
    double tokens = 0;
    double requests = 0;
    TimePoint updated_at{};
  };
  Usage DecayedUsage(const Usage& usage, TimePoint now) const;

  Duration half_life_;
  Usage total_usage_;
  std::unordered_map<uint64_t, Usage> usage_by_prefix_;
};

/// All hosts rank the engines of a prompt prefix alike by rendezvous hashing,
/// so that they find the cached prefix without communication. A request moves
/// to the next engine in rank once queueing at the first one costs more than a
/// new prefill of the prefix. Only the first few engines in rank are
/// candidates: each further prefill of the prefix takes engine time from all
/// other requests, which under load lengthens the queues that caused the
/// request to move. A hot prefix gets additional candidates in proportion to
/// its load. An engine is first in rank for a part of all prefixes that is in
/// proportion to its speed.
///
/// Where engines run few requests at once, long prompts delay the events of the
/// streams beside them. EngineReserve sets engines of such a service apart for
/// the most urgent streams, which are placed by load alone; the prompts of the
/// other requests are ranked among the rest.
class AffinityPlacement : public PlacementPolicy {
 public:
  explicit AffinityPlacement(PlacementOptions options)
      : options_(std::move(options)),
        prefix_load_tracker_(options_.prefix_load_half_life),
        reserve_(EngineReserveOptions{}, options_.own_host) {}

  std::optional<Placement> ChooseUpstream(const PlacementRequest& request,
                                          const UpstreamList& upstreams,
                                          const UpstreamHealth& health,
                                          TimePoint now) override;

  std::vector<UpstreamEntry> ReportCandidates(const PlacementRequest& request,
                                              const UpstreamList& upstreams,
                                              const UpstreamHealth& health,
                                              TimePoint now) const override;
  void OnRequestSent(const PlacementRequest& request,
                     const UpstreamEntry& upstream,
                     TimePoint now) override;
  void OnAnswerStarted(const PlacementRequest& request,
                       const std::string& upstream) override;
  void OnAttemptEnded(const PlacementRequest& request,
                      const std::string& upstream,
                      bool answer_started) override;

  Duration ExpectedPrefill(const PlacementRequest& request,
                           const UpstreamEntry& upstream,
                           TimePoint now) const override;

  bool AlwaysNeedsReports(const PlacementRequest& request,
                          const UpstreamList& upstreams) const override;

  bool UsesEngineSpeeds(const PlacementRequest& request,
                        const UpstreamList& upstreams) const override;

  std::vector<ReserveChange> TakeReserveChanges() override {
    return reserve_.TakeChanges();
  }
  std::vector<engines::ReserveNeed> TakeReserveNeeds(TimePoint now) override {
    return reserve_.TakeNeeds(now);
  }
  void OnReserveNeeds(const std::vector<engines::ReserveNeed>& needs,
                      TimePoint now) override {
    reserve_.OnNeeds(needs, now);
  }

  void ExpireUnused(TimePoint now) override;

  int in_flight(const std::string& upstream) const;

 private:
  struct UpstreamLoad {
    int in_flight = 0;
    double unanswered_tokens = 0;  ///< prompt tokens of unanswered requests
    TimePoint last_used_at{};
  };
  struct CachingEngine {
    std::string upstream_id;
    uint64_t incarnation = 0;
    TimePoint last_used_at{};
  };

  struct Candidate {
    const UpstreamEntry* upstream = nullptr;
    double rank = 0;  ///< higher is better
    bool is_first_in_rank = false;
    Duration expected_delay{};
    bool has_prefix_cached = false;
  };

  /// 1 for a service whose engines' speeds are not used.
  double SpeedOf(const PlacementRequest& request,
                 const UpstreamEntry& upstream) const;

  /// Divides the upstreams that the request may use; all are shared if none is
  /// reserved or only ejected ones are left.
  EngineGroups DivideCandidates(const PlacementRequest& request,
                                const UpstreamList& upstreams,
                                const EligibleUpstreams& eligible) const;
  /// Places an urgent stream. `groups.reserved` must not be empty.
  Placement ChooseReserved(const PlacementRequest& request,
                           const EngineGroups& groups,
                           const UpstreamHealth& health,
                           TimePoint now);
  /// Expected delay of an urgent stream. Also orders engines without a queue by
  /// the requests that they run.
  Duration UrgentDelay(const PlacementRequest& request,
                       const UpstreamEntry& upstream,
                       const UpstreamHealth& health,
                       TimePoint now) const;

  /// Returns the upstreams sorted by descending rank, from the hash of upstream
  /// id and prompt prefix and from the speed of the upstream. If the request
  /// has a prefix, only the first PrefixEngineCount() upstreams are returned.
  /// `upstreams` must not be empty; neither is the result.
  std::vector<Candidate> RankUpstreams(
      const PlacementRequest& request,
      const std::vector<const UpstreamEntry*>& upstreams,
      TimePoint now) const;
  /// Number of engines that are candidates for the prompt prefix at this time;
  /// at most `engines`, the number of engines of the service.
  size_t PrefixEngineCount(const PlacementRequest& request,
                           size_t engines,
                           TimePoint now) const;
  bool HasPrefixCached(uint64_t prefix_hash,
                       const UpstreamEntry& upstream,
                       TimePoint now) const;
  Duration ExpectedDelay(const PlacementRequest& request,
                         const Candidate& candidate,
                         const UpstreamHealth& health,
                         TimePoint now) const;

  PlacementOptions options_;
  PrefixLoadTracker prefix_load_tracker_;
  EngineReserve reserve_;
  /// As of the last placement, by service.
  std::unordered_map<std::string, size_t> engine_counts_;
  std::unordered_map<std::string, UpstreamLoad> upstream_loads_;
  std::unordered_map<uint64_t, std::vector<CachingEngine>> caching_engines_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_AFFINITY_PLACEMENT_H_
