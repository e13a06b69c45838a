/// \file
/// Guards repeated runs of the loop: a run that ended without any work left
/// made the next one return at once, and the client then read answers that had
/// not arrived.

#include "teaselhill/net/event_loop.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

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

// Guards against a message that ends the process, because an exception leaves
// the handler that reads it.
TEST_CASE("the loop goes on after a handler that threw") {
  EventLoop loop;
  std::string faults;
  loop.SetExceptionHandler(
      [&](const std::exception& fault) { faults += fault.what(); });
  loop.Post([] { throw std::runtime_error("posted "); });
  const auto failing =
      loop.timers().After(std::chrono::milliseconds(1),
                          [](TimePoint) { throw std::runtime_error("timer"); });
  const auto timer = loop.timers().After(std::chrono::milliseconds(5),
                                         [&](TimePoint) { loop.Stop(); });
  loop.Run();
  CHECK(faults == "posted timer");
}

}  // namespace teaselhill::net
