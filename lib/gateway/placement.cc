/// \file
/// Helpers shared by all placement policies.

#include "teaselhill/gateway/placement.h"

#include <algorithm>

namespace teaselhill::gateway {

std::string_view ReasonName(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kAffinityOwner:
      return "affinity_owner";
    case PlacementReason::kHolder:
      return "holder";
    case PlacementReason::kLeastDelay:
      return "least_delay";
    case PlacementReason::kNearest:
      return "nearest";
    case PlacementReason::kRoundRobin:
      return "round_robin";
    case PlacementReason::kLeastLoad:
      return "least_load";
    case PlacementReason::kAllEjected:
      return "all_ejected";
  }
  return "unknown";
}

Eligible FindEligible(const PlacementRequest& request,
                      const UpstreamList& upstreams,
                      const UpstreamHealth& health,
                      TimePoint now) {
  Eligible eligible;
  for (const UpstreamEntry& upstream : upstreams.Of(request.service)) {
    const bool tried =
        std::find(request.excluded.begin(), request.excluded.end(),
                  upstream.id) != request.excluded.end();
    if (tried)
      continue;
    const bool ejected = health.Ejected(upstream.id, upstream.domain, now);
    (ejected ? eligible.ejected : eligible.usable).push_back(&upstream);
  }
  return eligible;
}

}  // namespace teaselhill::gateway
