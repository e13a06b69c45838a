/// \file
/// Guards against hosts that exceed a rate of the fleet together: because each
/// has turns in hand after a quiet time, because there are more hosts than
/// turns, or because they start, leave or disagree on the time.

#include "teaselhill/gateway/rate_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kNone{0};
const WallTime kStart{std::chrono::hours(480000)};
constexpr milliseconds kStep{10};
constexpr milliseconds kDuration{60000};
/// The bound of the platform: in any such span, an upstream gets at most this
/// many times what its limit allows, and some requests more.
constexpr milliseconds kSpan{4000};
constexpr double kToleratedRatio = 1.5;
constexpr double kToleratedRequests = 5;

struct FleetRow {
  const char* name;
  int hosts;
  double limit;
  /// Requests a second of each host, when there are any.
  double demand;
  /// Hosts that are known although they have ended.
  int gone_hosts;
  /// Hosts that the others do not know yet.
  int unknown_hosts;
  milliseconds max_clock_error;
  /// All hosts are idle, and then have requests at once, in this period.
  milliseconds burst_period;
  /// Part of the limit that is used at least; zero where demand is low.
  double least_used;
};

std::vector<RateShare> MakeHosts(const FleetRow& row) {
  const auto known = static_cast<size_t>(row.hosts + row.gone_hosts);
  std::vector<RateShare> shares;
  for (int i = 0; i < row.hosts + row.unknown_hosts; ++i) {
    RateShare share(/*phase=*/7, kStart);
    share.SetRate(row.limit * 0.9,
                  FromSeconds(std::min(1 + 2 / (row.limit * 0.9), 10.0)));
    const bool unknown = i >= row.hosts;
    share.SetPosition({static_cast<size_t>(i), unknown ? known + 1 : known});
    shares.push_back(share);
  }
  return shares;
}

bool HasDemand(const FleetRow& row, milliseconds at) {
  return row.burst_period == milliseconds::zero() ||
         at % row.burst_period > row.burst_period * 3 / 4;
}

/// Send times of the whole fleet.
std::vector<milliseconds> Play(const FleetRow& row, uint64_t seed) {
  Rng rng(seed);
  std::vector<RateShare> shares = MakeHosts(row);
  std::vector<milliseconds> clock_errors;
  for (size_t i = 0; i < shares.size(); ++i)
    clock_errors.emplace_back(
        static_cast<int64_t>(rng.Uniform() * row.max_clock_error.count()));
  std::vector<milliseconds> sends;
  for (milliseconds at{0}; at < kDuration; at += kStep) {
    for (size_t i = 0; i < shares.size(); ++i) {
      if (!HasDemand(row, at) || rng.Uniform() >= row.demand * ToSeconds(kStep))
        continue;
      const WallTime now = kStart + at + clock_errors[i];
      if (!shares[i].OldestTurnAge(now))
        continue;
      shares[i].Use(now);
      sends.push_back(at);
    }
  }
  return sends;
}

size_t MostInSpan(const std::vector<milliseconds>& sends) {
  size_t most = 0;
  for (auto first = sends.begin(); first != sends.end(); ++first) {
    const auto last = std::lower_bound(first, sends.end(), *first + kSpan);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace

TEST_CASE("the hosts of a fleet keep a rate together") {
  const FleetRow row = GENERATE(values<FleetRow>({
      {"few hosts", 7, 1, 20, 0, 0, kNone, kNone, 0.8},
      {"a small limit", 7, 0.2, 20, 0, 0, kNone, kNone, 0.4},
      {"a large limit", 7, 200, 60, 0, 0, kNone, kNone, 0.8},
      {"demand below the limit", 7, 50, 2, 0, 0, kNone, kNone, 0},
      {"many hosts", 88, 1, 5, 0, 0, kNone, kNone, 0.8},
      {"most hosts", 300, 1, 5, 0, 0, kNone, kNone, 0.8},
      {"most hosts, large limit", 300, 100, 5, 0, 0, kNone, kNone, 0.8},
      {"idle, then all at once", 88, 1, 20, 0, 0, kNone, milliseconds(8000), 0},
      {"idle, then most at once", 300, 2, 20, 0, 0, kNone, milliseconds(8000),
       0},
      {"hosts that have ended", 7, 2, 20, 7, 0, kNone, kNone, 0.4},
      {"hosts that are not known", 7, 1, 20, 0, 2, kNone, kNone, 0.8},
      {"clocks that differ", 88, 1, 5, 0, 0, milliseconds(3000), kNone, 0.7},
  }));
  const uint64_t seed = GENERATE(range(1, 6));
  INFO(row.name << ", seed " << seed);
  const std::vector<milliseconds> sends = Play(row, seed);
  CHECK(static_cast<double>(MostInSpan(sends)) <=
        kToleratedRatio * row.limit * ToSeconds(kSpan) + kToleratedRequests);
  CHECK(static_cast<double>(sends.size()) >=
        row.least_used * row.limit * ToSeconds(kDuration));
}

TEST_CASE("a turn is used once, lapses, and may be used in advance") {
  RateShare share(/*phase=*/0, kStart);
  share.SetPosition({0, 1});
  share.SetRate(1, seconds(2));
  CHECK_FALSE(share.OldestTurnAge(kStart));
  WallTime now = kStart + milliseconds(1500);
  REQUIRE(share.OldestTurnAge(now));
  CHECK(share.UntilNextTurn(now) == Duration::zero());
  share.Use(now);
  CHECK_FALSE(share.OldestTurnAge(now));
  CHECK(share.UntilNextTurn(now) > Duration::zero());
  CHECK(share.UntilNextTurn(now) <= seconds(1));
  // Not more than two turns are left after a long time.
  now += std::chrono::hours(1);
  int turns = 0;
  while (share.OldestTurnAge(now) && turns < 10) {
    share.Use(now);
    ++turns;
  }
  CHECK(turns == 2);
  // A send that could not wait takes the next turn.
  share.Use(now);
  CHECK_FALSE(share.OldestTurnAge(now + milliseconds(1100)));
  CHECK(share.OldestTurnAge(now + milliseconds(2100)));
}

TEST_CASE("a wall clock that jumps grants no more than the lapsing turns") {
  const int jump_s = GENERATE(-3600, -4, 4, 3600);
  RateShare share(/*phase=*/0, kStart);
  share.SetPosition({0, 1});
  share.SetRate(1, seconds(2));
  WallTime now = kStart + seconds(10);
  while (share.OldestTurnAge(now))
    share.Use(now);
  now += seconds(jump_s);
  int turns = 0;
  for (int second = 0; second < 10; ++second) {
    while (share.OldestTurnAge(now) && turns < 100) {
      share.Use(now);
      ++turns;
    }
    now += seconds(1);
  }
  CHECK(turns <= 12);
  CHECK(turns >= 5);
}

TEST_CASE("a rate that changes grants no turns of the time before") {
  RateShare share(/*phase=*/0, kStart);
  share.SetPosition({0, 1});
  share.SetRate(1, seconds(2));
  const WallTime now = kStart + seconds(10);
  while (share.OldestTurnAge(now))
    share.Use(now);
  const double rate = GENERATE(0.2, 5.0, 1e18);
  share.SetRate(rate, seconds(2));
  CHECK(share.UntilNextTurn(now) <= FromSeconds(1 / std::min(rate, 1e4) + 1));
  CHECK_FALSE(share.OldestTurnAge(now - milliseconds(1)));
}

}  // namespace teaselhill::gateway
