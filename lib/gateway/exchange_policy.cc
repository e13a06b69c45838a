/// \file
/// Rules for retries, for resumed streams and for the outcome "not run".

#include "teaselhill/gateway/exchange_policy.h"

namespace teaselhill::gateway {

std::string_view OutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kFailureAnswer:
      return "failure_answer";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kSilent:
      return "silent";
  }
  return "unknown";
}

static bool RanNowhere(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotRun ||
         outcome == AttemptOutcome::kNotSent;
}

bool MaySendAgain(const ExchangeState& state,
                  const ExchangeLimits& limits,
                  TimePoint now) {
  if (state.sends >= limits.max_sends || now + limits.least_time > state.end)
    return false;
  if (state.head_sent && !state.resumable)
    return false;
  if (state.runs >= state.max_attempts)
    return false;
  // A request that may have run is sent again only if it may run repeatedly.
  return state.runs == 0 || state.repeatable;
}

NextStep Decide(const ExchangeState& state, AttemptOutcome outcome) {
  if (state.head_sent)
    return CutShort{};
  if (outcome == AttemptOutcome::kFailureAnswer)
    return PassFailure{};
  if (state.runs > 0)
    return FailUnknown{outcome == AttemptOutcome::kSilent
                           ? ResultCode::kAnswerOverdue
                           : ResultCode::kUpstreamLost};
  return Refuse{RanNowhere(outcome) ? ResultCode::kUpstreamRefused
                                    : ResultCode::kNoUpstream};
}

NextStep GiveUp(const ExchangeState& state, ResultCode not_run_code) {
  if (state.head_sent)
    return CutShort{};
  if (state.runs > 0)
    return FailUnknown{ResultCode::kAnswerOverdue};
  return Refuse{not_run_code};
}

}  // namespace teaselhill::gateway
