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
constexpr GateLevel kDraftOfLeastUrgentTeam{1, 4};
constexpr GateLevel kDraftOfUrgentTeam{1, 1};
constexpr milliseconds kTarget{800};

/// Requests of one host to engines with a single queue that serve
/// `capacity_per_second` requests per second. As in the gateway, the gate
/// observes a wait when the answer starts.
struct Simulation {
  struct QueuedRequest {
    TimePoint arrived_at;
    TimePoint starts_at;
  };

  OverloadGate gate;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::deque<QueuedRequest> queue;
  TimePoint engine_free_at{};  ///< end of the last admitted request's prefill
  int admitted = 0;
  int in_time = 0;
  int offered_requests = 0;
  uint32_t random_state = 7;

  double NextSample() {
    random_state = random_state * 1664525u + 1013904223u;
    return (random_state >> 8) / double(1 << 24);
  }

  void StartAnswers() {
    while (!queue.empty() && queue.front().starts_at <= now) {
      const QueuedRequest started = queue.front();
      queue.pop_front();
      gate.OnAnswerStarted("s", kDraftOfLeastUrgentTeam, started.starts_at);
      gate.OnWaitObserved("s", kDraftOfLeastUrgentTeam,
                          started.starts_at - started.arrived_at, kTarget,
                          started.starts_at);
    }
  }

  void Run(int requests_per_second,
           int capacity_per_second,
           std::chrono::seconds duration) {
    const Duration gap =
        Duration(std::chrono::seconds(1)) / requests_per_second;
    for (const TimePoint end = now + duration; now < end; now += gap) {
      StartAnswers();
      gate.Admit("s", kUrgent, kTarget, NextSample(), NextSample(), now);
      ++offered_requests;
      if (!gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, NextSample(),
                      NextSample(), now)
               .admitted)
        continue;
      ++admitted;
      engine_free_at = std::max(engine_free_at, now) +
                       Duration(std::chrono::seconds(1)) / capacity_per_second;
      in_time += engine_free_at - now <= kTarget;
      gate.OnQueued("s", kDraftOfLeastUrgentTeam);
      queue.push_back({now, engine_free_at});
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
  CHECK(burst.admitted < 0.75 * burst.offered_requests);
  CHECK(burst.admitted > 0.35 * burst.offered_requests);
}

// Guards against a gate that reacts too late: in the first seconds of a burst
// no answer is late yet.
TEST_CASE("the estimated wait rises as soon as requests queue up") {
  QueueWaitEstimator estimate;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    estimate.OnQueued();
    estimate.OnAnswerStarted(now);
  }
  CHECK(estimate.ExpectedWait(now) == Duration::zero());
  for (int i = 0; i < 11; ++i)
    estimate.OnQueued();
  CHECK(ToSeconds(estimate.ExpectedWait(now)) == Approx(1.0).margin(0.1));
  for (int i = 0; i < 10; ++i)
    estimate.OnRemoved();
  CHECK(estimate.ExpectedWait(now) == Duration::zero());
}

TEST_CASE("all requests are admitted at a load below capacity") {
  Simulation calm;
  calm.Run(8, 10, std::chrono::seconds(12));
  CHECK(calm.admitted == calm.offered_requests);
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
    gate.OnWaitObserved("s", kDraftOfLeastUrgentTeam,
                        late ? 2 * kTarget : kTarget / 8, kTarget, now);
    CHECK(
        gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now).admitted);
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
       {kUrgent, kDraftOfLeastUrgentTeam, kDraftOfUrgentTeam})
    gate.Admit("s", level, kTarget, 0, 0, now);
  const int late = GENERATE(0, 10, 20, 200);
  for (int i = 0; i < late; ++i)
    gate.OnWaitObserved("s", kDraftOfLeastUrgentTeam, 3 * kTarget, kTarget,
                        now);
  const GateDecision urgent = gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  const GateDecision first =
      gate.Admit("s", kDraftOfUrgentTeam, kTarget, 0, 0, now);
  const GateDecision last =
      gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now);
  CAPTURE(late, last.pressure);
  CHECK(urgent.admitted);
  CHECK(urgent.rejected_fraction == 0);
  CHECK(first.rejected_fraction <= last.rejected_fraction);
  CHECK(last.rejected_fraction <= 0.9);
  if (first.rejected_fraction > 0)
    CHECK(last.rejected_fraction == Approx(0.9));
}

struct RecheckRow {
  std::string name;
  milliseconds backlog;
  int running;
  bool admitted;
};

// Guards a host with few answers at low load: one long prompt raises the
// pressure at the host, which then rejects requests although their engines are
// idle.
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
  gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now);
  for (int i = 0; i < 10; ++i)
    gate.OnWaitObserved("s", kDraftOfLeastUrgentTeam, 3 * kTarget, kTarget,
                        now);
  const GateDecision refused =
      gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now);
  REQUIRE_FALSE(refused.admitted);
  const GateDecision decision =
      gate.RecheckWithLoad("s", kDraftOfLeastUrgentTeam, refused,
                           {row.backlog, row.running}, kTarget);
  CHECK(decision.admitted == row.admitted);
  CHECK(decision.retry_after == refused.retry_after);
  REQUIRE(decision.load);
  CHECK(decision.load->running_requests == row.running);
}

