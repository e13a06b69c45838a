/// \file
/// Guards upstreams against more retries than the fleet may send.

#include "teaselhill/gateway/retry_budget.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <string>
#include <vector>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WallTime kWallStart{std::chrono::hours(480000)};

}  // namespace

TEST_CASE("a host repeats the ratio of its requests, and in its turns") {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.used_ratio_fraction = 1;
  options.fleet_additional_retries = 60;
  options.used_additional_fraction = 1;
  RetryBudget budget(options);
  budget.SetPosition({0, 4});
  TimePoint now{};
  WallTime wall_now = kWallStart;
  for (int i = 0; i < 50; ++i)
    budget.OnRequest("s", now, wall_now);
  const auto acquire_all = [&] {
    int acquired = 0;
    while (budget.TryAcquire("s", now, wall_now))
      ++acquired;
    return acquired;
  };
  // Additional retries accrue: a host that has just started has none.
  CHECK(acquire_all() == 10);
  now += options.window / 2;
  wall_now += seconds(5);
  // The host's turns of half a window, one each second.
  CHECK(acquire_all() == 5);
  now += options.window * 10;
  wall_now += seconds(100);
  // Turns lapse after half a window, and so do the requests.
  CHECK(acquire_all() == 5);
  budget.OnRequest("s", now, wall_now);
  CHECK_FALSE(budget.TryAcquire("s", now, wall_now));
}

TEST_CASE("each service has a retry budget of its own") {
  RetryBudgetOptions options;
  options.fleet_additional_retries = 2;
  options.used_additional_fraction = 1;
  RetryBudget budget(options);
  budget.SetPosition({0, 1});
  const TimePoint now{};
  budget.OnRequest("a", now, kWallStart);
  budget.OnRequest("b", now, kWallStart);
  const TimePoint later = now + options.window;
  const WallTime wall_later = kWallStart + seconds(10);
  CHECK(budget.TryAcquire("a", later, wall_later));
  CHECK_FALSE(budget.TryAcquire("a", later, wall_later));
  CHECK(budget.TryAcquire("b", later, wall_later));
}

TEST_CASE("no additional retries are allowed where the settings name none") {
  RetryBudgetOptions options;
  options.fleet_additional_retries = 0;
  RetryBudget budget(options);
  budget.SetPosition({0, 1});
  budget.OnRequest("s", TimePoint{}, kWallStart);
  CHECK_FALSE(budget.TryAcquire("s", TimePoint{} + std::chrono::hours(1),
                                kWallStart + std::chrono::hours(1)));
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
    /// Part of the additional retries that the fleet uses at least. Zero where
    /// hosts lose their turns in restarts, or take the largest fleet for
    /// granted.
    double least_used;
  };
  const Row row = GENERATE(values<Row>({
      {"7 hosts", 7, 54, Duration{}, true, 0.45},
      {"88 hosts", 88, 216, Duration{}, true, 0.45},
      {"195 hosts, two retries each", 195, 430, Duration{}, true, 0.45},
      {"380 hosts", 380, 216, Duration{}, true, 0.45},
      {"7 hosts that restart", 7, 54, seconds(2), true, 0},
      {"88 hosts that restart", 88, 216, seconds(3), true, 0},
      {"88 hosts that cannot read the store", 88, 216, Duration{}, false, 0},
  }));
  INFO(row.name);
  RetryBudgetOptions options;
  options.fleet_additional_retries = row.fleet_additional_retries;
  std::vector<RetryBudget> fleet(row.hosts, RetryBudget(options));
  constexpr milliseconds kStep{50};
  constexpr int kStepsPerWindow = 200;
  constexpr int kSteps = 4 * kStepsPerWindow;
  std::vector<int> requests(kSteps);
  std::vector<int> retries(kSteps);
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = TimePoint{} + step * kStep;
    const WallTime wall_now = kWallStart + step * kStep;
    for (size_t host = 0; host < row.hosts; ++host) {
      const bool restarts =
          row.restart_period > Duration{} &&
          (step * kStep + host * milliseconds(100)) % row.restart_period <
              kStep;
      if (restarts)
        fleet[host] = RetryBudget(options);
      if (row.hosts_known)
        fleet[host].SetPosition({host, row.hosts});
      // About 1.4 requests a second and host, as on a service with few
      // requests, where the additional retries weigh most.
      if ((step + host) % 14 == 0) {
        fleet[host].OnRequest("s", now, wall_now);
        ++requests[step];
      }
      while (fleet[host].TryAcquire("s", now, wall_now))
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
  if (row.least_used == 0)
    return;
  const double windows = kSteps / kStepsPerWindow;
  const double by_ratio = options.ratio * options.used_ratio_fraction *
                          std::accumulate(requests.begin(), requests.end(), 0);
  CHECK(std::accumulate(retries.begin(), retries.end(), 0) >=
        0.7 * by_ratio +
            row.least_used * windows * options.fleet_additional_retries);
}

// Guards against a budget that is divided into shares below one retry, which
// lapse unused while requests of other hosts fail for want of one.
TEST_CASE("a fleet far below its budget repeats nearly each failed request") {
  struct Row {
    const char* name;
    size_t hosts;
    double fleet_additional_retries;
    /// Time between two requests of a host.
    milliseconds request_interval;
  };
  const Row row = GENERATE(values<Row>({
      {"7 hosts", 7, 54, milliseconds(300)},
      {"61 hosts", 61, 162, milliseconds(800)},
      {"195 hosts, calm", 195, 430, milliseconds(2500)},
      {"195 hosts", 195, 430, milliseconds(1300)},
  }));
  INFO(row.name);
  RetryBudgetOptions options;
  options.fleet_additional_retries = row.fleet_additional_retries;
  std::vector<RetryBudget> fleet(row.hosts, RetryBudget(options));
  constexpr milliseconds kStep{50};
  // As many as the users' services fail in calm.
  constexpr uint64_t kRequestsPerFailure = 25;
  uint64_t state = 7;
  const auto draw = [&state](uint64_t count) {
    state = Hash64(std::to_string(state));
    return state % count;
  };
  const auto steps_per_request =
      static_cast<uint64_t>(row.request_interval / kStep);
  int failures = 0;
  int retries = 0;
  for (int step = 0; step < 1200; ++step) {
    const TimePoint now = TimePoint{} + step * kStep;
    const WallTime wall_now = kWallStart + step * kStep;
    for (size_t host = 0; host < row.hosts; ++host) {
      fleet[host].SetPosition({host, row.hosts});
      if (draw(steps_per_request) != 0)
        continue;
      fleet[host].OnRequest("s", now, wall_now);
      // A host that starts has no additional retry yet.
      if (step < 400 || draw(kRequestsPerFailure) != 0)
        continue;
      ++failures;
      retries += fleet[host].TryAcquire("s", now, wall_now) ? 1 : 0;
    }
  }
  CAPTURE(failures, retries);
  // At most 10 of the 115 failures of a calm day may reach their callers.
  CHECK(retries >= 0.91 * failures);
}

}  // namespace teaselhill::gateway
