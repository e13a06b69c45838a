/// \file
/// Placement at the engines that hold a request's prompt.

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

/// Share of each prompt part in the work of this host, as a sample of all
/// hosts' work. Counts decay; times never decrease.
class PartShares {
 public:
  explicit PartShares(Duration half_life) : half_life_(half_life) {}

  void Add(uint64_t part, double tokens, TimePoint now);

  /// Share of the part in all tokens, with one average request left out: a
  /// single one says nothing.
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

/// All hosts rank the engines of a prompt part alike by rendezvous hashing, so
/// that they find the cached part without asking each other. An engine with a
/// queue loses the request to the next in rank once waiting there would cost
/// more than reading the part again. Only a few in rank are asked, because each
/// engine that reads the part anew takes time from all the others: under load
/// that would feed on itself. A hot part gets as many engines as its work
/// needs.
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
    double waiting_tokens = 0;  ///< prompt tokens sent and not answered yet
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

  /// Upstreams in the order of their hash with the request's prompt part, only
  /// the first ones if it has one. Never empty.
  std::vector<Candidate> Rank(
      const PlacementRequest& request,
      const std::vector<const UpstreamEntry*>& upstreams,
      TimePoint now) const;
  /// Engines that take the requests of the part now.
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
