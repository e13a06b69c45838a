/// \file
/// Planned stop of the gateway, from SIGTERM to the end of its loops.

#ifndef TEASELHILL_LIB_GATEWAY_SHUTDOWN_H_
#define TEASELHILL_LIB_GATEWAY_SHUTDOWN_H_

#include <functional>
#include <optional>
#include <vector>

#include "teaselhill/gateway/gateway.h"
#include "teaselhill/gateway/shutdown_schedule.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::gateway {

/// Used on the thread of `control_loop`, which it stops when all answers have
/// left, or at the latest at ShutdownSchedule::end.
class Shutdown {
 public:
  /// `servers`: those whose requests `gateway` answers. `traffic_loop` runs
  /// both.
  Shutdown(net::EventLoop& control_loop,
           net::EventLoop& traffic_loop,
           Gateway& gateway,
           std::vector<net::HttpServer*> servers);

  /// `grace`: time from now at which the platform sends SIGKILL.
  void Begin(Duration grace);

  /// Applies a changed grace to a stop that has begun, if it is shorter: the
  /// platform may keep to the one that was in force at SIGTERM.
  void ChangeGrace(Duration grace);

  /// Time until the SIGKILL; nothing: no stop has begun.
  std::optional<Duration> GraceLeft(TimePoint now) const;

 private:
  /// Sets the timers of all later steps.
  void Arm();
  /// Calls `step` at this time after the begin, or at once if that has passed.
  TimerSubscription At(Duration after_begin, std::function<void()> step);
  void CloseIdle();
  /// From now on the stop ends when nothing is left to be answered.
  void WatchIdle();
  /// Refuses all further requests.
  void StopAccepting();
  /// Call on the traffic thread.
  void CloseListeners();
  /// Ends the stop if nothing is left to be answered. Runs on the traffic
  /// thread.
  void EndWhenIdle();
  bool HasOpenAnswers() const;

  net::EventLoop& control_loop_;
  net::EventLoop& traffic_loop_;
  Gateway& gateway_;                       ///< on the traffic thread
  std::vector<net::HttpServer*> servers_;  ///< on the traffic thread
  std::optional<TimePoint> begun_at_;
  Duration grace_{};
  bool accepting_ = true;  ///< on the traffic thread
  bool listening_ = true;  ///< on the traffic thread
  int idle_checks_ = 0;    ///< in a row; on the traffic thread
  TimerSubscription close_idle_timer_;
  TimerSubscription watch_idle_timer_;
  TimerSubscription stop_accepting_timer_;
  TimerSubscription end_timer_;
  TimerSubscription idle_check_timer_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_SHUTDOWN_H_
