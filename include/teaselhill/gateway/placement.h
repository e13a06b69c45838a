/// \file
/// Chooses an upstream for a request.

#ifndef TEASELHILL_GATEWAY_PLACEMENT_H_
#define TEASELHILL_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/gateway/upstream_health.h"

namespace teaselhill::gateway {

struct PlacementOptions {
  std::string own_domain;
  /// Prompt tokens that an engine reads in a millisecond.
  double prefill_tokens_per_ms = 36;
  /// Delay that leaving the own failure domain is worth, for a plain service.
  Duration crossing_cost = std::chrono::milliseconds(4);
  /// Delay that one request in flight adds at a plain service.
  Duration service_slot_cost = std::chrono::milliseconds(8);
  /// Time for which an engine that has read a prompt part is taken to keep it.
  Duration part_retention = std::chrono::seconds(20);
  /// Delay that one failure of every request is worth.
  Duration failure_cost = std::chrono::milliseconds(1500);
  /// Engines that share the requests of an ordinary prompt part. Beyond the
  /// first, the others take them while it is slow.
  int engines_per_part = 2;
  /// Part of an engine's time that the requests of one prompt part may take
  /// before another engine shares them.
  double part_load = 0.7;
  /// Half-life of the counts that tell a hot prompt part.
  Duration share_half_life = std::chrono::seconds(4);
};

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

/// What placement needs to know of a request.
struct PlacementRequest {
  std::string service;
  bool engine = false;
  /// Hash of the shared parts of the prompt; 0: none.
  uint64_t affinity = 0;
  uint32_t shared_tokens = 0;  ///< that a cache may hold
  uint32_t own_tokens = 0;     ///< that no cache holds
  bool repeatable = false;
  std::vector<std::string> excluded;  ///< upstreams already tried
};

enum class PlacementReason {
  kAffinityOwner,  ///< first in the hash order of its prompt parts
  kHolder,         ///< has read the prompt parts lately
  kLeastDelay,     ///< a queue elsewhere costs more than reading again
  kNearest,        ///< plain service
  kProbe,          ///< first request after an ejection
  kAllEjected,     ///< ejections are ignored, since all are ejected
};
std::string_view ReasonName(PlacementReason reason);

struct Placed {
  UpstreamEntry upstream;
  PlacementReason reason = PlacementReason::kLeastDelay;
  Duration expected_delay{};  ///< before the answer begins
  Duration second_best{};     ///< expected delay of the next candidate
  int candidates = 0;
  int ejected = 0;
};

/// All hosts rank the engines of a prompt part alike by rendezvous hashing, so
/// that they find the cached part without asking each other. An engine with a
/// queue loses the request to the next in rank once waiting there would cost
/// more than reading the part again. Only a few in rank are asked, because each
/// engine that reads the part anew takes time from all the others: under load
/// that would feed on itself. A hot part gets as many engines as its work
/// needs.
class Placement {
 public:
  explicit Placement(PlacementOptions options)
      : options_(std::move(options)), shares_(options_.share_half_life) {}

  /// Nothing: no upstream of the service is left.
  std::optional<Placed> Choose(const PlacementRequest& request,
                               const UpstreamList& upstreams,
                               const UpstreamHealth& health,
                               TimePoint now);

  /// A request was sent to, and ended at, an upstream.
  void OnSent(const PlacementRequest& request,
              const UpstreamEntry& upstream,
              TimePoint now);
  void OnBegun(const PlacementRequest& request, const std::string& upstream);
  void OnEnded(const PlacementRequest& request,
               const std::string& upstream,
               bool begun);

  /// Time that the upstream needs to read the prompt, given what it holds.
  Duration ExpectedPrefill(const PlacementRequest& request,
                           const UpstreamEntry& upstream,
                           TimePoint now) const;

  /// Drops what was not used lately. Call about once a second.
  void Expire(TimePoint now);

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

#endif  // TEASELHILL_GATEWAY_PLACEMENT_H_
