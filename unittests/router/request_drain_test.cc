/// \file
/// Guards against requests that end without an answer in a planned stop, and
/// against work that is begun though it cannot be finished before the stop.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

#include "coordinator_fixture.h"

namespace teaselhill::router {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr milliseconds kTick{20};

/// Suffices for an answer of 256 tokens, which the routing policy expects to
/// last for seconds.
constexpr minutes kEnoughTime{10};

RequestId ArriveWithKey(CoordinatorFixture& fixture, const std::string& key) {
  RequestInfo info;
  info.id = ++fixture.last_request;
  info.external_id = "r" + std::to_string(info.id);
  info.customer = "c";
  info.team = "t";
  info.class_name = "report";
  info.model = "m";
  info.idempotent = false;
  info.idempotency_key = key;
  fixture.coordinator.OnArrived(std::move(info), fixture.now);
  return fixture.last_request;
}

std::string TokenOf(CoordinatorFixture& fixture, const HostIncarnation& host) {
  return claims::FormatToken("c", host, fixture.claims.IssueToken(),
                             "0123456789abcdef");
}

void FillEngines(CoordinatorFixture& fixture) {
  while (fixture.traffic.started.size() == fixture.last_request)
    fixture.Arrive(/*idempotent=*/true);
}

RequestId ArriveAboveLimit(CoordinatorFixture& fixture) {
  config::Limits limits;
  limits.concurrency = 1;
  fixture.limits.ApplyContract("c", limits, fixture.now);
  fixture.Arrive(/*idempotent=*/true);
  return fixture.Arrive(/*idempotent=*/true);
}

/// Brings a request into a state and returns its id.
using Prepare = std::function<RequestId(CoordinatorFixture&)>;

struct StateRow {
  const char* name;
  Prepare prepare;
  /// At the end of the drain, if no attempt began in it.
  Outcome outcome;
};

const std::vector<StateRow> kStates = {
    {"running, idempotent",
     [](CoordinatorFixture& f) { return f.Arrive(/*idempotent=*/true); },
     Outcome::kUnknown},
    {"running, not idempotent",
     [](CoordinatorFixture& f) { return f.Arrive(/*idempotent=*/false); },
     Outcome::kUnknown},
    {"running, stream has begun",
     [](CoordinatorFixture& f) {
       const RequestId id = f.Arrive(/*idempotent=*/true);
       f.coordinator.OnFirstToken(id, 0, f.now);
       f.coordinator.OnProgress({{id, 0, 3}}, f.now);
       return id;
     },
     Outcome::kUnknown},
    {"running, with a key",
     [](CoordinatorFixture& f) { return ArriveWithKey(f, TokenOf(f, f.self)); },
     Outcome::kUnknown},
    {"waits for the answer to a request with its key",
     [](CoordinatorFixture& f) {
       const std::string key = TokenOf(f, f.self);
       ArriveWithKey(f, key);
       return ArriveWithKey(f, key);
     },
     Outcome::kUnknown},
    {"waits for its claim",
     [](CoordinatorFixture& f) {
       return ArriveWithKey(f, "01890a5d-ac96-774b-bcce-b302099a8057");
     },
     Outcome::kUnknown},
    {"queued",
     [](CoordinatorFixture& f) {
       FillEngines(f);
       return f.last_request;
     },
     Outcome::kNotRun},
    {"queued, with a key",
     [](CoordinatorFixture& f) {
       FillEngines(f);
       return ArriveWithKey(f, TokenOf(f, f.self));
     },
     Outcome::kNotRun},
    {"queued again after it was sent",
     [](CoordinatorFixture& f) {
       FillEngines(f);
       f.EndAttempt(1, 0, ResultCode::kConnectionLost, /*sent=*/true);
       return RequestId{1};
     },
     Outcome::kUnknown},
    {"waits for its limit", ArriveAboveLimit, Outcome::kNotRun},
    {"forwarded to another host",
     [](CoordinatorFixture& f) {
       f.fleet.url = "http://127.0.0.1:1";
       return ArriveWithKey(f, TokenOf(f, {"other", 1}));
     },
     Outcome::kUnknown},
};

}  // namespace

TEST_CASE("each open request gets one honest answer at the end of a drain") {
  const StateRow row = GENERATE(from_range(kStates));
  // A request waits for its limit for 1.5 s at most.
  const Duration timeout = GENERATE(values<Duration>(
      {milliseconds(900), milliseconds(2700), seconds(18), seconds(598)}));
  CAPTURE(row.name, ToSeconds(timeout));
  CoordinatorFixture fixture(/*engines=*/1);
  const RequestId id = row.prepare(fixture);
  const size_t started = fixture.traffic.started.size();
  const TimePoint final_answers = fixture.now + timeout;
  fixture.coordinator.Drain(final_answers, fixture.now);
  while (fixture.now < final_answers + kTick)
    fixture.Advance(kTick);
  CHECK(fixture.coordinator.open_requests() == 0);
  CHECK(fixture.traffic.running.empty());
  REQUIRE(fixture.traffic.failures[id].size() == 1);
  const bool began = std::any_of(
      fixture.traffic.started.begin() + static_cast<std::ptrdiff_t>(started),
      fixture.traffic.started.end(),
      [id](const AttemptCommand& command) { return command.request == id; });
  CHECK(Describe(fixture.traffic.failures[id][0]).outcome ==
        (began ? Outcome::kUnknown : row.outcome));
}

