/// \file
/// Guards against a non-idempotent request that runs twice, a "not run" error
/// for a request that may have run, and an answer that is cut short or
/// continued by another attempt.

#include "teaselhill/gateway/exchange_policy.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

constexpr TimePoint kNow{};

ExchangeState MakeState(RouteKind kind, bool resumable, int attempts) {
  ExchangeState state;
  state.resumable = resumable;
  state.repeatable = resumable || kind == RouteKind::kIdempotent;
  state.max_attempts = attempts;
  state.sends = state.runs = 1;
  state.end = kNow + std::chrono::seconds(1);
  return state;
}

}  // namespace

TEST_CASE("a request that may have run is retried only if it may run again") {
  struct Row {
    const char* what;
    RouteKind kind;
    bool resumable;
    int max_attempts;
    int runs;  ///< after the attempt; 0: known not to have run
    bool head_sent;
    AttemptOutcome outcome;
    bool again;
  };
  const Row row = GENERATE(values<Row>({
      {"idempotent, broken", RouteKind::kIdempotent, false, 2, 1, false,
       AttemptOutcome::kBroken, true},
      {"idempotent, attempts used", RouteKind::kIdempotent, false, 1, 1, false,
       AttemptOutcome::kBroken, false},
      {"non-idempotent, broken", RouteKind::kNonIdempotent, false, 3, 1, false,
       AttemptOutcome::kBroken, false},
      {"non-idempotent, failed answer", RouteKind::kNonIdempotent, false, 3, 1,
       false, AttemptOutcome::kFailureAnswer, false},
      {"non-idempotent, not run", RouteKind::kNonIdempotent, false, 1, 0, false,
       AttemptOutcome::kNotRun, true},
      {"non-idempotent, not sent", RouteKind::kNonIdempotent, false, 1, 0,
       false, AttemptOutcome::kNotSent, true},
      {"stream, broken before an event", RouteKind::kStream, false, 2, 1, false,
       AttemptOutcome::kBroken, false},
      {"resumable, broken midway", RouteKind::kStream, true, 2, 1, true,
       AttemptOutcome::kBroken, true},
      {"resumable, attempts used", RouteKind::kStream, true, 2, 2, true,
       AttemptOutcome::kBroken, false},
      {"idempotent, answer started", RouteKind::kIdempotent, false, 2, 1, true,
       AttemptOutcome::kBroken, false},
  }));
  CAPTURE(row.what);
  ExchangeState state = MakeState(row.kind, row.resumable, row.max_attempts);
  state.runs = row.runs;
  state.head_sent = row.head_sent;
  CHECK(MaySendAgain(state, {}, kNow) == row.again);
}

TEST_CASE(
    "no retry starts after the deadline or beyond the maximum number of "
    "sends") {
  ExchangeState state = MakeState(RouteKind::kIdempotent, false, 9);
  CHECK(MaySendAgain(state, {}, kNow));
  CHECK_FALSE(MaySendAgain(state, {}, state.end));
  state.sends = ExchangeLimits{}.max_sends;
  CHECK_FALSE(MaySendAgain(state, {}, kNow));
}

TEST_CASE(
    "a request is reported as not run only if no upstream can have run it") {
  const AttemptOutcome outcome =
      GENERATE(AttemptOutcome::kFailureAnswer, AttemptOutcome::kNotRun,
               AttemptOutcome::kNotSent, AttemptOutcome::kBroken,
               AttemptOutcome::kSilent);
  const int runs = GENERATE(0, 1, 2);
  const bool head_sent = GENERATE(false, true);
  ExchangeState state = MakeState(RouteKind::kNonIdempotent, false, 1);
  state.runs = runs;
  state.head_sent = head_sent;
  for (const NextStep& step :
       {Decide(state, outcome), GiveUp(state, ResultCode::kQueueFull)}) {
    if (const auto* refuse = std::get_if<Refuse>(&step)) {
      CHECK(runs == 0);
      CHECK_FALSE(head_sent);
      CHECK(Describe(refuse->code).outcome == Outcome::kNotRun);
    }
    if (const auto* failed = std::get_if<FailUnknown>(&step)) {
      const int status = Describe(failed->code).http_status;
      CHECK((status == 502 || status == 504));
      CHECK(Describe(failed->code).outcome == Outcome::kUnknown);
    }
    CHECK(std::holds_alternative<CutShort>(step) == head_sent);
  }
}

}  // namespace teaselhill::gateway
