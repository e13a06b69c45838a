/// \file
/// Guards upstreams against more retries than the fleet may send.

#include "teaselhill/gateway/retry_budget.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

TEST_CASE(
    "in every window, retries stay within the ratio plus the additional "
    "retries") {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.used_ratio_fraction = 1;
  options.additional_retries = 2;
  RetryBudget budget(options);
  TimePoint now{};
  for (int i = 0; i < 50; ++i)
    budget.OnRequest("s", now);
  int acquired = 0;
  while (budget.TryAcquire("s", now))
    ++acquired;
  CHECK(acquired == 12);
  CHECK_FALSE(budget.TryAcquire("s", now + options.window / 2));
  now += options.window;
  acquired = 0;
  while (budget.TryAcquire("s", now))
    ++acquired;
  CHECK(acquired == 2);
}

TEST_CASE("each service has a retry budget of its own") {
  RetryBudget budget({0.2, std::chrono::seconds(10), 1, 1});
  CHECK(budget.TryAcquire("a", TimePoint{}));
  CHECK_FALSE(budget.TryAcquire("a", TimePoint{}));
  CHECK(budget.TryAcquire("b", TimePoint{}));
}

}  // namespace teaselhill::gateway