TEST_CASE("request that arrives during a drain is answered") {
  const bool has_ended = GENERATE(false, true);
  const std::string key =
      GENERATE(as<std::string>(), "", "01890a5d-ac96-774b-bcce-b302099a8057");
  CAPTURE(has_ended, key);
  CoordinatorFixture fixture;
  const TimePoint final_answers = fixture.now + seconds(1);
  fixture.coordinator.Drain(final_answers, fixture.now);
  if (has_ended)
    fixture.Advance(seconds(1));
  const RequestId id = key.empty() ? fixture.Arrive(/*idempotent=*/true)
                                   : ArriveWithKey(fixture, key);
  while (fixture.now < final_answers + kTick)
    fixture.Advance(kTick);
  CHECK(fixture.coordinator.open_requests() == 0);
  CHECK(fixture.traffic.started.empty());
  CHECK(fixture.traffic.failures[id].size() == 1);
}

TEST_CASE("a drain starts no attempt that cannot end before the stop") {
  struct Row {
    const char* name;
    const char* class_name;
    Duration moment;  ///< after the start of the drain
    std::function<void(CoordinatorFixture&)> provoke;
  };
  const Row row = GENERATE(values<Row>({
      {"retry of a request that was not run", "report", seconds(1),
       [](CoordinatorFixture& f) {
         f.EndAttempt(1, 0, ResultCode::kConnectFailed, /*sent=*/false);
       }},
      {"retry of an idempotent request", "report", seconds(1),
       [](CoordinatorFixture& f) {
         f.EndAttempt(1, 0, ResultCode::kConnectionLost, /*sent=*/true);
       }},
      {"resumption of a stream", "report", seconds(1),
       [](CoordinatorFixture& f) {
         f.coordinator.OnFirstToken(1, 0, f.now);
         f.EndAttempt(1, 0, ResultCode::kUpstreamRefused, /*sent=*/true, 3,
                      500);
       }},
      {"hedge", "urgent", seconds(1),
       [](CoordinatorFixture& f) {
         for (int i = 0; i < 100; ++i)
           f.hedges.OnFirstTokenLatency("m", milliseconds(1));
         f.hedges.OnWorkDone(1000000);
       }},
      {"replacement of a silent attempt", "report", milliseconds(19900),
       [](CoordinatorFixture&) {}},
  }));
  const Duration remaining =
      GENERATE(values<Duration>({milliseconds(900), kEnoughTime}));
  CAPTURE(row.name, ToSeconds(remaining));
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/true, row.class_name);
  const TimePoint moment = fixture.now + row.moment;
  fixture.coordinator.Drain(moment + remaining, fixture.now);
  while (fixture.now < moment)
    fixture.Advance(kTick);
  REQUIRE(fixture.traffic.started.size() == 1);
  row.provoke(fixture);
  // Long enough for a crash suspect to get its time slot.
  while (fixture.now < moment + seconds(1))
    fixture.Advance(kTick);
  CHECK((fixture.traffic.started.size() > 1) == (remaining == kEnoughTime));
  while (fixture.now < moment + remaining + kTick)
    fixture.Advance(kTick);
  CHECK(fixture.coordinator.open_requests() == 0);
  CHECK(fixture.traffic.failures[id].size() == 1);
}

TEST_CASE("queued request is refused as soon as it would begin too late") {
  CoordinatorFixture fixture(/*engines=*/1);
  FillEngines(fixture);
  const RequestId queued = fixture.last_request;
  fixture.coordinator.Drain(fixture.now + milliseconds(500), fixture.now);
  CHECK(fixture.traffic.failures.count(queued) == 0);
  fixture.EndAttempt(1, 0, ResultCode::kOk, /*sent=*/true, 5);
  CHECK(fixture.traffic.failures[queued] ==
        std::vector<ResultCode>{ResultCode::kDraining});
}

TEST_CASE("request is not forwarded just before the stop") {
  CoordinatorFixture fixture;
  fixture.fleet.url = "http://127.0.0.1:1";
  fixture.coordinator.Drain(fixture.now + milliseconds(100), fixture.now);
  const RequestId id = ArriveWithKey(fixture, TokenOf(fixture, {"other", 1}));
  CHECK(fixture.traffic.started.empty());
  CHECK(fixture.traffic.failures[id] ==
        std::vector<ResultCode>{ResultCode::kHolderUnreachable});
}

}  // namespace teaselhill::router
