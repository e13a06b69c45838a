/// \file
/// Guards against requests that a host has read and that get no answer, or the
/// wrong one, when the host is stopped.

#include <catch2/catch.hpp>

#include "gateway_fixture.h"
#include "teaselhill/gateway/route_durations.h"

namespace platform {

namespace {

using gateway::RouteKind;
using std::chrono::milliseconds;
using teaselhill::BootNow;
using teaselhill::TimePoint;

/// From the start of the stop to its final answers.
constexpr milliseconds kUntilFinalAnswers{400};

/// Time after the final answers in which the process still runs.
constexpr milliseconds kMargin{150};

/// A silent attempt is replaced after twice this time.
constexpr milliseconds kTarget{100};
constexpr milliseconds kLongTarget{3000};

const AnswerScript kSilent;
const AnswerScript kAnswers = {
    {{}, AnswerHead("200 OK", "Content-Length: 2\r\n") + "ok"}};
const AnswerScript kEndsConnection = {{{}, ""}};
const std::string kRefusal =
    AnswerHead("503 Full", "X-Not-Run: 1\r\nContent-Length: 0\r\n");

gateway::Route RouteOf(RouteKind kind, milliseconds target = kLongTarget) {
  gateway::Route route = ResumableRoute(target);
  route.kind = kind;
  route.resumable = kind == RouteKind::kStream;
  route.event_gap_target = {};
  return route;
}

gateway::GatewayOptions WithRetries(double ratio) {
  gateway::GatewayOptions options;
  options.retry_budget.ratio = ratio;
  options.retry_budget.used_ratio_fraction = 1;
  options.retry_budget.fleet_additional_retries = 0;
  return options;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// The three honest ends of a request that is not answered.
enum class End { kNotRun, kUnknown, kCutShort };

void CheckEnd(const ReceivedAnswer& answer, End end) {
  CAPTURE(answer.status, answer.body);
  CHECK(answer.has_ended());
  CHECK(answer.aborted == (end == End::kCutShort));
  const int statuses[] = {503, 504, 200};
  CHECK(answer.status == statuses[static_cast<int>(end)]);
  if (end == End::kNotRun)
    CHECK(Contains(answer.body, R"("name":"Draining","outcome":"not-run")"));
  if (end == End::kUnknown)
    CHECK(Contains(answer.body, R"("outcome":"unknown")"));
}

/// Does not answer until the test ends.
class SilentStreamPeers : public gateway::StreamPeers {
 public:
  void Append(std::vector<gateway::StreamRecord>) override {}
  void Publish(std::vector<gateway::StreamRecord>,
               teaselhill::Duration,
               std::function<void()>) override {}
  void ReadLog(std::function<void()>) override {}
  void Ask(gateway::StreamQuery,
           std::function<void(gateway::StreamEvidence)>) override {}
};

/// Stops a host, and lets its process end after the final answers.
class PlannedStop {
 public:
  explicit PlannedStop(GatewayFixture& fixture) : fixture_(fixture) {}

  /// Runs from now until the end of a stop that starts after `start`.
  void Play(milliseconds start) {
    net::EventLoop& loop = fixture_.loop();
    const auto stop = loop.timers().After(start, [this](TimePoint) {
      fixture_.gateway().StartDrain(BootNow() + kUntilFinalAnswers);
    });
    const auto end = loop.timers().After(start + kUntilFinalAnswers + kMargin,
                                         [&loop](TimePoint) { loop.Stop(); });
    loop.Run();
  }

 private:
  GatewayFixture& fixture_;
};

/// Answers requests until the duration of the route counts as known.
void LearnDuration(GatewayFixture& fixture) {
  for (int i = 0; i < gateway::RouteDurations::kMinAnswers; ++i)
    REQUIRE(fixture.Send().status == 200);
}

std::vector<AnswerScript> AnswersAndThen(AnswerScript script) {
  std::vector<AnswerScript> scripts(gateway::RouteDurations::kMinAnswers,
                                    kAnswers);
  scripts.push_back(std::move(script));
  return scripts;
}

}  // namespace

TEST_CASE("a request that runs as a host stops gets its answer in time") {
  struct Row {
    const char* name;
    RouteKind kind;
    AnswerScript script;
    End end;
  };
  const AnswerScript begun = {{{}, StreamHead() + Chunk(EventText(1))}};
  const AnswerScript head_only = {{{}, StreamHead()}};
  const Row row = GENERATE_COPY(values<Row>({
      {"idempotent", RouteKind::kIdempotent, kSilent, End::kUnknown},
      {"not idempotent", RouteKind::kNonIdempotent, kSilent, End::kUnknown},
      {"stream without an event", RouteKind::kStream, head_only, End::kUnknown},
      {"stream that has begun", RouteKind::kStream, begun, End::kCutShort},
  }));
  INFO(row.name);
  GatewayFixture fixture(RouteOf(row.kind));
  fixture.AddUpstream({row.script});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(100));
  CheckEnd(answer, row.end);
  CHECK(fixture.gateway().open_requests() == 0);
}

TEST_CASE(
    "a request that ends before the final answers of a stop is answered") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  fixture.AddUpstream({{{milliseconds(300), kAnswers.front().bytes}}});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(50));
  CHECK(answer.status == 200);
  CHECK(answer.complete);
}

