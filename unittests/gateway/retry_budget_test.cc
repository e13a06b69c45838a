/// \file
/// Guards upstreams against more retries than the fleet may send.

#include "teaselhill/gateway/retry_budget.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Long before the first request, so that the additional retries have accrued.
constexpr TimePoint kStart = TimePoint(-std::chrono::hours(1));

}  // namespace

TEST_CASE(
    "in every window, retries stay within the ratio plus the additional "
    "retries") {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.used_ratio_fraction = 1;
  options.fleet_additional_retries = 8;
  options.used_additional_fraction = 1;
  RetryBudget budget(options, kStart);
  budget.SetHostCount(4);
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
  RetryBudgetOptions options;
  options.fleet_additional_retries = 2;
  RetryBudget budget(options, kStart);
  budget.SetHostCount(1);
  CHECK(budget.TryAcquire("a", TimePoint{}));
  CHECK_FALSE(budget.TryAcquire("a", TimePoint{}));
  CHECK(budget.TryAcquire("b", TimePoint{}));
}

TEST_CASE(
    "a fleet of any size that fails every request stays within the budget") {
  struct Row {
    const char* name;
    size_t hosts;
    double fleet_additional_retries;
    /// Time between two restarts of a host; zero: none.
    Duration restart_period;
    bool hosts_known;
  };
  const Row row = GENERATE(values<Row>({
      {"7 hosts", 7, 54, Duration{}, true},
      {"88 hosts", 88, 216, Duration{}, true},
      {"380 hosts", 380, 216, Duration{}, true},
      {"7 hosts that restart", 7, 54, seconds(2), true},
      {"88 hosts that restart", 88, 216, seconds(3), true},
      {"88 hosts that cannot read the store", 88, 216, Duration{}, false},
  }));
  INFO(row.name);
  RetryBudgetOptions options;
  options.fleet_additional_retries = row.fleet_additional_retries;
  std::vector<RetryBudget> fleet(row.hosts, RetryBudget(options, TimePoint{}));
  constexpr milliseconds kStep{50};
  constexpr int kStepsPerWindow = 200;
  constexpr int kSteps = 4 * kStepsPerWindow;
  std::vector<int> requests(kSteps);
  std::vector<int> retries(kSteps);
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = TimePoint{} + step * kStep;
    for (size_t host = 0; host < row.hosts; ++host) {
      const bool restarts =
          row.restart_period > Duration{} &&
          (step * kStep + host * milliseconds(100)) % row.restart_period <
              kStep;
      if (restarts)
        fleet[host] = RetryBudget(options, now);
      if (row.hosts_known)
        fleet[host].SetHostCount(row.hosts);
      // About 1.4 requests a second and host, as on a service with few
      // requests, where the additional retries weigh most.
      if ((step + host) % 14 == 0) {
        fleet[host].OnRequest("s", now);
        ++requests[step];
      }
      while (fleet[host].TryAcquire("s", now))
        ++retries[step];
    }
  }
  for (int from = 0; from + kStepsPerWindow <= kSteps; ++from) {
    const auto sum = [&](const std::vector<int>& counts) {
      return std::accumulate(counts.begin() + from,
                             counts.begin() + from + kStepsPerWindow, 0);
    };
    REQUIRE(sum(retries) <=
            options.ratio * sum(requests) + options.fleet_additional_retries);
  }
}

}  // namespace teaselhill::gateway
