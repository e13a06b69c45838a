/// \file
/// Guards repeated runs of the loop: a run that ended without any work left
/// made the next one return at once, and the client then read answers that had
/// not arrived.

#include "teaselhill/net/event_loop.h"

#include <catch2/catch.hpp>

namespace teaselhill::net {

TEST_CASE("each run of the loop lasts until it is stopped") {
  EventLoop loop;
  for (int run = 0; run < 3; ++run) {
    bool fired = false;
    const auto timer =
        loop.timers().After(std::chrono::milliseconds(1), [&](TimePoint) {
          fired = true;
          loop.Stop();
        });
    loop.Run();
    CHECK(fired);
  }
}

}  // namespace teaselhill::net