// They had no timer while no attempt of them ran.
TEST_CASE("suspects that are held as a host stops get their answers") {
  gateway::Route route = RouteOf(RouteKind::kIdempotent);
  route.max_attempts = 4;
  GatewayFixture fixture(route, WithRetries(10));
  for (int i = 0; i < 4; ++i)
    fixture.AddUpstream({kEndsConnection}, /*answers_health_checks=*/false);
  ReceivedAnswer may_have_run;
  fixture.Begin("/x", &may_have_run);
  ReceivedAnswer not_run;
  const auto second = fixture.loop().timers().After(
      milliseconds(100), [&](TimePoint) { fixture.Begin("/x", &not_run); });
  PlannedStop(fixture).Play(milliseconds(150));
  CHECK(Contains(fixture.log(), "held"));
  CheckEnd(may_have_run, End::kUnknown);
  CheckEnd(not_run, End::kNotRun);
}

TEST_CASE("a request that waits for a retry as a host stops is answered") {
  GatewayFixture fixture(RouteOf(RouteKind::kIdempotent, kTarget),
                         WithRetries(1));
  fixture.AddUpstream({kSilent});
  // Comes after the silent attempt was given up.
  fixture.AddUpstream({{{milliseconds(400), kRefusal}}});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(900));
  CHECK(Contains(fixture.log(), "retry_refused"));
  CheckEnd(answer, End::kUnknown);
}

TEST_CASE("a stream whose version is sought as a host stops is answered") {
  GatewayFixture fixture(RouteOf(RouteKind::kStream));
  SilentStreamPeers peers;
  fixture.gateway().SetStreamPeers(&peers);
  const ScriptedUpstream& upstream = fixture.AddUpstream({kAnswers});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer, std::chrono::seconds(4),
                {{"Last-Event-Id", "3"}, {"Resumes", "a0"}});
  PlannedStop(fixture).Play(milliseconds(50));
  CheckEnd(answer, End::kNotRun);
  CHECK(upstream.requests().empty());
}

TEST_CASE("a request that another host serves as this one stops is answered") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  fixture.AddUnreachableUpstream();
  const ScriptedUpstream& peers = fixture.AddPeers({kSilent});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(100));
  REQUIRE(peers.requests().size() == 1);
  CheckEnd(answer, End::kUnknown);
}

TEST_CASE("a stopping host refuses another host's request as not run") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  const ScriptedUpstream& upstream = fixture.AddUpstream({kSilent});
  ReceivedAnswer answer;
  const auto relayed =
      fixture.loop().timers().After(milliseconds(50), [&](TimePoint) {
        net::HttpRequest request;
        request.method = "GET";
        request.target = request.path = "/x";
        request.headers = {{"Host", kRouteHost},
                           {"X-Attempt-Id", kRequestId},
                           {"X-Deadline-Ms", "4000"}};
        gateway::RelayOrigin origin;
        origin.host = "other";
        fixture.gateway().HandleRelayed(
            std::move(request), origin,
            std::make_shared<RecordingWriter>(&answer));
      });
  PlannedStop(fixture).Play(milliseconds(10));
  CheckEnd(answer, End::kNotRun);
  CHECK(upstream.requests().empty());
}

TEST_CASE("a stopping host takes the requests that are likely to end in time") {
  struct Row {
    const char* name;
    bool duration_known;
    milliseconds deadline;
    bool behind_unanswered;
    bool taken;
  };
  const Row row = GENERATE(values<Row>({
      {"short answers", true, milliseconds(4000), false, true},
      {"unknown", false, milliseconds(4000), false, false},
      {"unknown, an early deadline", false, milliseconds(200), false, true},
      // Its answer would be lost if the one before it were cut short.
      {"behind another", true, milliseconds(4000), true, false},
  }));
  INFO(row.name);
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  const ScriptedUpstream& upstream = fixture.AddUpstream({kAnswers});
  if (row.duration_known)
    LearnDuration(fixture);
  const size_t before = upstream.requests().size();
  ReceivedAnswer answer;
  const auto late =
      fixture.loop().timers().After(milliseconds(50), [&](TimePoint) {
        fixture.Begin("/x", &answer, row.deadline, {}, row.behind_unanswered);
      });
  PlannedStop(fixture).Play(milliseconds(10));
  CHECK(upstream.requests().size() - before == (row.taken ? 1 : 0));
  if (row.taken)
    CHECK(answer.status == 200);
  else
    CheckEnd(answer, End::kNotRun);
}

