/// \file
/// Guards against requests that are read in a planned stop and get no answer,
/// because its times do not follow from the grace.

#include "teaselhill/gateway/shutdown_schedule.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("the times of a planned stop follow from its grace") {
  struct Row {
    milliseconds grace;
    milliseconds close_idle;
    milliseconds leave_rotation;
    milliseconds final_answers;
  };
  const Row row = GENERATE(values<Row>({
      {milliseconds(1000), milliseconds(875), milliseconds(875),
       milliseconds(875)},
      {milliseconds(2000), milliseconds(1750), milliseconds(1750),
       milliseconds(1750)},
      {milliseconds(3000), milliseconds(2200), milliseconds(2700),
       milliseconds(2700)},
      {milliseconds(4000), milliseconds(2200), milliseconds(2900),
       milliseconds(3700)},
      {milliseconds(8000), milliseconds(2200), milliseconds(2900),
       milliseconds(7700)},
      {milliseconds(600000), milliseconds(2200), milliseconds(2900),
       milliseconds(599700)},
  }));
  CAPTURE(row.grace.count());
  const ShutdownSchedule schedule = MakeShutdownSchedule(row.grace);
  CHECK(schedule.close_idle == row.close_idle);
  CHECK(schedule.leave_rotation == row.leave_rotation);
  CHECK(schedule.final_answers == row.final_answers);
}

TEST_CASE("a planned stop leaves time for its last answers at any grace") {
  for (seconds grace{1}; grace <= seconds(600); ++grace) {
    CAPTURE(grace.count());
    const ShutdownSchedule schedule = MakeShutdownSchedule(grace);
    CHECK(schedule.close_idle > Duration::zero());
    CHECK(schedule.close_idle <= schedule.leave_rotation);
    CHECK(schedule.leave_rotation <= schedule.final_answers);
    // To write the answers, and to end before the SIGKILL.
    CHECK(schedule.end - schedule.final_answers >= milliseconds(60));
    CHECK(grace - schedule.end >= milliseconds(60));
    // Upstreams that are at work so late are waited for as long as possible.
    CHECK(grace - schedule.final_answers < Duration(grace) / 6);
    CHECK(grace - schedule.final_answers <= milliseconds(300));
  }
}

TEST_CASE("a request is begun in a planned stop if it is likely to end") {
  struct Row {
    const char* name;
    milliseconds time_left;
    std::optional<Duration> expected;
    milliseconds until_final_answers;
    bool likely;
  };
  const Row row = GENERATE(values<Row>({
      {"short requests", milliseconds(4000), milliseconds(300),
       milliseconds(400), true},
      {"long requests", milliseconds(4000), milliseconds(500),
       milliseconds(400), false},
      {"exactly in time", milliseconds(4000), milliseconds(400),
       milliseconds(400), true},
      {"an early deadline", milliseconds(300), milliseconds(5000),
       milliseconds(400), true},
      {"unknown, an early deadline", milliseconds(300), std::nullopt,
       milliseconds(400), true},
      {"unknown", milliseconds(4000), std::nullopt, milliseconds(3900), false},
      {"too late", milliseconds(4000), milliseconds(1), milliseconds(0), false},
      {"after the final answers", milliseconds(4000), milliseconds(0),
       milliseconds(-1), false},
  }));
  INFO(row.name);
  CHECK(IsLikelyToEnd(row.time_left, row.expected, row.until_final_answers) ==
        row.likely);
}

}  // namespace teaselhill::gateway
