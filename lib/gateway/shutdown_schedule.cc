/// \file
/// Times of a planned stop, derived from its grace.

#include "teaselhill/gateway/shutdown_schedule.h"

#include <algorithm>

namespace teaselhill::gateway {

namespace {

/// The load balancer sends new connections until two readiness checks, a second
/// apart, have failed.
constexpr std::chrono::milliseconds kLeaveRotationAfter{2900};

constexpr std::chrono::milliseconds kCloseIdleAfter{2200};

/// Time before the SIGKILL that is reserved for the last answers: half of it to
/// leave the socket buffers, half for the process to end.
constexpr std::chrono::milliseconds kMaxMargin{300};

/// Least grace as a multiple of the margin.
constexpr int kGracePerMargin = 8;

}  // namespace

ShutdownSchedule MakeShutdownSchedule(Duration grace) {
  const Duration margin =
      std::min<Duration>(kMaxMargin, grace / kGracePerMargin);
  ShutdownSchedule schedule;
  schedule.final_answers = grace - margin;
  schedule.end = grace - margin / 2;
  schedule.leave_rotation =
      std::min<Duration>(kLeaveRotationAfter, schedule.final_answers);
  schedule.close_idle =
      std::min<Duration>(kCloseIdleAfter, schedule.leave_rotation);
  return schedule;
}

bool IsLikelyToEnd(Duration time_left,
                   std::optional<Duration> expected,
                   Duration until_final_answers) {
  return std::min(time_left, expected.value_or(time_left)) <=
         until_final_answers;
}

}  // namespace teaselhill::gateway
