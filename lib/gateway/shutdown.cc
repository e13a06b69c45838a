/// \file
/// Steps of a planned stop.

#include "shutdown.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

namespace {

constexpr std::chrono::milliseconds kIdleCheckPeriod{50};

/// Checks in a row that find no open answer before the rest is refused. A
/// refusal of a request that has arrived in part is not counted as an open
/// answer; it is written by the next check.
constexpr int kIdleChecksToEnd = 2;

}  // namespace

Shutdown::Shutdown(net::EventLoop& control_loop,
                   net::EventLoop& traffic_loop,
                   Gateway& gateway,
                   std::vector<net::HttpServer*> servers)
    : control_loop_(control_loop),
      traffic_loop_(traffic_loop),
      gateway_(gateway),
      servers_(std::move(servers)) {}

void Shutdown::Begin(Duration grace) {
  begun_at_ = BootNow();
  grace_ = grace;
  traffic_loop_.Post([this] {
    for (net::HttpServer* server : servers_)
      server->CloseAfterResponses();
  });
  Arm();
}

void Shutdown::ChangeGrace(Duration grace) {
  if (!begun_at_ || grace >= grace_)
    return;
  grace_ = grace;
  Arm();
}

std::optional<Duration> Shutdown::GraceLeft(TimePoint now) const {
  if (!begun_at_)
    return std::nullopt;
  return *begun_at_ + grace_ - now;
}

void Shutdown::Arm() {
  const ShutdownSchedule schedule = MakeShutdownSchedule(grace_);
  const TimePoint final_answers_at = *begun_at_ + schedule.final_answers;
  const TimePoint out_of_rotation_at = *begun_at_ + schedule.leave_rotation;
  traffic_loop_.Post([this, final_answers_at, out_of_rotation_at] {
    gateway_.StartDrain(final_answers_at, out_of_rotation_at);
  });
  close_idle_timer_ = At(schedule.close_idle, [this] { CloseIdle(); });
  watch_idle_timer_ = At(schedule.leave_rotation, [this] { WatchIdle(); });
  stop_accepting_timer_ =
      At(schedule.final_answers, [this] { StopAccepting(); });
  end_timer_ = At(schedule.end, [this] { control_loop_.Stop(); });
}

TimerSubscription Shutdown::At(Duration after_begin,
                               std::function<void()> step) {
  const Duration delay = *begun_at_ + after_begin - BootNow();
  return control_loop_.timers().After(
      std::max(delay, Duration::zero()),
      [step = std::move(step)](TimePoint) { step(); });
}

void Shutdown::CloseIdle() {
  traffic_loop_.Post([this] {
    for (net::HttpServer* server : servers_)
      server->CloseIdle();
  });
}

void Shutdown::WatchIdle() {
  CloseIdle();
  idle_check_timer_ = control_loop_.timers().Subscribe(
      kIdleCheckPeriod,
      [this](TimePoint) { traffic_loop_.Post([this] { EndWhenIdle(); }); });
}

void Shutdown::StopAccepting() {
  traffic_loop_.Post([this] {
    if (!std::exchange(accepting_, false))
      return;
    gateway_.RejectNewRequests();
    CloseListeners();
    for (net::HttpServer* server : servers_)
      server->CloseIdle();
  });
}

void Shutdown::CloseListeners() {
  if (!std::exchange(listening_, false))
    return;
  for (net::HttpServer* server : servers_)
    server->Stop();
}

void Shutdown::EndWhenIdle() {
  idle_checks_ = HasOpenAnswers() ? 0 : idle_checks_ + 1;
  const bool is_idle = idle_checks_ >= kIdleChecksToEnd;
  if (is_idle)
    CloseListeners();
  // Requests that arrive slowly do not prolong the stop.
  if (is_idle || !accepting_) {
    for (net::HttpServer* server : servers_)
      server->RefuseUnread(ResultCode::kDraining);
  }
  if (idle_checks_ > kIdleChecksToEnd)
    control_loop_.Stop();
}

bool Shutdown::HasOpenAnswers() const {
  // A request is removed from the count before its answer is sent completely.
  return gateway_.open_requests() > 0 ||
         std::any_of(servers_.begin(), servers_.end(),
                     [](const net::HttpServer* server) {
                       return server->HasUnsentResponses();
                     });
}

}  // namespace teaselhill::gateway
