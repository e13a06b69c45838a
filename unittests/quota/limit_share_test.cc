/// \file
/// Tests of limits that are split over hosts: sums of shares, reaction times,
/// partitions, restarts and message volume.

#include "teaselhill/quota/limit_share.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <numeric>

#include "fleet.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::quota {
namespace {

config::Limits RequestLimit(double per_second) {
  config::Limits limits;
  limits.requests_per_second = per_second;
  return limits;
}

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Guards against shares whose sum exceeds the limit or leaves some of it
// unused.
TEST_CASE("in steady state the hosts together admit the limit") {
  const auto row = GENERATE(table<int, int, double>(
      {{1, 1, 50}, {7, 3, 70}, {7, 4, 20}, {20, 4, 400}, {40, 13, 3000}}));
  const auto& [hosts, domains, limit] = row;
  Fleet fleet(hosts, domains, RequestLimit(limit));
  const double per_host = 2 * limit / hosts;
  fleet.demand = [&](int host) { return per_host * (host % 3 + 0.5); };
  fleet.Run(seconds(10));
  const double admitted = Sum(fleet.MeasureAdmittedRates(seconds(20)));
  CHECK(admitted <= 1.05 * limit);
  CHECK(admitted >= 0.93 * limit);
  CHECK(fleet.SumOfRequestShares() <= 1.05 * limit);
}

// Guards against shares that follow a change of demand too slowly or exceed the
// limit in the meantime.
TEST_CASE("one host can use 90% of a limit 3 s after demand moves to it") {
  const auto row = GENERATE(table<int, int>({{7, 3}, {7, 4}, {40, 13}}));
  const int hosts = std::get<0>(row);
  const double limit = 200;
  Fleet fleet(hosts, std::get<1>(row), RequestLimit(limit));
  const int target = GENERATE(0, 3, 6);
  fleet.demand = [&](int host) { return host == target ? 0 : 300.0 / hosts; };
  fleet.Run(seconds(10));
  fleet.demand = [&](int host) { return host == target ? 300.0 : 0; };
  fleet.Run(seconds(3));
  CHECK(fleet.RequestShare(target) >= 0.9 * limit);
  CHECK(Sum(fleet.MeasureAdmittedRates(seconds(5))) <= 1.05 * limit);
}

// Guards against rounding errors of the concurrency shares, which would exceed
// the limit or leave some of it unused.
TEST_CASE("concurrent requests reach the limit and do not exceed it") {
  const int limit = GENERATE(3, 10, 40);
  const int hosts = GENERATE(1, 7, 20);
  config::Limits limits;
  limits.concurrency = limit;
  Fleet fleet(hosts, std::min(hosts, 4), limits);
  fleet.request_duration = seconds(2);
  const bool skewed = GENERATE(false, true);
  fleet.demand = [&](int host) { return skewed && host > 0 ? 1.5 : 20.0; };
  fleet.Run(seconds(10));
  for (int i = 0; i < 40; ++i) {
    fleet.Run(milliseconds(500));
    CHECK(fleet.InFlight() <= limit);
    CHECK(fleet.SumOfConcurrencyShares() <= limit);
  }
  if (!skewed)
    CHECK(fleet.InFlight() >= 0.85 * limit - 1);
}

// Guards against small concurrency limits that cannot be used by a single host
// that has all the demand.
TEST_CASE(
    "one host can use 90% of a concurrency limit 3 s after demand moves to "
    "it") {
  const int limit = GENERATE(2, 10, 500);
  config::Limits limits;
  limits.concurrency = limit;
  Fleet fleet(7, 3, limits);
  fleet.demand = [&](int host) { return host == 4 ? 0 : limit; };
  fleet.Run(seconds(10));
  fleet.demand = [&](int host) { return host == 4 ? 3 * limit : 0; };
  fleet.Run(seconds(3));
  CHECK(fleet.limit_share(4).Stats(Fleet::kCustomer, fleet.now()).concurrency >=
        0.9 * limit);
  CHECK(fleet.InFlight() <= limit);
}

// Guards against suspect hosts that are treated as dead, and against two sides
// of a partition whose fractions add up to more than one.
TEST_CASE(
    "the usable fraction depends on the number of alive and suspect hosts") {
  const auto row = GENERATE(table<int, int, double>({{7, 0, 1},
                                                     {6, 0, 1 - 0.5 / 7},
                                                     {4, 0, 1 - 1.5 / 7},
                                                     {3, 0, 1.5 / 7},
                                                     {3, 4, 1},
                                                     {1, 3, 1 - 1.5 / 7},
                                                     {1, 0, 0.5 / 7}}));
  const auto& [alive, suspect, fraction] = row;
  LimitShare share({"host0", "d", 1}, {}, TimePoint{});
  MembershipView view;
  view.listed_host_count = 7;
  for (int i = 0; i < 7; ++i) {
    const MemberState state = i < alive             ? MemberState::kAlive
                              : i < alive + suspect ? MemberState::kSuspect
                                                    : MemberState::kDead;
    view.members.push_back({"host" + std::to_string(i), "d", state});
  }
  share.OnMembershipView(view, TimePoint{});
  CHECK(share.reachable_fraction() == Approx(fraction));
}

// Guards against exceeding a token limit because tokens beyond the predicted
// number are not charged.
TEST_CASE("the actual tokens are charged when a request ends") {
  LimitShare share({"host", "domain", 1}, {}, TimePoint{});
  config::Limits limits;
  limits.tokens_per_second = 1000;
  share.ApplyContract("c", limits, TimePoint{});
  TimePoint now{};
  double used_tokens = 0;
  for (; now < TimePoint{} + seconds(60); now += milliseconds(50)) {
    share.MakeMessages(now);
    if (std::holds_alternative<AcquiredQuota>(
            share.TryAcquire("c", {100}, now))) {
      share.Release("c", {100}, {400}, now);
      used_tokens += 400;
    }
  }
  CHECK(used_tokens / 60 == Approx(1000).epsilon(0.06));
  const AcquireResult refused = share.TryAcquire("c", {1e9}, now);
  REQUIRE(std::holds_alternative<LimitRefusal>(refused));
  CHECK(std::get<LimitRefusal>(refused).limit == LimitKind::kTokens);
  CHECK(std::get<LimitRefusal>(refused).retry_after >= seconds(1));
}

// Guards against a burst after a restart, and against a dead host's share that
// stays unused or is used twice.
TEST_CASE(
    "the other hosts get a dead host's share and its restart causes no "
    "burst") {
  const double limit = 140;
  Fleet fleet(7, 3, RequestLimit(limit));
  fleet.demand = [](int host) { return 60.0; };
  fleet.Run(seconds(10));
  fleet.Crash(2);
  double max_sum = 0;
  for (int i = 0; i < 20; ++i) {
    if (i == 4) {  // detected after 2 s
      for (int host = 0; host < 7; ++host)
        fleet.SetView(host, [](int other) { return other != 2; });
    }
    max_sum =
        std::max(max_sum, Sum(fleet.MeasureAdmittedRates(milliseconds(500))));
  }
  CHECK(max_sum <= 1.05 * limit + 1 / 0.5);  // one more request per interval
  CHECK(Sum(fleet.MeasureAdmittedRates(seconds(5))) >= 0.9 * limit);
  for (int host = 0; host < 7; ++host)
    fleet.SetView(host, [](int other) { return true; });
  fleet.Restart(2);
  const std::vector<double> first_rates =
      fleet.MeasureAdmittedRates(milliseconds(500));
  CHECK(first_rates[2] <= 0.25 * limit / 7);
  CHECK(Sum(first_rates) <= 1.05 * limit + 1 / 0.5);
  fleet.Run(seconds(5));
  CHECK(Sum(fleet.MeasureAdmittedRates(seconds(5))) ==
        Approx(limit).epsilon(0.06));
}

// Guards against a limit that stays unused for a fixed time after all hosts
// have started at once.
TEST_CASE("hosts that start together use the limit after 2 s") {
  const auto row = GENERATE(table<int, int>({{6, 2}, {7, 3}, {40, 13}}));
  const double limit = 400;
  Fleet fleet(std::get<0>(row), std::get<1>(row), RequestLimit(limit));
  fleet.demand = [&](int) { return 2 * limit / fleet.size(); };
  fleet.Run(seconds(2));
  CHECK(fleet.SumOfRequestShares() >= 0.9 * limit);
  for (int i = 0; i < 20; ++i) {
    fleet.Run(milliseconds(250));
    CHECK(fleet.SumOfRequestShares() <= 1.05 * limit);
  }
}

// Guards against a fleet that, after it was idle, can use only the floor of a
// limit for a second after requests arrive.
TEST_CASE("hosts that were idle use half of a limit after 0.75 s") {
  const double limit = 400;
  Fleet fleet(6, 2, RequestLimit(limit));
  fleet.Run(seconds(10));
  fleet.demand = [&](int) { return 2 * limit / 6; };
  fleet.Run(milliseconds(750));
  CHECK(fleet.SumOfRequestShares() >= 0.5 * limit);
  for (int i = 0; i < 20; ++i) {
    fleet.Run(milliseconds(250));
    CHECK(fleet.SumOfRequestShares() <= 1.05 * limit);
  }
}

// Guards against reporting the start of a demand only after the regular
// interval, and against an early message for each request.
TEST_CASE("the start of a demand is reported early, but only once") {
  TimePoint now{seconds(100)};
  LimitShare share({"h1", "d", 1}, {}, now);
  share.ApplyContract("c", RequestLimit(100), now);
  MembershipView view;
  view.members = {{"h1", "d", MemberState::kAlive},
                  {"h2", "e", MemberState::kAlive}};
  share.OnMembershipView(view, now);
  for (int i = 0; i < 60; ++i) {
    share.MakeMessages(now);
    now += milliseconds(250);
  }
  share.MakeMessages(now);
  share.TryAcquire("c", {10}, now);
  now += milliseconds(50);
  share.MakeMessages(now);
  CHECK(share.Stats("c", now).has_grant);
  now += milliseconds(50);
  share.TryAcquire("c", {10}, now);
  CHECK(share.MakeMessages(now).empty());
}

// Guards against counting a request that waits for a share as demand at each
// retry, which would move shares away from the other hosts.
TEST_CASE("a repeated attempt of a request is not counted as demand") {
  const auto reported_rates = [](int repeated_attempts) {
    TimePoint now{seconds(100)};
    LimitShare share({"h1", "d", 1}, {}, now);
    share.ApplyContract("c", RequestLimit(1000), now);
    MembershipView view;
    view.members = {{"h1", "d", MemberState::kAlive},
                    {"h2", "e", MemberState::kAlive}};
    share.OnMembershipView(view, now);
    std::vector<float> rates;
    for (int step = 0; step < 40; ++step) {
      for (int i = 0; i < 5; ++i)
        share.TryAcquire("c", {10}, now);
      for (int i = 0; i < repeated_attempts; ++i)
        share.TryAcquire("c", {10}, now, AcquireAttempt::kRepeated);
      now += milliseconds(250);
      for (const OutgoingMessage& out : share.MakeMessages(now)) {
        if (const auto* demand = std::get_if<DomainDemand>(&out.message)) {
          for (const ContractDemand& entry : demand->demands)
            rates.push_back(entry.requests_per_second);
        }
      }
    }
    return rates;
  };
  REQUIRE_FALSE(reported_rates(0).empty());
  CHECK(reported_rates(50) == reported_rates(0));
}

// Guards against shares that expire after their owner has died and before the
// new owner has granted new shares.
TEST_CASE(
    "shares stay in force while a new owner takes over from a dead owner") {
  const double limit = 150;
  const int dead = GENERATE(range(1, 6));
  Fleet fleet(6, 2, RequestLimit(limit));
  fleet.demand = [](int host) { return host == 0 ? 300.0 : 0; };
  // Shares are renewed every 2 s; the crash happens at different times between
  // two renewals.
  fleet.Run(seconds(10) + milliseconds(500) * GENERATE(0, 1, 2, 3));
  fleet.Crash(dead);
  fleet.Run(milliseconds(2000));
  fleet.suspected = [&](int other) { return other == dead; };
  for (int host = 0; host < 6; ++host)
    fleet.SetView(host, [](int) { return true; });
  fleet.Run(milliseconds(2000));
  for (int host = 0; host < 6; ++host)
    fleet.SetView(host, [&](int other) { return other != dead; });
  for (int i = 0; i < 16; ++i) {
    fleet.Run(milliseconds(250));
    CHECK(fleet.SumOfRequestShares() >= 0.85 * limit);
    CHECK(fleet.SumOfRequestShares() <= 1.05 * limit);
  }
}

// Guards against sides of a partition that together exceed the limit, and
// against a side that may use less than its minority fraction, for any split of
// the hosts, demand, message loss and order of detection.
TEST_CASE(
    "sides of a partition get their minimum share and together keep the "
    "limit") {
  rc::prop("sum of shares in a partition", [] {
    constexpr int kHosts = 8;
    constexpr double kLimit = 160;
    const auto side =
        *rc::gen::container<std::vector<int>>(kHosts, rc::gen::inRange(0, 3));
    const auto load =
        *rc::gen::container<std::vector<int>>(kHosts, rc::gen::inRange(0, 60));
    const auto detection_step =
        *rc::gen::container<std::vector<int>>(kHosts, rc::gen::inRange(0, 6));
    const auto loss = std::max(0, *rc::gen::inRange(-20, 20));
    Fleet fleet(kHosts, 4, RequestLimit(kLimit));
    fleet.message_loss = loss / 100.0;
    fleet.demand = [&](int host) { return 5 + load[kHosts - 1 - host]; };
    fleet.Run(seconds(8));
    fleet.connected = [&](int a, int b) { return side[a] == side[b]; };
    fleet.demand = [&](int host) { return 5 + 3 * load[host]; };
    const double transient_factor = loss > 0 ? 1.5 : 1.1;
    const bool is_partitioned = std::any_of(
        side.begin(), side.end(), [&](int value) { return value != side[0]; });
    for (int step = 0; step < 40; ++step) {
      for (int host = 0; host < kHosts; ++host) {
        if (detection_step[host] == step)  // detection after 0 to 2.5 s
          fleet.SetView(host,
                        [&](int other) { return side[other] == side[host]; });
      }
      fleet.Run(milliseconds(500));
      // While demand moves between hosts, the sum of the shares may exceed the
      // limit by 10%, or by 50% if messages are lost as well. Until every host
      // has detected the partition, this bound holds for each side; after that,
      // it holds for all sides together. At the end, the sum may exceed the
      // limit by 5%.
      RC_ASSERT(fleet.SumOfRequestShares() <=
                kLimit * (is_partitioned ? 3 : 1) * transient_factor);
      if (step > 12)
        RC_ASSERT(fleet.SumOfRequestShares() <= kLimit * transient_factor);
      if (step > 32)
        RC_ASSERT(fleet.SumOfRequestShares() <= kLimit * 1.05);
    }
    for (int value = 0; value < 3; ++value) {
      const auto side_size = std::count(side.begin(), side.end(), value);
      double sum = 0;
      for (int host = 0; host < kHosts; ++host)
        sum += side[host] == value ? fleet.RequestShare(host) : 0;
      if (side_size > 0)
        RC_ASSERT(sum >= 0.45 * kLimit * side_size / kHosts);
    }
    // After the partition has healed, the whole limit is in use again.
    fleet.connected = [](int, int) { return true; };
    fleet.message_loss = 0;
    for (int host = 0; host < kHosts; ++host)
      fleet.SetView(host, [](int) { return true; });
    for (int step = 0; step < 16; ++step) {
      fleet.Run(milliseconds(500));
      RC_ASSERT(fleet.SumOfRequestShares() <= kLimit * 1.05);
    }
    RC_ASSERT(fleet.SumOfRequestShares() >= kLimit * 0.93);
  });
}

// Guards against sides of an undetected partition that each grant the whole
// limit to a demand that grows on both sides.
TEST_CASE("demand that grows in an undetected partition gets no larger share") {
  const double limit = 160;
  Fleet fleet(8, 4, RequestLimit(limit));
  fleet.demand = [](int host) { return 5.0; };
  fleet.Run(seconds(8));
  fleet.connected = [](int a, int b) { return (a % 4 < 2) == (b % 4 < 2); };
  fleet.Run(seconds(4));
  fleet.demand = [](int host) { return 100.0; };
  // The time without messages from a domain is counted from its last message,
  // which may have been sent up to 2 s before the partition. After 10 s, the
  // domain's demand is removed, which allows growth again.
  for (int i = 0; i < 7; ++i) {
    fleet.Run(milliseconds(500));
    CHECK(fleet.SumOfRequestShares() <= 1.05 * limit);
  }
}

// Guards against outdated or duplicate messages that restore an earlier share,
// and against messages from hosts that are not members.
TEST_CASE(
    "outdated and duplicate messages and those of unknown hosts are ignored") {
  LimitShare share({"a", "d", 1}, {}, TimePoint{});
  share.ApplyContract("c", RequestLimit(100), TimePoint{});
  MembershipView view;
  view.members = {{"a", "d", MemberState::kAlive},
                  {"b", "d", MemberState::kAlive}};
  view.listed_host_count = 2;
  share.OnMembershipView(view, TimePoint{});
  const ContractKey key = Hash64("c");
  const uint32_t shard =
      static_cast<uint32_t>(key % QuotaOptions{}.shard_count);
  const auto grant = [&](const std::string& host, uint64_t incarnation,
                         uint64_t sequence, float end) {
    share.OnPeerMessage(
        ShareGrant{{host, incarnation, sequence, shard, true, false},
                   {{key, {0, end}, {0, end}, {0, end}}}},
        TimePoint{});
    return share.Stats("c", TimePoint{}).requests_per_second;
  };
  const bool owned_by_b = grant("b", 1, 5, 0.4f) > 10;
  if (owned_by_b) {
    const double before = share.Stats("c", TimePoint{}).requests_per_second;
    CHECK(grant("b", 1, 5, 1) == before);
    CHECK(grant("b", 1, 4, 1) == before);
    CHECK(grant("z", 9, 9, 1) == before);
    CHECK(grant("b", 2, 1, 0.2f) < before);
    CHECK_FALSE(share.Stats("c", TimePoint{} + seconds(6)).has_grant);
  }
  CHECK(grant("z", 9, 10, 1) < 100);
}

// Prints the measurements in docs/decisions/quota.md. Run with "[measure]".
TEST_CASE("bytes sent per host by 380 hosts in 13 domains", "[.][measure]") {
  constexpr int kHosts = 380;
  const int contracts = GENERATE(20, 100, 770);
  Fleet fleet(kHosts, 13, RequestLimit(18000));
  const auto name = [](int contract) { return "c" + std::to_string(contract); };
  for (int host = 0; host < kHosts; ++host) {
    for (int c = 0; c < contracts; ++c) {
      fleet.limit_share(host).ApplyContract(
          name(c), {18000.0 / contracts, 5.3e6, 0}, fleet.now());
    }
  }
  Rng rng(20261203);
  fleet.send_more_requests = [&](int host, TimePoint now) {
    for (double expected_left = 47 * ToSeconds(Fleet::kStep);
         rng.Uniform() < expected_left; expected_left -= 1)
      fleet.limit_share(host).TryAcquire(name(rng.Below(contracts)), {295},
                                         now);
  };
  fleet.Run(seconds(10));
  std::vector<double> before;
  for (int host = 0; host < kHosts; ++host)
    before.push_back(fleet.SentBytes(host));
  fleet.Run(seconds(10));
  std::vector<double> rates;
  for (int host = 0; host < kHosts; ++host)
    rates.push_back((fleet.SentBytes(host) - before[host]) / 10);
  std::sort(rates.begin(), rates.end());
  std::printf(
      "%d contracts: bytes/s sent per host: mean %.0f, p95 %.0f, max %.0f\n",
      contracts, Sum(rates) / kHosts, rates[kHosts * 95 / 100], rates.back());
}

// Prints the measurements in docs/decisions/quota.md. Run with "[measure]".
TEST_CASE("share of a host in the 3 s after all demand moves to it",
          "[.][measure]") {
  const int hosts = GENERATE(7, 40, 380);
  const double floor_fraction =
      GENERATE(1.0, 0.2, 0.05, 0.01);  // 1: static split
  const double limit = GENERATE(2000.0, 400.0);
  QuotaOptions options;
  options.floor_fraction = floor_fraction;
  Fleet fleet(hosts, std::min(13, std::max(3, hosts / 10)), RequestLimit(limit),
              options);
  fleet.demand = [&](int host) { return host == 0 ? 0 : 1.5 * limit / hosts; };
  fleet.Run(seconds(10));
  const double steady_rate = Sum(fleet.MeasureAdmittedRates(seconds(5)));
  fleet.demand = [&](int host) { return host == 0 ? 1.5 * limit : 0; };
  std::printf(
      "%d hosts, limit %.0f, floor %.2f: steady %.0f%%; moved to one host:",
      hosts, limit, floor_fraction, 100 * steady_rate / limit);
  double max_sum = 0;
  for (int i = 1; i <= 6; ++i) {
    fleet.Run(milliseconds(500));
    max_sum = std::max(max_sum, fleet.SumOfRequestShares());
    std::printf(" %.1f s %.0f%%", i * 0.5, 100 * fleet.RequestShare(0) / limit);
  }
  std::printf(", max sum of shares %.0f%%\n", 100 * max_sum / limit);
}

// Prints the measurements in docs/decisions/quota.md. Run with "[measure]".
TEST_CASE("admitted requests on each side of a lasting partition",
          "[.][measure]") {
  const double minority_fraction = GENERATE(0.25, 0.5, 1.0);
  const double limit = 700;
  QuotaOptions options;
  options.minority_fraction = minority_fraction;
  for (int dead : {1, 3, 4, 6}) {
    Fleet fleet(7, 3, RequestLimit(limit), options);
    fleet.demand = [](int host) { return 300.0; };
    fleet.Run(seconds(8));
    for (int host = 0; host < 7; ++host) {
      fleet.SetView(host,
                    [&](int other) { return (other < dead) == (host < dead); });
    }
    fleet.connected = [&](int a, int b) { return (a < dead) == (b < dead); };
    fleet.Run(seconds(15));
    const std::vector<double> rates = fleet.MeasureAdmittedRates(seconds(5));
    const double separated =
        std::accumulate(rates.begin(), rates.begin() + dead, 0.0);
    std::printf(
        "minority fraction %.2f, %d of 7 hosts separated: they admit %.0f%%, "
        "the others %.0f%%\n",
        minority_fraction, dead, 100 * separated / limit,
        100 * (Sum(rates) - separated) / limit);
  }
}

}  // namespace
}  // namespace teaselhill::quota
