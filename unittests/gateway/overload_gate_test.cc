/// \file
/// Guards against a burst of long drafts that makes every answer late, urgent
/// questions that are rejected because of drafts, and a gate that keeps
/// rejecting after the overload.

#include "teaselhill/gateway/overload_gate.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

constexpr GateLevel kUrgent{0, 3};
constexpr GateLevel kDraftOfLargeTeam{1, 4};
constexpr GateLevel kDraftOfUrgentTeam{1, 1};
constexpr milliseconds kTarget{800};

/// Requests of one host to engines with a single queue that serve `capacity`
/// requests per second. As in the gateway, the gate observes a wait when it is
/// over.
struct Simulation {
  struct Waiting {
    TimePoint arrived;
    TimePoint begins;
  };

  OverloadGate gate;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::deque<Waiting> waiting;
  TimePoint free_at{};  ///< end of the last admitted request's prefill
  int admitted = 0;
  int in_time = 0;
  int offered = 0;
  uint32_t dice = 7;

  double Roll() {
    dice = dice * 1664525u + 1013904223u;
    return (dice >> 8) / double(1 << 24);
  }

  void Begin() {
    while (!waiting.empty() && waiting.front().begins <= now) {
      const Waiting begun = waiting.front();
      waiting.pop_front();
      gate.OnBegan("s", kDraftOfLargeTeam, begun.begins);
      gate.OnWaited("s", kDraftOfLargeTeam, begun.begins - begun.arrived,
                    kTarget, begun.begins);
    }
  }

  void Run(int per_second, int capacity, std::chrono::seconds length) {
    const Duration gap = Duration(std::chrono::seconds(1)) / per_second;
    for (const TimePoint end = now + length; now < end; now += gap) {
      Begin();
      gate.Admit("s", kUrgent, kTarget, Roll(), Roll(), now);
      ++offered;
      if (!gate.Admit("s", kDraftOfLargeTeam, kTarget, Roll(), Roll(), now)
               .admitted)
        continue;
      ++admitted;
      free_at =
          std::max(free_at, now) + Duration(std::chrono::seconds(1)) / capacity;
      in_time += free_at - now <= kTarget;
      gate.OnQueued("s", kDraftOfLargeTeam);
      waiting.push_back({now, free_at});
    }
  }
};

}  // namespace

TEST_CASE(
    "in a burst above capacity most admitted drafts start within the target") {
  Simulation burst;
  burst.Run(20, 10, std::chrono::seconds(12));
  // Without a gate the queue exceeds the target after 1.6 s of 12.
  CHECK(burst.in_time > 0.6 * burst.admitted);
  CHECK(burst.admitted < 0.75 * burst.offered);
  CHECK(burst.admitted > 0.35 * burst.offered);
}

// Guards the first seconds of a burst, in which no answer is late yet.
TEST_CASE("the estimated wait rises as soon as requests queue up") {
  WaitEstimate estimate;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    estimate.OnQueued();
    estimate.OnBegan(now);
  }
  CHECK(estimate.Expected(now) == Duration::zero());
  for (int i = 0; i < 11; ++i)
    estimate.OnQueued();
  CHECK(ToSeconds(estimate.Expected(now)) == Approx(1.0).margin(0.1));
  for (int i = 0; i < 10; ++i)
    estimate.OnLeft();
  CHECK(estimate.Expected(now) == Duration::zero());
}

TEST_CASE("all requests are admitted at a load below capacity") {
  Simulation calm;
  calm.Run(8, 10, std::chrono::seconds(12));
  CHECK(calm.admitted == calm.offered);
}

// Guards against rejections at low load, where one long prompt makes a few
// answers late.
TEST_CASE("a few late answers cause no rejections") {
  OverloadGate gate;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  for (int i = 0; i < 60; ++i) {
    now += milliseconds(250);
    const bool late = i % 10 < 2;
    gate.OnWaited("s", kDraftOfLargeTeam, late ? 2 * kTarget : kTarget / 8,
                  kTarget, now);
    CHECK(gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now).admitted);
  }
}

TEST_CASE("the pressure drops within seconds after a burst") {
  Simulation load;
  load.Run(30, 10, std::chrono::seconds(8));
  load.Run(5, 10, std::chrono::seconds(6));
  CHECK(load.gate.Pressure("s", load.now) < 0.1);
}

