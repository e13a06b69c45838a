/// \file
/// Guards against a request that runs once and whose answer is thrown away,
/// because an answer before it on its connection was cut.

#include <catch2/catch.hpp>
#include <string>

#include "gateway_fixture.h"

namespace platform {

namespace {

using gateway::RouteKind;
using std::chrono::milliseconds;

gateway::Route RouteOf(RouteKind kind, bool resumable) {
  gateway::Route route = ResumableRoute(milliseconds(500));
  route.kind = kind;
  route.resumable = resumable;
  return route;
}

const AnswerScript kAnswers = {
    {{}, AnswerHead("200 OK", "Content-Length: 2\r\n") + "ok"}};

const AnswerScript kStreams = {
    {{}, StreamHead() + Chunk(EventText(1)) + kLastChunk}};

/// Runs the loop for a while, or until the answer has ended.
void RunFor(GatewayFixture& fixture,
            milliseconds duration,
            const ReceivedAnswer& answer) {
  const auto limit = fixture.loop().timers().After(
      duration, [&](teaselhill::TimePoint) { fixture.loop().Stop(); });
  const auto poll = fixture.loop().timers().Subscribe(
      milliseconds(1), [&](teaselhill::TimePoint) {
        if (answer.has_ended())
          fixture.loop().Stop();
      });
  fixture.loop().Run();
}

}  // namespace

TEST_CASE("a request that may not be repeated waits for the answer before it") {
  struct Row {
    const char* name;
    RouteKind kind;
    bool resumable;
    bool waits;
  };
  const Row row = GENERATE(values<Row>({
      {"idempotent", RouteKind::kIdempotent, false, false},
      {"resumable stream", RouteKind::kStream, true, false},
      {"other stream", RouteKind::kStream, false, true},
      {"not idempotent", RouteKind::kNonIdempotent, false, true},
  }));
  INFO(row.name);
  GatewayFixture fixture(RouteOf(row.kind, row.resumable));
  const ScriptedUpstream& upstream = fixture.AddUpstream(
      {row.kind == RouteKind::kStream ? kStreams : kAnswers});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer, milliseconds(2000), {},
                /*behind_unanswered=*/true);
  RunFor(fixture, milliseconds(100), answer);
  CHECK(upstream.requests().empty() == row.waits);
  CHECK(answer.complete == !row.waits);
  fixture.writer().GiveTurn();
  RunFor(fixture, milliseconds(500), answer);
  CHECK(upstream.requests().size() == 1);
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  if (!row.waits)
    return;
  // The time in which it waited is gone.
  const std::string& request = upstream.requests().front();
  const std::string name = "X-Deadline-Ms: ";
  const size_t at = request.find(name);
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(request.substr(at + name.size())) <= 1900);
}

TEST_CASE("a request whose deadline ends before its turn has not run") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent, false));
  const ScriptedUpstream& upstream = fixture.AddUpstream({kAnswers});
  ReceivedAnswer answer;
  fixture.Begin("/x", &answer, milliseconds(60), {},
                /*behind_unanswered=*/true);
  RunFor(fixture, milliseconds(100), answer);
  fixture.writer().GiveTurn();
  RunFor(fixture, milliseconds(100), answer);
  CHECK(answer.status == 503);
  CHECK(upstream.requests().empty());
}

}  // namespace platform
