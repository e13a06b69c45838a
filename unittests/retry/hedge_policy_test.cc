/// \file
/// Guards against hedges of the wrong requests, hedges beyond their share of
/// the work, and losing attempts that are not cancelled.

#include "teaselhill/retry/hedge_policy.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>

namespace teaselhill::retry {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

HedgePolicy TrainedPolicy() {
  HedgePolicy policy;
  for (int i = 0; i < 100; ++i)
    policy.OnFirstTokenLatency("m", milliseconds(i < 98 ? 100 : 3000));
  return policy;
}

HedgeCandidate Candidate(AttemptId attempt) {
  HedgeCandidate candidate;
  candidate.attempt = attempt;
  candidate.model = "m";
  candidate.urgent = candidate.idempotent = true;
  candidate.sent_at = kStart;
  candidate.prompt_tokens = 100;
  candidate.predicted_output_tokens = 100;
  return candidate;
}

}  // namespace

TEST_CASE("only late, urgent and idempotent requests are hedged") {
  struct Row {
    std::string name;
    bool urgent;
    bool idempotent;
    bool suspect;
    std::string model;
    int waited_ms;
    uint64_t work;
    bool hedged;
  };
  const auto row = GENERATE(values<Row>({
      {"late", true, true, false, "m", 200, 10000, true},
      {"not late", true, true, false, "m", 90, 10000, false},
      {"lower tier", false, true, false, "m", 200, 10000, false},
      {"non-idempotent", true, false, false, "m", 200, 10000, false},
      {"suspect of a crash", true, true, true, "m", 200, 10000, false},
      {"model without samples", true, true, false, "n", 200, 10000, false},
      {"beyond the share of work", true, true, false, "m", 200, 9000, false},
  }));
  INFO(row.name);
  HedgePolicy policy = TrainedPolicy();
  policy.OnWorkDone(row.work);
  HedgeCandidate candidate = Candidate(1);
  candidate.urgent = row.urgent;
  candidate.idempotent = row.idempotent;
  candidate.suspect = row.suspect;
  candidate.model = row.model;
  CHECK(policy.ShouldHedge(candidate, kStart + milliseconds(row.waited_ms)) ==
        row.hedged);
}

TEST_CASE(
    "hedges stay within their share of work and each losing attempt is "
    "cancelled") {
  rc::prop("any interleaving of work, hedges and first tokens", [] {
    HedgePolicy policy = TrainedPolicy();
    const TimePoint late = kStart + std::chrono::seconds(1);
    std::map<AttemptId, AttemptId> other;
    double done = 0;
    double hedged = 0;
    AttemptId next = 0;
    const auto operations =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int operation : operations) {
      if (operation < 20) {
        policy.OnWorkDone(2000);
        done += 2000;
      } else if (operation < 30) {
        const HedgeCandidate candidate = Candidate(++next);
        if (!policy.ShouldHedge(candidate, late))
          continue;
        policy.OnHedgeStarted(candidate, ++next);
        RC_ASSERT(!policy.ShouldHedge(candidate, late));
        other[next - 1] = next;
        other[next] = next - 1;
        hedged += 200;
      } else if (!other.empty()) {
        const auto it = std::next(other.begin(), operation % other.size());
        const auto [attempt, pair] = *it;
        if (operation < 34) {
          RC_ASSERT(policy.OnEndedBeforeFirstToken(attempt));
          RC_ASSERT(!policy.OnEndedBeforeFirstToken(pair));
        } else {
          RC_ASSERT(policy.OnFirstToken(attempt) == pair);
          RC_ASSERT(policy.OnFirstToken(pair) == std::nullopt);
          policy.OnLoserSettled(pair, 150);
          policy.OnLoserSettled(pair, 150);  // repeated: counts once
          hedged -= 50;
        }
        other.erase(pair);
        other.erase(attempt);
      }
      RC_ASSERT(hedged <= 0.02 * done + 1e-6);
    }
  });
}

}  // namespace teaselhill::retry
