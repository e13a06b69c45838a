/// \file
/// Tests the life cycle of requests: exactly one final answer each, no second
/// attempt of a non-idempotent request that may have run, and no leftover
/// state.

#include "teaselhill/router/request_coordinator.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "coordinator_fixture.h"

namespace teaselhill::router {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("failed request is retried only if idempotent or certainly not run") {
  struct Row {
    std::string name;
    bool idempotent;
    ResultCode code;
    int status;
    bool sent;
    size_t attempts;  ///< total started
    ResultCode final;
  };
  const auto row = GENERATE(values<Row>({
      {"refused connection, any request", false, ResultCode::kConnectFailed, 0,
       false, 2, ResultCode::kOk},
      {"503 before running", false, ResultCode::kUpstreamRefused, 503, true, 2,
       ResultCode::kOk},
      {"429 before running", false, ResultCode::kUpstreamRefused, 429, true, 2,
       ResultCode::kOk},
      {"500, idempotent", true, ResultCode::kUpstreamRefused, 500, true, 2,
       ResultCode::kOk},
      {"500, not idempotent", false, ResultCode::kUpstreamRefused, 500, true, 1,
       ResultCode::kUpstreamLost},
      {"502, not idempotent", false, ResultCode::kUpstreamRefused, 502, true, 1,
       ResultCode::kUpstreamLost},
      {"504, not idempotent", false, ResultCode::kUpstreamRefused, 504, true, 1,
       ResultCode::kUpstreamLost},
      {"201, not idempotent", false, ResultCode::kUpstreamRefused, 201, true, 1,
       ResultCode::kUpstreamLost},
      {"499 of a cancelled run, not idempotent", false,
       ResultCode::kUpstreamRefused, 499, true, 1, ResultCode::kUpstreamLost},
      {"lost after sending, idempotent", true, ResultCode::kConnectionLost, 0,
       true, 2, ResultCode::kOk},
      {"lost after sending, not idempotent", false, ResultCode::kConnectionLost,
       0, true, 1, ResultCode::kUpstreamLost},
      {"invalid request", true, ResultCode::kUpstreamRefused, 400, true, 1,
       ResultCode::kUpstreamRefused},
  }));
  INFO(row.name);
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(row.idempotent);
  REQUIRE(fixture.traffic.started.size() == 1);
  fixture.EndAttempt(id, 0, row.code, row.sent, 0, row.status);
  // Long enough for a crash suspect to get its time slot.
  for (int i = 0; i < 50; ++i)
    fixture.Advance(milliseconds(20));
  REQUIRE(fixture.traffic.started.size() == row.attempts);
  if (row.final == ResultCode::kOk) {
    CHECK(fixture.traffic.started[1].upstream !=
          fixture.traffic.started[0].upstream);
    fixture.EndAttempt(id, 1, ResultCode::kOk, true, 5);
    CHECK(fixture.traffic.FinalAnswerCount(id) == 0);
  } else {
    REQUIRE(fixture.traffic.failures[id].size() == 1);
    CHECK(fixture.traffic.failures[id][0] == row.final);
  }
  CHECK(fixture.coordinator.open_requests() == 0);
}

// Guards against requests that find no upstream because the engines have
// refused an invalid one before.
TEST_CASE("an invalid request takes no engine out of service") {
  struct Row {
    int status;
    bool stays;
  };
  const auto row = GENERATE(values<Row>(
      {{400, true}, {404, false}, {422, true}, {429, false}, {503, false}}));
  CAPTURE(row.status);
  CoordinatorFixture fixture(/*engines=*/1);
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  const std::string upstream = fixture.traffic.started[0].upstream;
  fixture.EndAttempt(id, 0, ResultCode::kUpstreamRefused, true, 0, row.status);
  CHECK(fixture.upstreams.IsLeaving(*fixture.upstreams.Find(upstream),
                                    fixture.now) != row.stays);
}

// Guards against a crash without a suspect: if an engine crashes at the start
// of a request on a reused connection, libcurl retries once and reports the
// second, refused connection.
TEST_CASE("request lost on a reused connection becomes a crash suspect") {
  const bool sent = GENERATE(false, true);
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  fixture.EndAttempt(id, 0, ResultCode::kConnectFailed, sent);
  CHECK(fixture.crashes.reports() == (sent ? 1 : 0));
}

TEST_CASE("request on a frozen engine times out and is retried") {
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  for (int i = 0; i < 30 && fixture.traffic.started.size() < 2; ++i)
    fixture.Advance(seconds(1));
  REQUIRE(fixture.traffic.started.size() == 2);
  // The frozen engine is kept for a moment, in case that the next one refuses.
  fixture.Advance(milliseconds(400));
  CHECK(fixture.traffic.running.count({id, 0}) == 0);
  CHECK(fixture.traffic.running.count({id, 1}) == 1);
}

TEST_CASE("request on an unresponsive upstream fails after its deadline") {
  CoordinatorFixture fixture;
  const RequestId id =
      fixture.Arrive(/*idempotent=*/false, "report", seconds(3));
  REQUIRE(fixture.traffic.started.size() == 1);
  for (int i = 0; i < 40; ++i)
    fixture.Advance(milliseconds(100));
  REQUIRE(fixture.traffic.failures[id].size() == 1);
  CHECK(Describe(fixture.traffic.failures[id][0]).outcome == Outcome::kUnknown);
  CHECK(fixture.coordinator.open_requests() == 0);
}

TEST_CASE("disconnect of a caller frees upstream capacity at once") {
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  fixture.coordinator.OnCallerDisconnected(id, fixture.now);
  CHECK(fixture.traffic.cancellations[id] == 1);
  CHECK(fixture.coordinator.open_requests() == 0);
  CHECK(fixture.upstreams.Find(fixture.traffic.started[0].upstream)
            ->own_in_flight == 0);
}

TEST_CASE("complete answer of a cancelled attempt is final") {
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  for (int i = 0; i < 30 && fixture.traffic.started.size() < 2; ++i)
    fixture.Advance(seconds(1));
  REQUIRE(fixture.traffic.started.size() == 2);
  fixture.EndAttempt(id, 0, ResultCode::kOk, true, 7);
  CHECK(fixture.coordinator.open_requests() == 0);
  CHECK(fixture.traffic.running.empty());
}

TEST_CASE("request without any upstream fails before its deadline") {
  CoordinatorFixture fixture(/*engines=*/0);
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  for (int i = 0; i < 50 && fixture.coordinator.open_requests() > 0; ++i)
    fixture.Advance(milliseconds(100));
  REQUIRE(fixture.traffic.failures[id].size() == 1);
  CHECK(fixture.traffic.failures[id][0] == ResultCode::kNoUpstream);
}

// Guards against rejecting urgent requests because queued, less urgent ones of
// the same customer use up its concurrency limit (I1).
TEST_CASE("urgent request replaces a queued one of a less urgent tier") {
  CoordinatorFixture fixture(/*engines=*/1);
  config::Limits limits;
  limits.concurrency = 8;
  fixture.limits.ApplyContract("c", limits, fixture.now);
  std::vector<RequestId> reports = {fixture.Arrive(/*idempotent=*/true)};
  for (int i = 0; i < 2; ++i) {  // demand is reported, then quota granted
    fixture.now += milliseconds(300);
    fixture.limits.MakeMessages(fixture.now);
  }
  for (int i = 1; i < 8; ++i)
    reports.push_back(fixture.Arrive(/*idempotent=*/true));
  REQUIRE(fixture.traffic.started.size() < 8);
  const RequestId refused = fixture.Arrive(/*idempotent=*/true);
  const RequestId urgent = fixture.Arrive(/*idempotent=*/true, "urgent");
  CHECK(fixture.traffic.FinalAnswerCount(urgent) == 0);
  CHECK(fixture.traffic.failures[reports.back()] ==
        std::vector<ResultCode>{ResultCode::kLimitExceeded});
  for (size_t i = 0; i + 1 < reports.size(); ++i)
    CHECK(fixture.traffic.FinalAnswerCount(reports[i]) == 0);
  limits.concurrency = 7;  // the share shrinks below the open requests
  fixture.limits.ApplyContract("c", limits, fixture.now);
  const RequestId second = fixture.Arrive(/*idempotent=*/true, "urgent");
  CHECK(fixture.traffic.FinalAnswerCount(second) == 0);
  // `refused` waits briefly for a larger share and is then rejected.
  fixture.Advance(seconds(2));
  CHECK(fixture.traffic.failures[refused] ==
        std::vector<ResultCode>{ResultCode::kLimitExceeded});
}

// Guards against rejecting requests within the contract on a host whose share
// of a limit has not followed its demand yet, and against letting all requests
// of a customer above its limit wait.
TEST_CASE("a few requests wait for quota, further ones fail at once") {
  constexpr int kWaiting = 16;
  CoordinatorFixture fixture;
  config::Limits limits;
  limits.concurrency = 1;
  fixture.limits.ApplyContract("c", limits, fixture.now);
  const RequestId running = fixture.Arrive(/*idempotent=*/true);
  REQUIRE(fixture.traffic.running.size() == 1);
  std::vector<RequestId> waiting;
  for (int i = 0; i < kWaiting; ++i)
    waiting.push_back(fixture.Arrive(/*idempotent=*/true));
  const RequestId above = fixture.Arrive(/*idempotent=*/true);
  CHECK(fixture.traffic.FinalAnswerCount(waiting.back()) == 0);
  CHECK(fixture.traffic.FinalAnswerCount(above) == 1);
  fixture.EndAttempt(running, 0, ResultCode::kOk, true, 5);
  fixture.Advance(milliseconds(100));
  CHECK(fixture.traffic.running.size() == 1);
  fixture.Advance(seconds(2));
  size_t refused = 0;
  for (const RequestId id : waiting)
    refused += fixture.traffic.FinalAnswerCount(id);
  CHECK(refused == kWaiting - 1);
  CHECK(fixture.coordinator.open_requests() == 1);
}

TEST_CASE("draining host rejects new requests and finishes open ones") {
  CoordinatorFixture fixture;
  const RequestId running = fixture.Arrive(/*idempotent=*/true);
  fixture.coordinator.Drain(fixture.now + std::chrono::minutes(10),
                            fixture.now);
  const RequestId late = fixture.Arrive(/*idempotent=*/true);
  CHECK(fixture.traffic.failures[late] ==
        std::vector<ResultCode>{ResultCode::kDraining});
  CHECK(fixture.traffic.failures.count(running) == 0);
  fixture.EndAttempt(running, 0, ResultCode::kOk, true, 3);
  CHECK(fixture.coordinator.open_requests() == 0);
}

TEST_CASE("retry without a deadline waits for the first request with its key") {
  CoordinatorFixture fixture;
  RequestInfo info;
  info.customer = "c";
  info.team = "t";
  info.class_name = "report";
  info.model = "m";
  info.idempotent = false;
  info.idempotency_key = claims::FormatToken(
      "c", fixture.self, fixture.claims.IssueToken(), "0123456789abcdef");
  for (info.id = 1; info.id <= 2; ++info.id)
    fixture.coordinator.OnArrived(info, fixture.now);
  REQUIRE(fixture.traffic.running.size() == 1);
  for (int second = 0; second < 25; ++second) {
    fixture.Advance(seconds(1));
    fixture.coordinator.OnProgress({{1, 0, static_cast<uint32_t>(second + 1)}},
                                   fixture.now);
  }
  CHECK(fixture.traffic.failures.count(2) == 0);
  auto stored = std::make_shared<StoredAnswer>();
  stored->status = 200;
  stored->body = "whole";
  AttemptEnd end;
  end.request = 1;
  end.complete = true;
  end.may_have_been_sent = true;
  end.code = ResultCode::kOk;
  fixture.coordinator.OnAttemptEnded(end, stored, fixture.now);
  CHECK(fixture.traffic.replays[2] == std::vector<std::string>{"whole"});
}

namespace {

/// How the property test ends an attempt.
struct AttemptOutcome {
  ResultCode code;
  int status;
  bool sent;
};

const AttemptOutcome kAttemptOutcomes[] = {
    {ResultCode::kOk, 200, true},
    {ResultCode::kConnectFailed, 0, false},
    {ResultCode::kUpstreamRefused, 503, true},
    {ResultCode::kConnectionLost, 200, true},
    {ResultCode::kTimedOut, 0, true},
};

}  // namespace

TEST_CASE("every request has exactly one final answer") {
  rc::prop("over any order of arrivals, failures and disconnects", [] {
    CoordinatorFixture fixture;
    std::map<RequestId, bool> idempotent;
    std::map<RequestId, size_t> completed;
    std::set<std::pair<RequestId, int>> possibly_run;
    std::set<RequestId> disconnected;

    const auto end_one = [&](size_t which, const AttemptOutcome& outcome) {
      auto entry = fixture.traffic.running.begin();
      std::advance(entry, which % fixture.traffic.running.size());
      const auto [request, attempt] = entry->first;
      if (outcome.sent && outcome.status != 503)
        possibly_run.insert({request, attempt});
      completed[request] += outcome.code == ResultCode::kOk;
      fixture.EndAttempt(request, attempt, outcome.code, outcome.sent, 1,
                         outcome.status);
    };

    const auto steps =
        *rc::gen::container<std::vector<std::pair<int, size_t>>>(rc::gen::pair(
            rc::gen::inRange(0, 10), rc::gen::inRange<size_t>(0, 50)));
    for (const auto& [kind, value] : steps) {
      if (kind < 3) {
        const bool is_idempotent = value % 2 == 0;
        const RequestId id =
            fixture.Arrive(is_idempotent, value % 3 ? "report" : "urgent");
        idempotent[id] = is_idempotent;
      } else if (kind < 8) {
        if (!fixture.traffic.running.empty())
          end_one(value, kAttemptOutcomes[value % std::size(kAttemptOutcomes)]);
      } else if (kind == 8 && !idempotent.empty()) {
        const RequestId id = value % idempotent.size() + 1;
        if (disconnected.insert(id).second)
          fixture.coordinator.OnCallerDisconnected(id, fixture.now);
      } else {
        fixture.Advance(milliseconds(value * 20));
      }
    }
    // Completes the remaining requests with the tick period of the control
    // thread.
    for (int i = 0; i < 10000 && fixture.coordinator.open_requests() > 0; ++i) {
      if (!fixture.traffic.running.empty())
        end_one(0, kAttemptOutcomes[0]);
      fixture.Advance(milliseconds(20));
    }
    RC_ASSERT(fixture.coordinator.open_requests() == 0u);
    RC_ASSERT(fixture.traffic.running.empty());
    for (const auto& [id, is_idempotent] : idempotent) {
      RC_ASSERT(fixture.traffic.FinalAnswerCount(id) + completed[id] == 1u);
      const auto possible_runs = std::count_if(
          possibly_run.begin(), possibly_run.end(),
          [id = id](const auto& attempt) { return attempt.first == id; });
      if (!is_idempotent)
        RC_ASSERT(possible_runs <= 1);
      for (const ResultCode code : fixture.traffic.failures[id]) {
        if (Describe(code).outcome == Outcome::kNotRun)
          RC_ASSERT(possible_runs == 0);
      }
    }
  });
}

// Guards against answers that go on at another software version than the one
// that wrote what the caller has got.
TEST_CASE("interrupted answer goes on only at the version that began it") {
  struct Row {
    const char* name;
    std::map<std::string, std::string> versions;  ///< by engine
    uint64_t delivered_tokens;
    bool goes_on;
  };
  const Row row = GENERATE(values<Row>({
      {"the list names no versions", {}, 5, true},
      {"one version", {{"e0", "v1"}, {"e1", "v1"}, {"e2", "v1"}}, 5, true},
      {"each another version",
       {{"e0", "v1"}, {"e1", "v2"}, {"e2", "v3"}},
       5,
       false},
      {"no token was delivered",
       {{"e0", "v1"}, {"e1", "v2"}, {"e2", "v3"}},
       0,
       true},
  }));
  INFO(row.name);
  CoordinatorFixture fixture;
  fixture.upstreams.SetVersions({row.versions.begin(), row.versions.end()});
  const RequestId id = fixture.Arrive(/*idempotent=*/true);
  REQUIRE(fixture.traffic.started.size() == 1);
  if (row.delivered_tokens > 0)
    fixture.coordinator.OnFirstToken(id, 0, fixture.now);
  fixture.EndAttempt(id, 0, ResultCode::kUpstreamLost, true,
                     row.delivered_tokens);
  for (int i = 0; i < 10; ++i)
    fixture.Advance(milliseconds(100));
  CHECK((fixture.traffic.started.size() == 2) == row.goes_on);
  // Another request is not held up by the version that is missing.
  fixture.Arrive(/*idempotent=*/true);
  CHECK(fixture.traffic.started.back().request == id + 1);
  for (int i = 0; i < 400; ++i)
    fixture.Advance(milliseconds(100));
  std::set<std::string> versions;
  for (const AttemptCommand& command : fixture.traffic.started) {
    if (command.request == id)
      versions.insert(fixture.upstreams.VersionOf(command.upstream));
  }
  CHECK((row.delivered_tokens == 0 || versions.size() == 1));
}

}  // namespace teaselhill::router
