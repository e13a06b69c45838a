/// \file
/// Guards against requests that count twice, not at all, or at the wrong time
/// in the usage of their team.

#include <catch2/catch.hpp>
#include <vector>

#include "gateway_fixture.h"

namespace platform {

namespace {

using gateway::RouteKind;
using std::chrono::milliseconds;
using teaselhill::BootNow;
using teaselhill::Duration;
using teaselhill::duties::HostReport;
using teaselhill::duties::UsageCounter;

const AnswerScript kAnswers = {
    {{}, AnswerHead("200 OK", "Content-Length: 2\r\n") + "ok"}};
const AnswerScript kFails = {
    {{}, AnswerHead("500 Failed", "Content-Length: 0\r\n")}};
const AnswerScript kRefuses = {
    {{}, AnswerHead("503 Full", "X-Not-Run: 1\r\nContent-Length: 0\r\n")}};
const AnswerScript kBreaksOff = {{milliseconds(20), ""}};
const AnswerScript kStreams = {
    {{},
     StreamHead() + Chunk(EventText(1)) + Chunk(EventText(2)) + kLastChunk}};
const AnswerScript kStreamsOn = {
    {{}, StreamHead() + Chunk(EventText(2)) + kLastChunk}};
const AnswerScript kBreaksOffInside = {{{}, StreamHead() + Chunk(EventText(1))},
                                       {milliseconds(20), ""}};
const AnswerScript kBreaksOffBefore = {{{}, StreamHead()},
                                       {milliseconds(20), ""}};
const AnswerScript kSilent;

gateway::Route RouteOf(RouteKind kind) {
  gateway::Route route = ResumableRoute(milliseconds(1000));
  route.kind = kind;
  route.resumable = kind == RouteKind::kStream;
  return route;
}

gateway::GatewayOptions Counting() {
  gateway::GatewayOptions options;
  options.count_usage = true;
  options.retry_budget.ratio = 10;
  options.retry_budget.used_ratio_fraction = 1;
  return options;
}

net::Headers OfTeam() {
  return {{"Authorization", std::string("Bearer ") + kTeamKey}};
}

HostReport Report(GatewayFixture& fixture) {
  HostReport report;
  fixture.gateway().usage_counter()->Report(
      {}, BootNow() + UsageCounter::kBucket, &report);
  return report;
}

size_t CountOf(GatewayFixture& fixture) {
  size_t requests = 0;
  for (const auto& count : Report(fixture).usage) {
    CHECK(count.team == "team");
    requests += count.requests;
  }
  return requests;
}

}  // namespace

TEST_CASE("a request counts once if an upstream may have run it") {
  struct Row {
    const char* name;
    RouteKind kind;
    std::vector<AnswerScript> upstreams;  ///< in the order of the attempts
    size_t requests;
  };
  const Row row = GENERATE(values<Row>({
      {"answered", RouteKind::kNonIdempotent, {kAnswers}, 1},
      {"answered with a failure", RouteKind::kNonIdempotent, {kFails}, 1},
      {"outcome unknown", RouteKind::kNonIdempotent, {kBreaksOff}, 1},
      {"refused", RouteKind::kNonIdempotent, {kRefuses}, 0},
      {"refused, then answered",
       RouteKind::kNonIdempotent,
       {kRefuses, kAnswers},
       1},
      {"failed, then answered",
       RouteKind::kIdempotent,
       {kBreaksOff, kAnswers},
       1},
      {"failed twice", RouteKind::kIdempotent, {kFails, kFails}, 1},
      {"streamed", RouteKind::kStream, {kStreams}, 1},
      {"stream resumed", RouteKind::kStream, {kBreaksOffInside, kStreamsOn}, 1},
      {"stream begun again",
       RouteKind::kStream,
       {kBreaksOffBefore, kStreams},
       1},
      {"stream without an event", RouteKind::kStream, {kBreaksOffBefore}, 0},
      {"stream refused", RouteKind::kStream, {kRefuses}, 0},
      {"stream answered without events", RouteKind::kStream, {kAnswers}, 1},
      {"events on another kind of route",
       RouteKind::kNonIdempotent,
       {kStreams},
       1},
  }));
  INFO(row.name);
  GatewayFixture fixture(RouteOf(row.kind), Counting());
  for (const AnswerScript& script : row.upstreams)
    fixture.AddUpstream({script});
  fixture.Send(milliseconds(1500), OfTeam());
  CHECK(CountOf(fixture) == row.requests);
}

TEST_CASE("an upstream that cannot be reached runs no request") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent), Counting());
  fixture.AddUnreachableUpstream();
  fixture.Send(milliseconds(500), OfTeam());
  CHECK(CountOf(fixture) == 0);
}