// Guards against a stream that a host takes long after it was told to stop, and
// cuts because it lasts longer than the streams before it.
TEST_CASE("a host out of rotation takes no stream that may outlast its stop") {
  struct Row {
    const char* name;
    RouteKind kind;
    milliseconds deadline;
    bool out_of_rotation;
    bool taken;
  };
  const Row row = GENERATE(values<Row>({
      {"stream", RouteKind::kStream, milliseconds(4000), true, false},
      {"stream in rotation", RouteKind::kStream, milliseconds(4000), false,
       true},
      {"stream with an early deadline", RouteKind::kStream, milliseconds(200),
       true, true},
      // Its final answer is whole whatever the upstream does.
      {"no stream", RouteKind::kNonIdempotent, milliseconds(4000), true, true},
  }));
  INFO(row.name);
  gateway::Route route = RouteOf(row.kind);
  route.resumable = false;
  GatewayFixture fixture(route);
  const ScriptedUpstream& upstream = fixture.AddUpstream({kAnswers});
  LearnDuration(fixture);
  const size_t before = upstream.requests().size();
  const TimePoint stopped_at = BootNow();
  fixture.gateway().StartDrain(
      stopped_at + kUntilFinalAnswers,
      row.out_of_rotation ? stopped_at : stopped_at + kUntilFinalAnswers);
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer, row.deadline);
  const auto end = fixture.loop().timers().After(
      milliseconds(300), [&](TimePoint) { fixture.loop().Stop(); });
  fixture.loop().Run();
  CHECK(upstream.requests().size() - before == (row.taken ? 1 : 0));
  if (row.taken)
    CHECK(answer.status == 200);
  else
    CheckEnd(answer, End::kNotRun);
}

TEST_CASE("a request is sent again in a stop if it is likely to end in time") {
  const bool duration_known = GENERATE(true, false);
  CAPTURE(duration_known);
  GatewayFixture fixture(RouteOf(RouteKind::kIdempotent), WithRetries(10));
  const AnswerScript refuses = {{milliseconds(150), kRefusal}};
  fixture.AddUpstream(duration_known ? AnswersAndThen(refuses)
                                     : std::vector<AnswerScript>{refuses});
  const ScriptedUpstream& second = fixture.AddUpstream({kAnswers});
  if (duration_known)
    LearnDuration(fixture);
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(50));
  CHECK(second.requests().size() == (duration_known ? 1 : 0));
  CHECK(answer.status == (duration_known ? 200 : 503));
}

TEST_CASE("a silent attempt is replaced in a stop if that is likely to help") {
  const bool duration_known = GENERATE(true, false);
  CAPTURE(duration_known);
  GatewayFixture fixture(RouteOf(RouteKind::kIdempotent, kTarget),
                         WithRetries(10));
  fixture.AddUpstream(duration_known ? AnswersAndThen(kSilent)
                                     : std::vector<AnswerScript>{kSilent});
  const ScriptedUpstream& second = fixture.AddUpstream({kAnswers});
  if (duration_known)
    LearnDuration(fixture);
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  PlannedStop(fixture).Play(milliseconds(100));
  CHECK(second.requests().size() == (duration_known ? 1 : 0));
  CHECK(answer.status == (duration_known ? 200 : 504));
}

TEST_CASE("a grace that gets shorter in a stop brings its answers forward") {
  const bool shorter = GENERATE(true, false);
  CAPTURE(shorter);
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  fixture.AddUpstream({kSilent});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer);
  // The platform may keep to the grace that was in force at SIGTERM.
  const milliseconds first(shorter ? 3000 : 300);
  const milliseconds second(shorter ? 250 : 3000);
  const auto stop = fixture.loop().timers().After(
      milliseconds(10),
      [&](TimePoint) { fixture.gateway().StartDrain(BootNow() + first); });
  const auto change = fixture.loop().timers().After(
      milliseconds(50),
      [&](TimePoint) { fixture.gateway().StartDrain(BootNow() + second); });
  const auto end = fixture.loop().timers().After(
      milliseconds(300) + kMargin, [&](TimePoint) { fixture.loop().Stop(); });
  fixture.loop().Run();
  CheckEnd(answer, End::kUnknown);
}

}  // namespace platform
