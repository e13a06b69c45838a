/// \file
/// Names of choice reasons in decision logs.

#include "teaselhill/routing/routing_policy.h"

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

}  // namespace teaselhill::routing
