/// \file
/// Interface of the plug-ins that choose an upstream for a request.

#ifndef TEASELHILL_GATEWAY_PLACEMENT_H_
#define TEASELHILL_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/gateway/upstream_health.h"
#include "teaselhill/kernel/registry.h"

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

/// What placement needs to know of a request.
struct PlacementRequest {
  std::string service;
  bool engine = false;
  /// Hash of the shared parts of the prompt; 0: none.
  uint64_t affinity = 0;
  uint32_t shared_tokens = 0;         ///< that a cache may hold
  uint32_t own_tokens = 0;            ///< that no cache holds
  std::vector<std::string> excluded;  ///< upstreams already tried
};

enum class PlacementReason {
  kAffinityOwner,  ///< first in the hash order of its prompt parts
  kHolder,         ///< has read the prompt parts lately
  kLeastDelay,     ///< a queue elsewhere costs more than reading again
  kNearest,        ///< plain service
  kRoundRobin,     ///< baseline
  kLeastLoad,      ///< baseline
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

/// Chooses upstreams and keeps what it has to know of those chosen. A
/// deterministic state machine: times are arguments and never decrease.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Nothing: no upstream of the service is left.
  virtual std::optional<Placed> Choose(const PlacementRequest& request,
                                       const UpstreamList& upstreams,
                                       const UpstreamHealth& health,
                                       TimePoint now) = 0;

  /// Upstreams between which fresh reports of their load would decide; empty:
  /// the policy makes no use of them.
  virtual std::vector<UpstreamEntry> Contenders(const PlacementRequest& request,
                                                const UpstreamList& upstreams,
                                                const UpstreamHealth& health,
                                                TimePoint now) const {
    return {};
  }

  /// A request was sent to an upstream, began to be answered, and ended.
  virtual void OnSent(const PlacementRequest& request,
                      const UpstreamEntry& upstream,
                      TimePoint now) = 0;
  virtual void OnBegun(const PlacementRequest& request,
                       const std::string& upstream) = 0;
  virtual void OnEnded(const PlacementRequest& request,
                       const std::string& upstream,
                       bool begun) = 0;

  /// Time that the upstream needs to read the prompt, given what it holds.
  virtual Duration ExpectedPrefill(const PlacementRequest& request,
                                   const UpstreamEntry& upstream,
                                   TimePoint now) const = 0;

  /// Drops what was not used lately. Call about once a second.
  virtual void Expire(TimePoint now) = 0;
};

/// Plug-ins: `affinity` and the baselines `round-robin` and `least-load`.
using PlacementRegistry =
    kernel::Registry<PlacementPolicy, const PlacementOptions&>;
using PlacementRegistration =
    kernel::Registration<PlacementPolicy, const PlacementOptions&>;

/// Upstreams of the service that were not tried, those that are ejected apart.
struct Eligible {
  std::vector<const UpstreamEntry*> usable;
  std::vector<const UpstreamEntry*> ejected;

  /// The usable ones, or the ejected ones when there is no other.
  const std::vector<const UpstreamEntry*>& candidates() const {
    return usable.empty() ? ejected : usable;
  }
};
Eligible FindEligible(const PlacementRequest& request,
                      const UpstreamList& upstreams,
                      const UpstreamHealth& health,
                      TimePoint now);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PLACEMENT_H_
