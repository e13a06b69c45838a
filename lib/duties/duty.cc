/// \file
/// Names for logs.

#include "teaselhill/duties/duty.h"

namespace teaselhill::duties {

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAccepted:
      return "accepted";
    case CallOutcome::kNoneAvailable:
      return "none_available";
    case CallOutcome::kRateLimited:
      return "rate_limited";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace teaselhill::duties
