/// \file
/// Helpers shared by all placement policies.

#include "teaselhill/gateway/placement.h"

#include <algorithm>
#include <utility>

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
    case PlacementReason::kReserved:
      return "reserved";
    case PlacementReason::kReserveFull:
      return "reserve_full";
    case PlacementReason::kAllEjected:
      return "all_ejected";
  }
  return "unknown";
}

static bool Contains(const std::vector<std::string>& ids,
                     const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

EligibleUpstreams FindEligibleUpstreams(const PlacementRequest& request,
                                        const UpstreamList& upstreams,
                                        const UpstreamHealth& health,
                                        TimePoint now) {
  EligibleUpstreams eligible;
  std::vector<const UpstreamEntry*> avoided;
  for (const UpstreamEntry& upstream : upstreams.OfService(request.service)) {
    if (Contains(request.excluded_upstreams, upstream.id) ||
        Contains(request.limited_upstreams, upstream.id))
      continue;
    if (request.required_version &&
        upstream.version != *request.required_version)
      continue;
    if (health.IsEjected(upstream.id, upstream.domain, now))
      eligible.ejected.push_back(&upstream);
    else if (Contains(request.avoided_upstreams, upstream.id))
      avoided.push_back(&upstream);
    else
      eligible.usable.push_back(&upstream);
  }
  if (eligible.usable.empty())
    eligible.usable = std::move(avoided);
  return eligible;
}

}  // namespace teaselhill::gateway
