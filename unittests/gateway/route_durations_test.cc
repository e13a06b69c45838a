/// \file
/// Guards against requests that are begun in a planned stop though requests of
/// their route last longer than what is left of it.

#include "teaselhill/gateway/route_durations.h"

#include <catch2/catch.hpp>
#include <vector>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kRoute[] = "a";

void Add(RouteDurations& durations,
         int count,
         milliseconds duration,
         TimePoint now) {
  for (int i = 0; i < count; ++i)
    durations.OnAnswered(kRoute, duration, now);
}

}  // namespace

TEST_CASE("the expected duration follows the longest requests lately") {
  struct Step {
    seconds at;
    int count;
    milliseconds duration;
  };
  struct Row {
    const char* name;
    std::vector<Step> steps;
    seconds asked_at;
    std::optional<Duration> expected;
  };
  const int enough = RouteDurations::kMinAnswers;
  const Row row = GENERATE_COPY(values<Row>({
      {"no requests", {}, seconds(0), std::nullopt},
      {"too few requests",
       {{seconds(0), enough - 1, milliseconds(100)}},
       seconds(1),
       std::nullopt},
      {"enough requests",
       {{seconds(0), enough, milliseconds(100)}},
       seconds(1),
       milliseconds(150)},
      {"one long request",
       {{seconds(0), enough, milliseconds(100)},
        {seconds(1), 1, milliseconds(2000)},
        {seconds(2), enough, milliseconds(100)}},
       seconds(3),
       milliseconds(3000)},
      {"a long request in the period before",
       {{seconds(50), 1, milliseconds(2000)},
        {seconds(115), enough, milliseconds(100)}},
       seconds(116),
       milliseconds(3000)},
      {"a long request two periods ago",
       {{seconds(0), 1, milliseconds(2000)},
        {seconds(65), enough, milliseconds(100)},
        {seconds(125), enough, milliseconds(100)}},
       seconds(126),
       milliseconds(150)},
      {"requests of two periods count together",
       {{seconds(0), enough / 2, milliseconds(100)},
        {seconds(70), enough - enough / 2, milliseconds(200)}},
       seconds(71),
       milliseconds(300)},
      {"nothing for two periods",
       {{seconds(0), enough, milliseconds(100)}},
       seconds(120),
       std::nullopt},
  }));
  INFO(row.name);
  RouteDurations durations;
  for (const Step& step : row.steps)
    Add(durations, step.count, step.duration, TimePoint(step.at));
  CHECK(durations.Expected(kRoute, TimePoint(row.asked_at)) == row.expected);
  CHECK(durations.Expected("other", TimePoint(row.asked_at)) == std::nullopt);
}

TEST_CASE("requests without an answer only raise the expected duration") {
  RouteDurations durations;
  const TimePoint now{};
  for (int i = 0; i < RouteDurations::kMinAnswers; ++i)
    durations.OnUnanswered(kRoute, milliseconds(10), now);
  CHECK(durations.Expected(kRoute, now) == std::nullopt);
  Add(durations, RouteDurations::kMinAnswers, milliseconds(100), now);
  CHECK(durations.Expected(kRoute, now) == Duration(milliseconds(150)));
  durations.OnUnanswered(kRoute, seconds(20), now);
  CHECK(durations.Expected(kRoute, now) == Duration(seconds(30)));
}

TEST_CASE("durations of a bounded number of routes are kept") {
  RouteDurations durations(/*max_routes=*/2);
  const TimePoint start{};
  for (const char* route : {"a", "b", "c"}) {
    for (int i = 0; i < RouteDurations::kMinAnswers; ++i)
      durations.OnAnswered(route, seconds(1), start);
  }
  CHECK(durations.size() == 2);
  CHECK(durations.Expected("a", start));
  CHECK_FALSE(durations.Expected("c", start));
  // Routes that are no longer used make room.
  const TimePoint later = start + 2 * RouteDurations::kPeriod;
  durations.OnAnswered("c", seconds(1), later);
  CHECK(durations.size() == 1);
}

}  // namespace teaselhill::gateway
