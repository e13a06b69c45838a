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

#include "teaselhill/gateway/placement.h"

namespace teaselhill::gateway {

/// Share of each prompt prefix in the work of this host, which serves as a
/// sample of the work of the fleet. Counts decay; times never decrease.
class PartShares {
 public:
  explicit PartShares(Duration half_life) : half_life_(half_life) {}

  void Add(uint64_t part, double tokens, TimePoint now);

  /// Share of the prefix in all tokens, without one average request: a single
  /// request is no evidence of load.
  double ShareOf(uint64_t part, TimePoint now) const;

  void Expire(TimePoint now);

 private:
  struct Count {
    double tokens = 0;
    double requests = 0;
    TimePoint at{};
  };
  Count Decayed(const Count& count, TimePoint now) const;

  Duration half_life_;
  Count all_;
  std::unordered_map<uint64_t, Count> parts_;
};

/// All hosts rank the engines of a prompt prefix alike by rendezvous hashing,
/// so that they find the cached prefix without communication. A request moves
/// to the next engine in rank once queueing at the first one costs more than a
/// new prefill of the prefix. Only the first few engines in rank are
/// candidates: each further prefill of the prefix takes engine time from all
/// other requests, which under load increases the queues that caused it. A hot
/// prefix gets as many engines as its load needs.
class AffinityPlacement : public PlacementPolicy {
 public:
  explicit AffinityPlacement(PlacementOptions options)
      : options_(std::move(options)), shares_(options_.share_half_life) {}

  std::optional<Placed> Choose(const PlacementRequest& request,
                               const UpstreamList& upstreams,
                               const UpstreamHealth& health,
                               TimePoint now) override;

  std::vector<UpstreamEntry> Contenders(const PlacementRequest& request,
                                        const UpstreamList& upstreams,
                                        const UpstreamHealth& health,
                                        TimePoint now) const override;
  void OnSent(const PlacementRequest& request,
              const UpstreamEntry& upstream,
              TimePoint now) override;
  void OnBegun(const PlacementRequest& request,
               const std::string& upstream) override;
  void OnEnded(const PlacementRequest& request,
               const std::string& upstream,
               bool begun) override;

  Duration ExpectedPrefill(const PlacementRequest& request,
                           const UpstreamEntry& upstream,
                           TimePoint now) const override;

  void Expire(TimePoint now) override;

  int in_flight(const std::string& upstream) const;

 private:
  struct Load {
    int in_flight = 0;
    double waiting_tokens = 0;  ///< prompt tokens of unanswered requests
    TimePoint used_at{};
  };
  struct Holder {
    std::string upstream;
    uint64_t incarnation = 0;
    TimePoint used_at{};
  };

  struct Candidate {
    const UpstreamEntry* upstream = nullptr;
    uint64_t rank = 0;
    Duration cost{};
    bool holds = false;
  };

  /// Returns the upstreams by descending hash of upstream and prompt prefix;
  /// with a prefix only the first EnginesFor() of them. Never empty.
  /// `upstreams` must not be empty.
  std::vector<Candidate> Rank(
      const PlacementRequest& request,
      const std::vector<const UpstreamEntry*>& upstreams,
      TimePoint now) const;
  /// Number of engines that serve the prompt prefix at this time, out of
  /// `engines`.
  size_t EnginesFor(const PlacementRequest& request,
                    size_t engines,
                    TimePoint now) const;
  bool Holds(uint64_t affinity,
             const UpstreamEntry& upstream,
             TimePoint now) const;
  Duration Cost(const PlacementRequest& request,
                const Candidate& candidate,
                const UpstreamHealth& health,
                TimePoint now) const;

  PlacementOptions options_;
  PartShares shares_;
  std::unordered_map<std::string, Load> loads_;
  std::unordered_map<uint64_t, std::vector<Holder>> holders_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_AFFINITY_PLACEMENT_H_
