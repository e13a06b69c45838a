/// \file
/// Deadlines, stalled attempts, and the wait times reported to the overload
/// gate.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// Time before the deadline that is reserved for the answer to reach the
/// caller.
constexpr std::chrono::milliseconds kAnswerMargin{10};

/// Minimum time without progress that is taken as a fault of the upstream, as a
/// multiple of the mean delay of the service. Under load every upstream answers
/// late, and a retry would add to the load.
constexpr int kStallDelayFactor = 4;

/// An answer that has not started after this multiple of its target is reported
/// to the overload gate as late.
constexpr int kLateAnswerTargets = 2;

/// Minimum time without progress that is taken as a fault of the upstream.
constexpr std::chrono::milliseconds kMinStallTimeout{250};

}  // namespace

void Exchange::ReportWaitToGate(TimePoint now) {
  if (request_.placement_request.is_engine &&
      !std::exchange(wait_reported_, true))
    gateway_.overload_gate_.OnWaitObserved(
        request_.service, request_.gate_level(), now - request_.arrived_at,
        request_.route->answer_target, now);
}

void Exchange::ArmTimer() {
  const TimePoint now = BootNow();
  TimePoint next_check = state_.deadline;
  if (request_.placement_request.is_engine && !wait_reported_)
    next_check = std::min(next_check, request_.arrived_at + GateReportDelay());
  if (state_.retryable && attempt_.handler)
    next_check = std::min(next_check, StallCheckAt());
  if (replaced_attempt_)
    next_check = std::min(next_check, overlap_ends_at_);
  if (const std::optional<TimePoint> usage_due_at = UsageDueAt())
    next_check = std::min(next_check, *usage_due_at);
  const Duration delay = std::max<Duration>(next_check - now - kAnswerMargin,
                                            std::chrono::milliseconds(1));
  timeout_timer_ = gateway_.loop_.timers().After(
      delay, [weak = weak_from_this()](TimePoint) {
        if (const auto self = weak.lock())
          self->OnTimer(BootNow());
      });
}

Duration Exchange::GateReportDelay() const {
  return request_.route->answer_target * kLateAnswerTargets;
}

TimePoint Exchange::StallCheckAt() const {
  return std::max(attempt_.progress_at + StallTimeout(), stall_recheck_at_);
}

Duration Exchange::StallTimeout() const {
  const Route& route = *request_.route;
  const Duration target =
      attempt_.answer_started_at && route.event_gap_target > Duration::zero()
          ? route.event_gap_target
          : route.answer_target;
  const Duration mean_delay =
      gateway_.upstream_health_.MeanServiceDelay(request_.service, BootNow());
  // The serving host knows better when an upstream stalls, and tries another.
  const Duration host_timeout = attempt_.relay_peer
                                    ? (state_.deadline - attempt_.sent_at) / 2
                                    : Duration::zero();
  return std::max<Duration>({2 * target, kStallDelayFactor * mean_delay,
                             kMinStallTimeout, host_timeout});
}

void Exchange::RecordStall(TimePoint now) {
  if (state_.retryable && attempt_.handler && !transfer_paused_ &&
      !attempt_.counted_as_stalled &&
      now + kAnswerMargin >= attempt_.progress_at + StallTimeout())
    RecordOutcome(attempt_, AttemptOutcome::kTimedOut, now);
}

void Exchange::OnTimer(TimePoint now) {
  if (finished_)
    return;
  if (now + kAnswerMargin >= request_.arrived_at + GateReportDelay())
    ReportWaitToGate(now);
  const std::optional<TimePoint> usage_due_at = UsageDueAt();
  if (usage_due_at && now + kAnswerMargin >= *usage_due_at)
    CountUsageOfSend();
  if (now + 2 * kAnswerMargin >= state_.deadline) {
    SendHeldEvents();
    ReportGivenUp();
    RecordStall(now);
    StopAttempt(attempt_);
    return ApplyFinalStep(FinalStepAfterTimeout(
        state_, NotRunCode(ResultCode::kDeadlineUnreachable)));
  }
  if (replaced_attempt_ && now + kAnswerMargin >= overlap_ends_at_)
    DropReplacedAttempt();
  if (state_.retryable && now + kAnswerMargin >= StallCheckAt()) {
    stall_recheck_at_ = now + kStallRecheckPeriod;
    if (attempt_.handler && !transfer_paused_ &&
        MayRetry(state_, RetryLimits(now), now))
      OnSilence(now);
  }
  if (!finished_)
    ArmTimer();
}

}  // namespace teaselhill::gateway
