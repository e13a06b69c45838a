/// \file
/// Guards against requests that run twice, answers with missing or repeated
/// tokens, and wrong statements on whether a request ran.

#include "teaselhill/retry/attempt_planner.h"

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace teaselhill::retry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = AttemptEndKind;

const TimePoint kStart{std::chrono::hours(1)};

enum class Plan { kRetry, kResume, kNotRun, kUnknown };

}  // namespace

TEST_CASE("each end of an attempt leads to the right plan") {
  struct Row {
    std::string name;
    Kind kind;
    bool reached;
    bool idempotent;
    uint32_t tokens;
    int deadline_ms;  // 0: none
    int attempts;     // attempts that ended before this attempt
    int budget;
    Plan plan;
    ResultCode code;
  };
  const auto none = ResultCode::kOk;
  const auto row = GENERATE_COPY(values<Row>({
      {"connect", Kind::kConnectFailed, false, false, 0, 0, 0, 9, Plan::kRetry,
       none},
      {"refused", Kind::kRefused, true, false, 0, 0, 0, 9, Plan::kRetry, none},
      {"non-idempotent may have run", Kind::kStreamBroken, true, false, 0, 0, 0,
       9, Plan::kUnknown, ResultCode::kUpstreamLost},
      {"non-idempotent with output", Kind::kStreamBroken, true, false, 3, 0, 0,
       9, Plan::kUnknown, ResultCode::kAnswerCutShort},
      {"idempotent without output", Kind::kTimeout, true, true, 0, 0, 0, 9,
       Plan::kRetry, none},
      {"idempotent with output", Kind::kStreamBroken, true, true, 7, 0, 0, 9,
       Plan::kResume, none},
      {"retry from a leaving upstream costs no budget", Kind::kUpstreamLeaving,
       true, true, 7, 0, 0, 0, Plan::kResume, none},
      {"no budget, not run", Kind::kConnectFailed, false, true, 0, 0, 0, 0,
       Plan::kNotRun, ResultCode::kRetryBudgetSpent},
      {"no budget, may have run", Kind::kTimeout, true, true, 0, 0, 0, 0,
       Plan::kUnknown, ResultCode::kUpstreamLost},
      {"deadline, not run", Kind::kConnectFailed, false, true, 0, 50, 0, 9,
       Plan::kNotRun, ResultCode::kDeadlineUnreachable},
      {"deadline with output", Kind::kStreamBroken, true, true, 4, 50, 0, 9,
       Plan::kUnknown, ResultCode::kAnswerCutShort},
      {"too many refusals", Kind::kRefused, true, true, 0, 0, 3, 9,
       Plan::kNotRun, ResultCode::kUpstreamRefused},
  }));
  INFO(row.name);
  RetryBudgetOptions options;
  options.initial_retries = row.budget;
  RetryBudget budget(options);
  AttemptPlanner planner(budget);
  RequestAttempts request;
  request.idempotent = row.idempotent;
  request.delivered_tokens = row.tokens;
  request.attempts = row.attempts;
  request.min_remaining_time = milliseconds(100);
  if (row.deadline_ms > 0)
    request.deadline = kStart + milliseconds(row.deadline_ms);
  const AttemptPlan plan = planner.OnAttemptEnded(
      request, {row.kind, "e0", row.reached, {}}, kStart);
  REQUIRE(static_cast<Plan>(plan.index()) == row.plan);
  if (const auto* resume = std::get_if<ResumeAt>(&plan))
    CHECK(resume->offset == row.tokens);
  if (const auto* not_run = std::get_if<AbandonNotRun>(&plan)) {
    CHECK(not_run->code == row.code);
    CHECK(not_run->retry_after > Duration{});
    CHECK(Describe(not_run->code).outcome == Outcome::kNotRun);
  }
  if (const auto* unknown = std::get_if<AbandonMayHaveRun>(&plan)) {
    CHECK(unknown->code == row.code);
    CHECK(Describe(unknown->code).outcome == Outcome::kUnknown);
  }
}

