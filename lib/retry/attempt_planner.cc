/// \file
/// Rules for retrying, resuming and abandoning requests.

#include "teaselhill/retry/attempt_planner.h"

namespace teaselhill::retry {

AttemptPlan AttemptPlanner::OnAttemptEnded(RequestAttempts& request,
                                           const AttemptEnd& end,
                                           TimePoint now) {
  ++request.attempts;
  const bool declared_not_run = end.kind == AttemptEndKind::kRefused;
  if (request.delivered_tokens > 0 ||
      (end.bytes_may_have_reached && !declared_not_run))
    request.may_have_run = true;

  if (request.quarantined)
    return Abandon(request, ResultCode::kQuarantined,
                   options_.quarantine_retry_after);
  if (request.may_have_run && !request.idempotent)
    return Abandon(request, ResultCode::kNoUpstream);
  if (request.delivered_tokens > 0 && !request.resumable)
    return Abandon(request, ResultCode::kNoUpstream);
  if (request.deadline && now + request.min_remaining_time > *request.deadline)
    return Abandon(request, ResultCode::kDeadlineUnreachable, end.retry_after);
  if (request.attempts >= options_.max_attempts)
    return Abandon(request,
                   declared_not_run ? ResultCode::kUpstreamRefused
                                    : ResultCode::kNoUpstream,
                   end.retry_after);
  // An attempt cancelled because its upstream is leaving is no sign of
  // overload, so its retry costs no budget.
  if (end.kind != AttemptEndKind::kUpstreamLeaving &&
      !budget_.TryConsume(request.customer, end.upstream, now))
    return Abandon(request, ResultCode::kRetryBudgetSpent, end.retry_after);

  if (request.delivered_tokens > 0)
    return ResumeAt{request.delivered_tokens};
  return RetryFromStart{};
}

AttemptPlan AttemptPlanner::Abandon(const RequestAttempts& request,
                                    ResultCode not_run_code,
                                    std::optional<Duration> retry_after) const {
  if (request.delivered_tokens > 0)
    return AbandonMayHaveRun{ResultCode::kAnswerCutShort};
  if (request.may_have_run)
    return AbandonMayHaveRun{ResultCode::kUpstreamLost};
  return AbandonNotRun{not_run_code,
                       retry_after.value_or(options_.default_retry_after)};
}

}  // namespace teaselhill::retry
