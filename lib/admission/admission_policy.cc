/// \file
/// Names of decision reasons in log lines.

#include "teaselhill/admission/admission_policy.h"

#include <cassert>

namespace teaselhill::admission {

std::string_view ReasonName(DecisionReason reason) {
  switch (reason) {
    case DecisionReason::kQueued:
      return "queued";
    case DecisionReason::kTierOrder:
      return "tier_order";
    case DecisionReason::kGuaranteedStart:
      return "guaranteed_start";
    case DecisionReason::kArrivalOrder:
      return "arrival_order";
    case DecisionReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case DecisionReason::kDeadlinePassing:
      return "deadline_passing";
    case DecisionReason::kWorkBound:
      return "work_bound";
    case DecisionReason::kMemoryBound:
      return "memory_bound";
  }
  assert(false && "unknown decision reason");
  return "unknown";
}

}  // namespace teaselhill::admission