// Guards against an overload in which notes get nothing while long summaries,
// which may start later, go on to fill the engines that the notes need.
TEST_CASE("a backlog that keeps out a level keeps out the less urgent ones") {
  constexpr GateLevel kNote{1, 1};
  constexpr GateLevel kSummary{2, 2};
  constexpr milliseconds kNoteTarget{600};
  constexpr milliseconds kSummaryTarget{2000};
  struct Row {
    const char* name;
    milliseconds backlog;
    bool notes_known;
    bool note_admitted;
    bool summary_admitted;
  };
  const Row row = GENERATE(values<Row>({
      {"nearly idle", milliseconds(100), true, true, true},
      {"too late for notes", milliseconds(300), true, false, false},
      {"no notes", milliseconds(300), false, false, true},
      {"too late for both", milliseconds(600), true, false, false},
  }));
  INFO(row.name);
  OverloadGate gate;
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  gate.Admit("s", kUrgent, milliseconds(400), 0.5, 0.5, now);
  gate.Admit("s", kSummary, kSummaryTarget, 0.5, 0.5, now);
  if (row.notes_known)
    gate.Admit("s", kNote, kNoteTarget, 0.5, 0.5, now);
  GateDecision refused;
  refused.admitted = false;
  const EngineLoad load{row.backlog, 3};
  CHECK(gate.RecheckWithLoad("s", kSummary, refused, load, kSummaryTarget)
            .admitted == row.summary_admitted);
  CHECK(gate.RecheckWithLoad("s", kNote, refused, load, kNoteTarget).admitted ==
        row.note_admitted);
}

TEST_CASE(
    "the Retry-After delay is spread and leaves time to answer within the "
    "target") {
  OverloadGate gate;
  const TimePoint now{};
  gate.Admit("s", kUrgent, kTarget, 0, 0, now);
  gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now);
  for (int i = 0; i < 50; ++i)
    gate.OnWaitObserved("s", kDraftOfLeastUrgentTeam, 3 * kTarget, kTarget,
                        now);
  const auto early =
      gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0, now);
  const auto late =
      gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget, 0, 0.999, now);
  REQUIRE_FALSE(early.admitted);
  CHECK(early.retry_after >= kTarget / 10);
  // Callers that were rejected together must not retry together.
  CHECK(late.retry_after - early.retry_after >= kTarget / 4);
  // The answer has to start within the target of the first attempt.
  CHECK(late.retry_after <= kTarget * 6 / 10);
  const auto brief =
      gate.Admit("s", kDraftOfLeastUrgentTeam, milliseconds(50), 0, 0, now);
  CHECK(brief.retry_after >= milliseconds(50));
}

/// Simulates callers at twice the capacity that retry once, after the
/// Retry-After delay. Returns the fraction whose answer started within the
/// target of their first attempt.
double InTimeFraction(const OverloadGateOptions& options) {
  constexpr Duration kWork = milliseconds(50);
  Simulation burst{OverloadGate(options)};
  // Attempts to simulate: maps the time of each attempt to the time of the
  // caller's first attempt.
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
    burst.StartAnswers();
    burst.gate.Admit("s", kUrgent, kTarget, 0, 0, now);
    const GateDecision decision =
        burst.gate.Admit("s", kDraftOfLeastUrgentTeam, kTarget,
                         burst.NextSample(), burst.NextSample(), now);
    if (!decision.admitted) {
      if (now == first)
        attempts.emplace(now + decision.retry_after, first);
      continue;
    }
    burst.engine_free_at = std::max(burst.engine_free_at, now) + kWork;
    burst.gate.OnQueued("s", kDraftOfLeastUrgentTeam);
    burst.queue.push_back({now, burst.engine_free_at});
    in_time += burst.engine_free_at - first <= kTarget;
  }
  return in_time / 400.0;
}

// Guards callers in a long burst against a Retry-After delay beyond the target,
// after which their answer is late even if the retry is admitted.
TEST_CASE(
    "retries after the default delay are in time more often than after a "
    "longer one") {
  OverloadGateOptions long_delay;
  long_delay.min_retry_after_fraction = 0.75;
  long_delay.max_retry_after_fraction = 2;
  const double fraction_with_long_delay = InTimeFraction(long_delay);
  const double fraction_with_default_delay = InTimeFraction({});
  CAPTURE(fraction_with_long_delay, fraction_with_default_delay);
  CHECK(fraction_with_default_delay > 1.1 * fraction_with_long_delay);
}

}  // namespace teaselhill::gateway
