/// \file
/// Names of choice reasons in decision logs, and rules that all policies share.

#include "teaselhill/routing/routing_policy.h"

#include <algorithm>

namespace teaselhill::routing {

std::string_view ChoiceReasonName(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kLeastCost:
      return "least-cost";
    case ChoiceReason::kPrefixAffinity:
      return "prefix-affinity";
    case ChoiceReason::kOnlyCandidate:
      return "only-candidate";
    case ChoiceReason::kProbe:
      return "probe";
    case ChoiceReason::kPanic:
      return "panic";
    case ChoiceReason::kIsolation:
      return "isolation";
    case ChoiceReason::kRoundRobin:
      return "round-robin";
    case ChoiceReason::kLeastReported:
      return "least-reported";
  }
  return "unknown";
}

bool IsExcluded(const RouteRequest& request,
                const UpstreamTable& table,
                const Upstream& upstream) {
  if (request.required_version &&
      table.VersionOf(upstream.spec.name) != *request.required_version)
    return true;
  return std::find(request.excluded.begin(), request.excluded.end(),
                   upstream.spec.name) != request.excluded.end();
}

}  // namespace teaselhill::routing
