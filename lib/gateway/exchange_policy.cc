/// \file
/// Rules for retries, for resumed streams and for the outcome "not run".

#include "teaselhill/gateway/exchange_policy.h"

namespace teaselhill::gateway {

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kErrorResponse:
      return "failure_answer";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "silent";
  }
  return "unknown";
}

bool CannotHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotRun ||
         outcome == AttemptOutcome::kNotSent;
}

TransferVerdict JudgeTransfer(const EndedTransfer& transfer) {
  if (transfer.code == ResultCode::kProtocolError)
    return TransferVerdict::kUnreadable;
  if (transfer.code != ResultCode::kOk)
    return TransferVerdict::kBrokenOff;
  if (!transfer.is_event_stream)
    return TransferVerdict::kComplete;
  const bool is_empty = !transfer.is_framed && !transfer.has_events;
  return transfer.inside_event || is_empty ? TransferVerdict::kBrokenOff
                                           : TransferVerdict::kComplete;
}

bool MayRetry(const ExchangeState& state,
              const ExchangeLimits& limits,
              TimePoint now) {
  if (state.sends >= limits.max_sends ||
      now + limits.min_retry_time > state.deadline)
    return false;
  if (state.head_sent && !state.resumable)
    return false;
  if (state.possible_runs >= state.max_attempts)
    return false;
  // A request that may have run is retried only if its route permits more than
  // one run.
  return state.possible_runs == 0 || state.retryable;
}

FinalStep DecideFinalStep(const ExchangeState& state, AttemptOutcome outcome) {
  if (state.head_sent)
    return AbortAnswerStep{};
  if (outcome == AttemptOutcome::kErrorResponse)
    return ForwardFailureStep{};
  if (state.possible_runs > 0)
    return FailUnknownStep{outcome == AttemptOutcome::kTimedOut
                               ? ResultCode::kAnswerOverdue
                               : ResultCode::kUpstreamLost};
  return RejectStep{CannotHaveRun(outcome) ? ResultCode::kUpstreamRefused
                                           : ResultCode::kNoUpstream};
}

FinalStep FinalStepAfterTimeout(const ExchangeState& state,
                                ResultCode not_run_code) {
  if (state.head_sent)
    return AbortAnswerStep{};
  if (state.possible_runs > 0)
    return FailUnknownStep{ResultCode::kAnswerOverdue};
  return RejectStep{not_run_code};
}

}  // namespace teaselhill::gateway