TEST_CASE(
    "no non-idempotent request runs twice and none is reported as not run "
    "after it ran") {
  rc::prop("any sequence of attempts", [] {
    RetryBudget budget;
    AttemptPlanner planner(budget);
    RequestAttempts request;
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.resumable = *rc::gen::arbitrary<bool>();
    request.deadline = kStart + milliseconds(*rc::gen::inRange(0, 2000));
    const uint32_t length = *rc::gen::inRange<uint32_t>(1, 50);
    std::vector<uint32_t> delivered;  // token numbers that the caller received
    int ran = 0;
    TimePoint now = kStart;
    uint32_t offset = 0;
    for (int attempt = 0; attempt < 10; ++attempt) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      const auto kind = static_cast<Kind>(*rc::gen::inRange(0, 5));
      AttemptEnd end{kind, "e" + std::to_string(attempt), false, {}};
      end.bytes_may_have_reached =
          kind != Kind::kConnectFailed && *rc::gen::arbitrary<bool>();
      if (end.bytes_may_have_reached && kind != Kind::kRefused) {
        ++ran;
        const uint32_t more = *rc::gen::inRange<uint32_t>(0, length - offset);
        for (uint32_t token = 0; token < more; ++token)
          delivered.push_back(offset + token);
        request.delivered_tokens = static_cast<uint32_t>(delivered.size());
      }
      request.quarantined = *rc::gen::inRange(0, 10) == 0;
      const AttemptPlan plan = planner.OnAttemptEnded(request, end, now);
      if (std::holds_alternative<AbandonNotRun>(plan)) {
        RC_ASSERT(ran == 0);
        return;
      }
      if (std::holds_alternative<AbandonMayHaveRun>(plan)) {
        RC_ASSERT(ran > 0);
        return;
      }
      RC_ASSERT(request.idempotent || ran == 0);
      RC_ASSERT(now <= *request.deadline);
      const auto* resume = std::get_if<ResumeAt>(&plan);
      offset = resume == nullptr ? 0 : resume->offset;
      for (size_t i = 0; i < delivered.size(); ++i)
        RC_ASSERT(delivered[i] == i);
      RC_ASSERT(offset == delivered.size());
    }
    RC_FAIL("more attempts than allowed");
  });
}

// Guards against retry storms, and against a customer or upstream that uses up
// the retries of others.
TEST_CASE("retries stay within the budgets of customer and upstream") {
  rc::prop("any interleaving of successes and retries", [] {
    RetryBudgetOptions options;
    options.initial_retries = 2;
    options.max_retries = 5;
    options.max_buckets = 2;
    RetryBudget budget(options);
    TimePoint now = kStart;
    std::map<std::string, int> successes{
        {"c0", 1}, {"c1", 1}, {"u0", 1}, {"u1", 1}};
    std::map<std::string, int> retries;
    // The table is now full, so another customer gets no retry.
    budget.OnSuccess("c0", "u0", now);
    budget.OnSuccess("c1", "u1", now);
    const auto operations =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int operation : operations) {
      now += seconds(1);
      const std::string customer = operation % 2 ? "c1" : "c0";
      const std::string upstream = operation / 2 % 2 ? "u1" : "u0";
      if (operation < 8) {
        budget.OnSuccess(customer, upstream, now);
        ++successes[customer];
        ++successes[upstream];
      } else if (budget.TryConsume(customer, upstream, now)) {
        ++retries[customer];
        ++retries[upstream];
      }
      RC_ASSERT(!budget.TryConsume("c2", "u0", now));
      for (const auto& [name, count] : retries)
        RC_ASSERT(count <= options.initial_retries +
                               options.retries_per_success * successes[name]);
      RC_ASSERT(budget.size() <= 2 * options.max_buckets);
    }
  });
}

}  // namespace teaselhill::retry
