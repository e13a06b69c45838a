/// \file
/// Rules for retrying, resuming and failing requests.

#include "teaselhill/retry/attempt_planner.h"

namespace teaselhill::retry {

AttemptPlan AttemptPlanner::OnAttemptEnded(RequestAttempts& request,
                                           const AttemptEnd& end,
                                           TimePoint now) {
  ++request.attempts;
  const bool declared_not_run = end.kind == AttemptEndKind::kRefused;
  if (request.tokens_kept > 0 ||
      (end.bytes_may_have_reached && !declared_not_run))
    request.may_have_run = true;

  if (request.quarantined)
    return GiveUp(request, ResultCode::kQuarantined,
                  options_.quarantine_retry_after);
  if (request.may_have_run && !request.idempotent)
    return GiveUp(request, ResultCode::kNoUpstream);
  if (request.tokens_kept > 0 && !request.streamable)
    return GiveUp(request, ResultCode::kNoUpstream);
  if (request.deadline && now + request.min_remaining_time > *request.deadline)
    return GiveUp(request, ResultCode::kDeadlineUnreachable, end.retry_after);
  if (request.attempts >= options_.max_attempts)
    return GiveUp(request,
                  declared_not_run ? ResultCode::kUpstreamRefused
                                   : ResultCode::kNoUpstream,
                  end.retry_after);
  // An attempt cancelled because its upstream is leaving is no sign of
  // overload, so its retry costs no budget.
  if (end.kind != AttemptEndKind::kUpstreamLeaving &&
      !budget_.TryTake(request.customer, end.upstream, now))
    return GiveUp(request, ResultCode::kRetryBudgetSpent, end.retry_after);

  if (request.tokens_kept > 0)
    return ResumeAt{request.tokens_kept};
  return RetryFromStart{};
}

AttemptPlan AttemptPlanner::GiveUp(const RequestAttempts& request,
                                   ResultCode not_run_code,
                                   std::optional<Duration> retry_after) const {
  if (request.tokens_kept > 0)
    return GiveUpUnknown{ResultCode::kAnswerCutShort};
  if (request.may_have_run)
    return GiveUpUnknown{ResultCode::kUpstreamLost};
  return GiveUpNotRun{not_run_code,
                      retry_after.value_or(options_.default_retry_after)};
}

}  // namespace teaselhill::retry
