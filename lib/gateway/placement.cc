/// \file
/// Helpers shared by all placement policies.

#include "teaselhill/gateway/placement.h"

#include <algorithm>

namespace teaselhill::gateway {

std::string_view PlacementReasonName(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kAffinityOwner:
      return "affinity_owner";
    case PlacementReason::kPrefixCached:
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

EligibleUpstreams FindEligibleUpstreams(const PlacementRequest& request,
                                        const UpstreamList& upstreams,
                                        const UpstreamHealth& health,
                                        TimePoint now) {
  EligibleUpstreams eligible;
  for (const UpstreamEntry& upstream : upstreams.OfService(request.service)) {
    const bool tried =
        std::find(request.excluded_upstreams.begin(),
                  request.excluded_upstreams.end(),
                  upstream.id) != request.excluded_upstreams.end();
    if (tried)
      continue;
    const bool ejected = health.IsEjected(upstream.id, upstream.domain, now);
    (ejected ? eligible.ejected : eligible.usable).push_back(&upstream);
  }
  return eligible;
}

}  // namespace teaselhill::gateway
