/// \file
/// Holds of requests that may have crashed upstreams.

#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

Duration Exchange::HoldTime(TimePoint now) const {
  const CrashGuard& crash_guard = gateway_.crash_guard_;
  if (crash_guard.empty())
    return Duration::zero();
  return crash_guard.Assess(request_.Keys(), now).hold_for;
}

Duration Exchange::WaitBeforeRun(TimePoint now) {
  CrashGuard& crash_guard = gateway_.crash_guard_;
  if (crash_guard.empty())
    return Duration::zero();
  const CrashAssessment assessment = crash_guard.Assess(request_.Keys(), now);
  if (assessment.hold_for > Duration::zero())
    return assessment.hold_for;
  return crash_guard.MayStartRun(assessment, now)
             ? Duration::zero()
             : CrashGuard::kTrialCheckPeriod;
}

void Exchange::Hold(Duration duration, std::function<void()> resume) {
  const TimePoint now = BootNow();
  const CrashAssessment assessment =
      gateway_.crash_guard_.Assess(request_.Keys(), now);
  if (!std::exchange(held_, true))
    gateway_.log_.Write(
        LineKind::kFailure,
        RequestLogLine("held")
            .Field("fingerprint", ToHex(request_.Keys().fingerprint))
            .Field("cause", CauseText(assessment))
            .Field("crashes", assessment.suspected_crashes)
            .Field("evidence", CauseEvidenceName(assessment.evidence))
            .Field("for_ms", duration)
            .Field("time_left_ms", state_.deadline - now),
        now);
  const ExchangeLimits limits = RetryLimits(now);
  if (now + duration + limits.min_retry_time > state_.deadline) {
    const ExchangeLimits& own_limits = gateway_.options_.exchange_limits;
    if (now + duration + own_limits.min_retry_time <= own_deadline_)
      return EndByDrain();
    upstream_retry_after_ = duration;
    return ApplyFinalStep(
        FinalStepAfterTimeout(state_, ResultCode::kNoUpstream));
  }
  hold_timer_ = gateway_.loop_.timers().After(
      duration, [weak = weak_from_this(), resume](TimePoint) {
        const auto self = weak.lock();
        if (self && !self->finished_)
          self->EndHold(resume);
      });
}

void Exchange::EndHold(const std::function<void()>& resume) {
  const TimePoint now = BootNow();
  const CrashAssessment assessment =
      gateway_.crash_guard_.Assess(request_.Keys(), now);
  if (assessment.hold_for > Duration::zero())
    return Hold(assessment.hold_for, resume);
  if (assessment.refused_for == Duration::zero())
    return resume();
  upstream_retry_after_ = assessment.refused_for;
  ApplyFinalStep(FinalStepAfterTimeout(state_, ResultCode::kQuarantined));
}

}  // namespace teaselhill::gateway
