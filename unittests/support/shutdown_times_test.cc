/// \file
/// Guards against a process that ends with answers which were not written or
/// did not leave its sockets.

#include "teaselhill/support/shutdown_times.h"

#include <catch2/catch.hpp>

namespace teaselhill {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("times of a stop follow from its timeout") {
  struct Row {
    Duration timeout;
    Duration final_answers;  ///< after the start
  };
  const Row row = GENERATE(values<Row>({
      {milliseconds(0), milliseconds(0)},
      {milliseconds(50), milliseconds(0)},
      {milliseconds(500), milliseconds(400)},
      {seconds(1), milliseconds(900)},
      {seconds(3), milliseconds(2700)},
      {seconds(6), milliseconds(5400)},
      {seconds(20), seconds(18)},
      {seconds(30), seconds(28)},
      {seconds(600), seconds(598)},
  }));
  const TimePoint start{std::chrono::hours(1)};
  const ShutdownTimes times = PlanShutdown(start, row.timeout);
  CHECK(times.final_answers == start + row.final_answers);
  CHECK(times.end == start + row.timeout);
}

TEST_CASE("a longer timeout leaves no less time for answers and sockets") {
  const TimePoint start{std::chrono::hours(1)};
  ShutdownTimes previous = PlanShutdown(start, seconds(1));
  for (Duration timeout = seconds(2); timeout <= seconds(600);
       timeout += seconds(1)) {
    const ShutdownTimes times = PlanShutdown(start, timeout);
    CHECK(times.final_answers > previous.final_answers);
    CHECK(times.end - times.final_answers >=
          previous.end - previous.final_answers);
    previous = times;
  }
}

}  // namespace teaselhill
