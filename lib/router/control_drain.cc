/// \file
/// Planned stop of the control thread.

#include <utility>

#include "control_impl.h"

namespace teaselhill::router {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrainPollPeriod{10};

/// Minimum duration of a drain, during which `/readyz` answers "not ready", so
/// that the platform's load balancer observes it. Only a shorter drain timeout
/// ends the drain earlier.
constexpr milliseconds kMinDrainNotice{1000};

}  // namespace

void Control::Impl::Drain(DrainPort& traffic, std::function<void()> done) {
  shared_.draining = true;
  const TimePoint now = Now();
  logger_.Write(LogLine(LogLevel::kInfo, "draining"));
  drain_.emplace(ControlDrain{traffic, std::move(done), now + kMinDrainNotice,
                              PlanShutdown(now, settings_.drain_timeout)});
  coordinator_.Drain(drain_->times.final_answers, now);
  if (orders_)
    orders_->StopRenewal();
  ApplyMemberOutput(members_.MarkSelfLeaving(now), now);
  SchedulePeriodic(kDrainPollPeriod,
                   [this](TimePoint tick) { TickDrain(tick); });
}

void Control::Impl::TickDrain(TimePoint now) {
  if (drain_->ended)
    return;
  const size_t open =
      coordinator_.open_requests() + drain_->traffic.open_requests();
  if (!drain_->connections_end) {
    const bool is_idle = open == 0 && now >= drain_->notice_given;
    if (!is_idle && now < drain_->times.final_answers)
      return;
    drain_->connections_end = true;
    // The requests that are answered now are counted by the next call.
    coordinator_.Tick(now);
    drain_->traffic.EndConnections();
    return;
  }
  if (open > 0 && now < drain_->times.end)
    return;
  drain_->ended = true;
  logger_.Write(LogLine(LogLevel::kInfo, "drained")
                    .Field("cut_off", static_cast<uint64_t>(open)));
  drain_->done();
}

}  // namespace teaselhill::router
