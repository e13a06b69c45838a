/// \file
/// Guards against intervals that tell of prompts, pauses of the reader or
/// joined events instead of the engine.

#include "teaselhill/engines/event_intervals.h"

#include <catch2/catch.hpp>
#include <vector>

namespace teaselhill::engines {

using std::chrono::milliseconds;

namespace {

/// Events that arrive together, `after_ms` after those before them.
struct Arrival {
  int after_ms;
  uint64_t events = 1;
  bool reading_paused = false;
};

struct Row {
  const char* name;
  std::vector<Arrival> arrivals;
  std::optional<int> typical_ms;
};

}  // namespace

TEST_CASE("the typical interval of a stream is that of its steps") {
  const Row row = GENERATE(values<Row>({
      {"steady", {{300}, {30}, {30}, {30}, {30}, {30}}, 30},
      {"prompts in half of the intervals",
       {{300}, {100}, {30}, {110}, {30}, {100}, {30}, {31}},
       30},
      {"two events at a time",
       {{300}, {60, 2}, {60, 2}, {60, 2}, {60, 2}, {60, 2}},
       30},
      {"an interval in which nothing was read",
       {{300}, {40}, {500, 1, true}, {40}, {40}, {40}, {40}},
       40},
      {"too few events", {{300}, {30}, {30}, {30}, {30}}, std::nullopt},
      {"none", {}, std::nullopt},
  }));
  INFO(row.name);
  EventIntervals intervals;
  TimePoint now{std::chrono::hours(1)};
  for (const Arrival& arrival : row.arrivals) {
    now += milliseconds(arrival.after_ms);
    if (arrival.reading_paused)
      intervals.OnReadingPaused();
    intervals.OnEvents(arrival.events, now);
  }
  const std::optional<Duration> typical = intervals.Typical();
  REQUIRE(typical.has_value() == row.typical_ms.has_value());
  if (typical)
    CHECK(*typical == milliseconds(*row.typical_ms));
}

}  // namespace teaselhill::engines