TEST_CASE("a request without a team does not count") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent), Counting());
  fixture.AddUpstream({kAnswers});
  CHECK(fixture.Send().status == 200);
  CHECK(CountOf(fixture) == 0);
}

TEST_CASE("nothing is counted unless the options say so") {
  GatewayFixture fixture(RouteOf(RouteKind::kNonIdempotent));
  fixture.AddUpstream({kAnswers});
  CHECK(fixture.Send(milliseconds(1000), OfTeam()).status == 200);
  CHECK(fixture.gateway().usage_counter() == nullptr);
}

TEST_CASE("a request counts by when it began to run") {
  struct Row {
    const char* name;
    RouteKind kind;
    AnswerScript script;
    milliseconds began;  ///< after the send
  };
  const Row row = GENERATE(values<Row>({
      {"a stream, with its first event",
       RouteKind::kStream,
       {{milliseconds(300), StreamHead()},
        {milliseconds(300), Chunk(EventText(1)) + kLastChunk}},
       milliseconds(600)},
      {"another request, as it is sent",
       RouteKind::kNonIdempotent,
       {{milliseconds(600),
         AnswerHead("200 OK", "Content-Length: 2\r\n") + "ok"}},
       milliseconds(0)},
  }));
  INFO(row.name);
  GatewayFixture fixture(RouteOf(row.kind), Counting());
  const ScriptedUpstream& upstream = fixture.AddUpstream({row.script});
  CHECK(fixture.Send(milliseconds(2000), OfTeam()).status == 200);
  const HostReport report = Report(fixture);
  REQUIRE(report.usage.size() == 1);
  const Duration began =
      BootNow() - report.usage[0].age - *upstream.requested_at();
  CHECK(began > row.began - milliseconds(60));
  CHECK(began < row.began + milliseconds(200));
}

// Its window may be reported before a long request ends.
TEST_CASE("a request that runs for long counts while it runs") {
  const auto kind = GENERATE(RouteKind::kNonIdempotent, RouteKind::kStream);
  GatewayFixture fixture(RouteOf(kind), Counting());
  fixture.AddUpstream({kSilent});
  size_t early = 99;
  size_t late = 99;
  const auto first = fixture.loop().timers().After(
      milliseconds(700),
      [&](teaselhill::TimePoint) { early = CountOf(fixture); });
  const auto second = fixture.loop().timers().After(
      milliseconds(1300),
      [&](teaselhill::TimePoint) { late = CountOf(fixture); });
  fixture.Send(milliseconds(1800), OfTeam());
  CHECK(early == 0);
  // Nothing shows that a stream has begun.
  CHECK(late == (kind == RouteKind::kStream ? 0 : 1));
  CHECK(CountOf(fixture) == late);
}

TEST_CASE("the host that sends a request to an upstream counts it") {
  const auto kind = GENERATE(RouteKind::kNonIdempotent, RouteKind::kStream);
  const bool serves = GENERATE(false, true);
  CAPTURE(serves);
  GatewayFixture fixture(RouteOf(kind), Counting());
  const AnswerScript answer =
      kind == RouteKind::kStream
          ? AnswerScript{{{},
                          StreamHead(kRelayedLines) + Chunk(EventText(1)) +
                              kLastChunk}}
          : AnswerScript{{{},
                          AnswerHead("200 OK", std::string(kRelayedLines) +
                                                   "Content-Length: 2\r\n") +
                              "ok"}};
  if (!serves) {
    fixture.AddUnreachableUpstream();
    const ScriptedUpstream& peers = fixture.AddPeers({answer});
    CHECK(fixture.Send(milliseconds(1500), OfTeam()).status == 200);
    CHECK(peers.requests().size() == 1);
    CHECK(CountOf(fixture) == 0);
    return;
  }
  fixture.AddUpstream({answer});
  ReceivedAnswer received;
  net::HttpRequest request;
  request.method = "GET";
  request.target = request.path = "/x";
  request.headers = {{"Host", kRouteHost},
                     {"X-Attempt-Id", kRequestId},
                     {"X-Deadline-Ms", "2000"},
                     OfTeam()[0]};
  gateway::RelayOrigin origin;
  origin.host = "other";
  fixture.gateway().HandleRelayed(std::move(request), origin,
                                  std::make_shared<RecordingWriter>(&received));
  const auto stop = fixture.loop().timers().After(
      milliseconds(300), [&](teaselhill::TimePoint) { fixture.loop().Stop(); });
  fixture.loop().Run();
  CHECK(received.status == 200);
  CHECK(CountOf(fixture) == 1);
}

}  // namespace platform
