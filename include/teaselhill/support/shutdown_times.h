/// \file
/// Times of a planned stop.

#ifndef TEASELHILL_SUPPORT_SHUTDOWN_TIMES_H_
#define TEASELHILL_SUPPORT_SHUTDOWN_TIMES_H_

#include "teaselhill/support/time.h"

namespace teaselhill {

struct ShutdownTimes {
  /// Each request that is open at this time gets its last answer.
  TimePoint final_answers;
  /// The process ends, though answers may not have left its sockets.
  TimePoint end;
};

/// Divides the time that a process has for its stop: answers are written until
/// `final_answers` and leave the sockets by `end`, `timeout` after `start`.
ShutdownTimes PlanShutdown(TimePoint start, Duration timeout);

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_SHUTDOWN_TIMES_H_
