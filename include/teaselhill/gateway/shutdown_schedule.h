/// \file
/// Times of a planned stop, and which requests are still worth beginning in it.

#ifndef TEASELHILL_GATEWAY_SHUTDOWN_SCHEDULE_H_
#define TEASELHILL_GATEWAY_SHUTDOWN_SCHEDULE_H_

#include <optional>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Retry-After delay while draining: another host accepts the request at once.
constexpr std::chrono::milliseconds kDrainingRetryAfter{50};

/// Times after SIGTERM, in this order.
struct ShutdownSchedule {
  /// Idle connections are closed; their callers reconnect to another host.
  Duration close_idle{};
  /// The load balancer has had time to notice. The process ends from now on
  /// when nothing is left to be answered. Until then it takes requests that are
  /// likely to end in time: a load balancer sends to hosts that stop if it has
  /// no others.
  Duration leave_rotation{};
  /// Each request that has no answer yet gets its final one. New connections
  /// are no longer accepted, and every new request is refused.
  Duration final_answers{};
  /// The process ends, if answers have not left the socket buffers before.
  Duration end{};
};

/// `grace`: time after SIGTERM at which the platform sends SIGKILL.
ShutdownSchedule MakeShutdownSchedule(Duration grace);

/// Whether a request is likely to end within `until_final_answers`.
/// `time_left`: of the request itself; `expected`: its duration from now on;
/// nothing: unknown.
bool IsLikelyToEnd(Duration time_left,
                   std::optional<Duration> expected,
                   Duration until_final_answers);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_SHUTDOWN_SCHEDULE_H_