TEST_CASE(
    "the least urgent level is rejected first and the most urgent route tier "
    "never") {
  OverloadGate gate;
  const TimePoint now{};
  for (const GateLevel& level :
       {kUrgent, kDraftOfLargeTeam, kDraftOfUrgentTeam})
    gate.Admit("s", level, kTarget, 0, 0, now);
  const int late = GENERATE(0, 10, 20, 200);
  for (int i = 0; i < late; ++i)
    gate.OnWaited("s", kDraftOfLargeTeam, 3 * kTarget, kTarget, now);
  const GateDecision urgent = gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  const GateDecision first =
      gate.Admit("s", kDraftOfUrgentTeam, kTarget, 0, 0, now);
  const GateDecision last =
      gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now);
  CAPTURE(late, last.pressure);
  CHECK(urgent.admitted);
  CHECK(urgent.refused_part == 0);
  CHECK(first.refused_part <= last.refused_part);
  CHECK(last.refused_part <= 0.9);
  if (first.refused_part > 0)
    CHECK(last.refused_part == Approx(0.9));
}

struct RecheckRow {
  std::string name;
  milliseconds backlog;
  int running;
  bool admitted;
};

// Guards a host with few answers at low load: one long prompt raises its
// pressure, and it rejects requests although their engines are idle.
TEST_CASE(
    "a rejected request is admitted after all if its engine is nearly idle") {
  const RecheckRow row =
      GENERATE(values<RecheckRow>({{"idle", milliseconds(0), 0, true},
                                   {"one waiting", milliseconds(60), 3, true},
                                   {"a queue", milliseconds(400), 3, false},
                                   {"many answers", milliseconds(0), 30, false},
                                   {"both", milliseconds(400), 30, false}}));
  CAPTURE(row.name);
  OverloadGate gate;
  const TimePoint now{};
  gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now);
  for (int i = 0; i < 10; ++i)
    gate.OnWaited("s", kDraftOfLargeTeam, 3 * kTarget, kTarget, now);
  const GateDecision refused =
      gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now);
  REQUIRE_FALSE(refused.admitted);
  const GateDecision decision =
      gate.Recheck(refused, {row.backlog, row.running}, kTarget);
  CHECK(decision.admitted == row.admitted);
  CHECK(decision.retry_after == refused.retry_after);
  REQUIRE(decision.load);
  CHECK(decision.load->running == row.running);
}

TEST_CASE(
    "the Retry-After delay is spread and leaves time to answer within the "
    "target") {
  OverloadGate gate;
  const TimePoint now{};
  gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now);
  for (int i = 0; i < 50; ++i)
    gate.OnWaited("s", kDraftOfLargeTeam, 3 * kTarget, kTarget, now);
  const auto early = gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0, now);
  const auto late = gate.Admit("s", kDraftOfLargeTeam, kTarget, 0, 0.999, now);
  REQUIRE_FALSE(early.admitted);
  CHECK(early.retry_after >= kTarget / 10);
  // Callers that were rejected together must not retry together.
  CHECK(late.retry_after - early.retry_after >= kTarget / 4);
  // The answer has to start within the target of the first attempt.
  CHECK(late.retry_after <= kTarget * 6 / 10);
  const auto brief =
      gate.Admit("s", kDraftOfLargeTeam, milliseconds(50), 0, 0, now);
  CHECK(brief.retry_after >= milliseconds(50));
}

/// Simulates callers at twice the capacity that retry once, after the
/// Retry-After delay. Returns the fraction whose answer started within the
/// target of their first attempt.
double PartInTime(const OverloadGateOptions& options) {
  constexpr Duration kWork = milliseconds(50);
  Simulation burst{OverloadGate(options)};
  // Times of first attempts, by the time of the attempt to simulate.
  std::multimap<TimePoint, TimePoint> attempts;
  for (int i = 0; i < 400; ++i) {
    const TimePoint arrival = burst.now + i * kWork / 2;
    attempts.emplace(arrival, arrival);
  }
  int in_time = 0;
  while (!attempts.empty()) {
    const auto [now, first] = *attempts.begin();
    attempts.erase(attempts.begin());
    burst.now = now;
    burst.Begin();
    burst.gate.Admit("s", kUrgent, kTarget, 0, 0, now);
    const GateDecision decision = burst.gate.Admit(
        "s", kDraftOfLargeTeam, kTarget, burst.Roll(), burst.Roll(), now);
    if (!decision.admitted) {
      if (now == first)
        attempts.emplace(now + decision.retry_after, first);
      continue;
    }
    burst.free_at = std::max(burst.free_at, now) + kWork;
    burst.gate.OnQueued("s", kDraftOfLargeTeam);
    burst.waiting.push_back({now, burst.free_at});
    in_time += burst.free_at - first <= kTarget;
  }
  return in_time / 400.0;
}

// Guards callers in a long burst against a Retry-After delay beyond the target,
// after which their answer is late even if the retry is admitted.
TEST_CASE(
    "retries after the default delay are in time more often than after a "
    "longer one") {
  OverloadGateOptions late;
  late.shortest_return = 0.75;
  late.longest_return = 2;
  const double returning_late = PartInTime(late);
  const double returning_early = PartInTime({});
  CAPTURE(returning_late, returning_early);
  CHECK(returning_early > 1.1 * returning_late);
}

}  // namespace teaselhill::gateway
