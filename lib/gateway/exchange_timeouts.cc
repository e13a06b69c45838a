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

/// An attempt without progress for this many typical delays is taken as faulty.
/// Under load every upstream answers late, and a retry would add to the load.
constexpr int kStallFactor = 4;

/// An answer that has not started after this many targets is reported as late.
constexpr int kLateTargets = 2;

/// Minimum time without progress that is taken as a fault of the upstream.
constexpr std::chrono::milliseconds kLeastStall{250};

}  // namespace

void Exchange::TellGate(TimePoint now) {
  if (accepted_.placement.is_engine && !std::exchange(told_gate_, true))
    gateway_.gate_.OnWaitObserved(accepted_.service, accepted_.level(),
                                  now - accepted_.arrival,
                                  accepted_.route->target, now);
}

void Exchange::Watch() {
  const TimePoint now = BootNow();
  TimePoint next = state_.deadline;
  if (accepted_.placement.is_engine && !told_gate_)
    next = std::min(next, accepted_.arrival + GateDelay());
  if (state_.retryable)
    next = std::min(next, progress_at_ + StallTime());
  const Duration delay = std::max<Duration>(next - now - kAnswerMargin,
                                            std::chrono::milliseconds(1));
  timer_ = gateway_.loop_.timers().After(delay,
                                         [weak = weak_from_this()](TimePoint) {
                                           if (const auto self = weak.lock())
                                             self->OnTimer(BootNow());
                                         });
}

Duration Exchange::GateDelay() const {
  return accepted_.route->target * kLateTargets;
}

Duration Exchange::StallTime() const {
  const Route& route = *accepted_.route;
  const Duration usual = begun_ && route.target_gap > Duration::zero()
                             ? route.target_gap
                             : route.target;
  const Duration typical =
      gateway_.health_.MeanServiceDelay(accepted_.service, BootNow());
  return std::max<Duration>({2 * usual, kStallFactor * typical, kLeastStall});
}

void Exchange::OnTimer(TimePoint now) {
  if (finished_)
    return;
  if (now + kAnswerMargin >= accepted_.arrival + GateDelay())
    TellGate(now);
  if (now + 2 * kAnswerMargin >= state_.deadline) {
    StopAttempt();
    return Follow(
        FinalStepAfterTimeout(state_, ResultCode::kDeadlineUnreachable));
  }
  const bool stalled = state_.retryable && !paused_ && attempt_ &&
                       now + kAnswerMargin >= progress_at_ + StallTime();
  // An attempt that cannot be retried continues: a stall alone is no reason to
  // end it.
  if (stalled && MayRetry(state_, gateway_.options_.limits, now))
    return EndAttempt(AttemptOutcome::kTimedOut,
                      "no data within the stall timeout");
  Watch();
  if (stalled)
    progress_at_ = now;
}

}  // namespace teaselhill::gateway
