/// \file
/// Requests that are open while the host stops.

#include <algorithm>

#include "exchange.h"
#include "teaselhill/gateway/shutdown_schedule.h"

namespace teaselhill::gateway {

void Exchange::ReportDuration() const {
  const TimePoint now = BootNow();
  if (state_.possible_runs > 0)
    gateway_.route_durations_.OnUnanswered(request_.route->name,
                                           now - request_.arrived_at, now);
}

void Exchange::OnDrain() {
  if (finished_)
    return;
  CapDeadline();
  if (!attempt_.handler && !MayBeginAttempt(BootNow()))
    return EndByDrain();
  ArmTimer();
}

void Exchange::CapDeadline() {
  if (gateway_.final_answers_at_)
    state_.deadline = std::min(own_deadline_, *gateway_.final_answers_at_);
}

bool Exchange::MayBeginAttempt(TimePoint now) const {
  return !IsCutByDrain() || IsLikelyToEnd(own_deadline_ - now,
                                          gateway_.route_durations_.Expected(
                                              request_.route->name, now),
                                          state_.deadline - now);
}

ExchangeLimits Exchange::RetryLimits(TimePoint now) const {
  ExchangeLimits limits = gateway_.options_.exchange_limits;
  if (IsCutByDrain())
    limits.min_retry_time =
        std::max(limits.min_retry_time,
                 gateway_.route_durations_.Expected(request_.route->name, now)
                     .value_or(limits.max_duration));
  return limits;
}

ResultCode Exchange::NotRunCode(ResultCode code) const {
  return IsCutByDrain() ? ResultCode::kDraining : code;
}

void Exchange::EndByDrain() {
  SendHeldEvents();
  ApplyFinalStep(FinalStepAfterTimeout(state_, ResultCode::kDraining));
}

}  // namespace teaselhill::gateway
