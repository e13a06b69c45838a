/// \file
/// Guards upstreams against more retries than the fleet may send.

#include "teaselhill/gateway/repeat_budget.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

TEST_CASE(
    "retries stay within the ratio plus the additional ones in every window") {
  RepeatBudgetOptions options;
  options.ratio = 0.2;
  options.used_part = 1;
  options.extra = 2;
  RepeatBudget budget(options);
  TimePoint now{};
  for (int i = 0; i < 50; ++i)
    budget.OnRequest("s", now);
  int taken = 0;
  while (budget.TryTake("s", now))
    ++taken;
  CHECK(taken == 12);
  CHECK_FALSE(budget.TryTake("s", now + options.window / 2));
  now += options.window;
  taken = 0;
  while (budget.TryTake("s", now))
    ++taken;
  CHECK(taken == 2);
}

TEST_CASE("each service has a retry budget of its own") {
  RepeatBudget budget({0.2, std::chrono::seconds(10), 1, 1});
  CHECK(budget.TryTake("a", TimePoint{}));
  CHECK_FALSE(budget.TryTake("a", TimePoint{}));
  CHECK(budget.TryTake("b", TimePoint{}));
}

}  // namespace teaselhill::gateway
