/// \file
/// Guards the order and the cancellation of timers.

#include "teaselhill/support/timer_service.h"

#include <catch2/catch.hpp>
#include <string>

namespace teaselhill {

using std::chrono::milliseconds;

TEST_CASE("timers run in order of time and stop when cancelled") {
  ManualTimerService timers;
  std::string order;
  TimerSubscription periodic =
      timers.Subscribe(milliseconds(10), [&](TimePoint) { order += 'p'; });
  TimerSubscription once =
      timers.After(milliseconds(15), [&](TimePoint) { order += 'o'; });
  TimerSubscription cancelled =
      timers.After(milliseconds(5), [&](TimePoint) { order += 'x'; });
  cancelled.Cancel();
  timers.Advance(milliseconds(30));
  CHECK(order == "popp");
  periodic.Cancel();
  timers.Advance(milliseconds(30));
  CHECK(order == "popp");
}

}  // namespace teaselhill
