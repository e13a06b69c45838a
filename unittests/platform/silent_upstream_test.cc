/// \file
/// Guards against answers that are cut off because a sound upstream was silent
/// for a while.

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace platform {

namespace {

using std::chrono::milliseconds;

/// Longer than an attempt may be silent before another one is tried.
constexpr milliseconds kSilence{700};

enum class SilentBefore { kHead, kFirstEvent, kNextEvent };

constexpr milliseconds kTarget{100};

gateway::GatewayOptions WithRetries(double ratio, double additional) {
  gateway::GatewayOptions options;
  options.retry_budget.ratio = ratio;
  options.retry_budget.used_ratio_fraction = 1;
  options.retry_budget.fleet_additional_retries = additional;
  return options;
}

/// A stream of two events with a pause in it.
AnswerScript SilentStream(SilentBefore silent_before) {
  AnswerScript script = {{{}, StreamHead()},
                         {{}, Chunk(EventText(1))},
                         {{}, Chunk(EventText(2)) + kLastChunk}};
  script[static_cast<size_t>(silent_before)].pause = kSilence;
  return script;
}

AnswerScript StreamFrom(int first) {
  std::string events;
  for (int number = first; number <= 2; ++number)
    events += Chunk(EventText(number));
  return {{{}, StreamHead() + events + kLastChunk}};
}

const std::string kRefusal =
    AnswerHead("503 Full", "X-Not-Run: 1\r\nContent-Length: 0\r\n");

/// Comes after the replaced attempt was given up.
const AnswerScript kLateRefusal = {{milliseconds(400), kRefusal}};

SilentBefore AnyMoment() {
  return GENERATE(SilentBefore::kHead, SilentBefore::kFirstEvent,
                  SilentBefore::kNextEvent);
}

void CheckWhole(const ReceivedAnswer& answer) {
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body == EventText(1) + EventText(2));
}

}  // namespace

TEST_CASE("a silent attempt goes on if the retry budget permits no other") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(0, 0));
  const ScriptedUpstream& first = fixture.AddUpstream({SilentStream(moment)});
  const ScriptedUpstream& second = fixture.AddUpstream({StreamFrom(1)});
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().empty());
}

TEST_CASE("a silent attempt goes on if there is no other upstream") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(10, 0));
  const ScriptedUpstream& only = fixture.AddUpstream({SilentStream(moment)});
  CheckWhole(fixture.Send());
  CHECK(only.requests().size() == 1);
}

TEST_CASE("a silent attempt goes on while the request is a suspect") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(10, 0));
  // Whether the first upstream has crashed stays open.
  fixture.AddUpstream({SilentStream(moment)}, /*answers_health_checks=*/false);
  AnswerScript rest = StreamFrom(moment == SilentBefore::kNextEvent ? 2 : 1);
  rest.front().pause = kSilence;
  const ScriptedUpstream& second =
      fixture.AddUpstream({rest}, /*answers_health_checks=*/false);
  const ScriptedUpstream& third =
      fixture.AddUpstream({rest}, /*answers_health_checks=*/false);
  CheckWhole(fixture.Send());
  // Either of them is tried next, and the request is held after that.
  CHECK(second.requests().size() + third.requests().size() == 1);
}

TEST_CASE("a silent attempt is replaced if another can begin") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  const int next_event = moment == SilentBefore::kNextEvent ? 2 : 1;
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(10, 0));
  fixture.AddUpstream({SilentStream(moment)});
  const ScriptedUpstream& second =
      fixture.AddUpstream({StreamFrom(next_event)});
  CheckWhole(fixture.Send());
  CHECK(second.requests().size() == 1);
}

// The answer of the sound upstream was thrown away, and no retry was left.
TEST_CASE("a silent attempt goes on if its replacement was refused") {
  const SilentBefore moment = AnyMoment();
  const milliseconds pause{GENERATE(0, 100)};
  CAPTURE(static_cast<int>(moment), pause.count());
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 0));
  const ScriptedUpstream& first = fixture.AddUpstream({SilentStream(moment)});
  const AnswerScript refusal = {{pause, kRefusal}};
  const ScriptedUpstream& second = fixture.AddUpstream({refusal});
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().size() == 1);
}

TEST_CASE("a silent attempt goes on if its replacement was not sent") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 0));
  const ScriptedUpstream& first = fixture.AddUpstream({SilentStream(moment)});
  fixture.AddUnreachableUpstream();
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 1);
}

TEST_CASE("a stream goes on within an event after a refused replacement") {
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 0));
  AnswerScript stream = SilentStream(SilentBefore::kNextEvent);
  stream[1].bytes += Chunk("id: 2\n");
  stream[2].bytes = Chunk("data: x\n\n") + kLastChunk;
  const ScriptedUpstream& first = fixture.AddUpstream({stream});
  const AnswerScript refusal = {{{}, kRefusal}};
  const ScriptedUpstream& second = fixture.AddUpstream({refusal});
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().size() == 1);
}

// The caller would wait for an upstream that begins anew, or get nothing.
TEST_CASE("a silent attempt that goes on is preferred to its replacement") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 0));
  AnswerScript first_script = SilentStream(moment);
  first_script[static_cast<size_t>(moment)].pause = milliseconds(380);
  const AnswerScript silent;
  const ScriptedUpstream& first = fixture.AddUpstream({first_script});
  const ScriptedUpstream& second = fixture.AddUpstream({silent});
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().size() == 1);
}

TEST_CASE("a refused replacement is followed by another one") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  const int next_event = moment == SilentBefore::kNextEvent ? 2 : 1;
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(10, 0));
  AnswerScript hung = SilentStream(moment);
  hung[static_cast<size_t>(moment)].pause = std::chrono::seconds(5);
  fixture.AddUpstream({hung});
  const AnswerScript refusal = {{{}, kRefusal}};
  const AnswerScript rest = StreamFrom(next_event);
  const ScriptedUpstream& second = fixture.AddUpstream({refusal, rest});
  const ScriptedUpstream& third = fixture.AddUpstream({rest});
  CheckWhole(fixture.Send());
  CHECK(second.requests().size() + third.requests().size() >= 1);
}

// Two upstreams must not work on one request for more than 400 ms.
TEST_CASE("a replaced attempt is given up soon") {
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 0));
  const AnswerScript silent;
  const ScriptedUpstream& first = fixture.AddUpstream({silent});
  const ScriptedUpstream& second = fixture.AddUpstream({silent});
  CHECK(fixture.Send(milliseconds(1500)).status == 504);
  REQUIRE(first.closed_at());
  REQUIRE(second.requested_at());
  CHECK(*first.closed_at() - *second.requested_at() < milliseconds(350));
}

TEST_CASE("a request whose silent attempt was replaced waits for a retry") {
  const SilentBefore moment = AnyMoment();
  CAPTURE(static_cast<int>(moment));
  const int next_event = moment == SilentBefore::kNextEvent ? 2 : 1;
  // One retry at once, and two a second.
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(1, 40));
  const ScriptedUpstream& first =
      fixture.AddUpstream({SilentStream(moment), StreamFrom(next_event)});
  const ScriptedUpstream& second = fixture.AddUpstream({kLateRefusal});
  CheckWhole(fixture.Send());
  CHECK(first.requests().size() == 2);
  CHECK(second.requests().size() == 1);
}

// Only the serving host has to know the version at which a stream goes on.
TEST_CASE("a silent host is replaced also if the caller resumes a stream") {
  const bool resumes = GENERATE(false, true);
  CAPTURE(resumes);
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(10, 0));
  fixture.AddUnreachableUpstream();
  const AnswerScript good = {
      {{}, StreamHead(kRelayedLines) + Chunk(EventText(2)) + kLastChunk}};
  const AnswerScript silent;
  const ScriptedUpstream& peers = fixture.AddPeers({good, silent, good});
  // Shows this host that it is cut off.
  fixture.Send();
  net::Headers further;
  if (resumes)
    further = {{"Last-Event-Id", "1"}, {"Resumes", "a0"}};
  const ReceivedAnswer answer = fixture.Send(milliseconds(2000), further);
  CHECK(peers.requests().size() == 3);
  CHECK(answer.complete);
  CHECK(answer.body == EventText(2));
}

// Otherwise only the other requests there would be suspected of a crash.
TEST_CASE("a silence is reported once the upstream is silent to all") {
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(0, 0));
  AnswerScript busy = {{{}, StreamHead()}};
  for (int number = 1; number <= 12; ++number)
    busy.push_back({milliseconds(50), Chunk(EventText(number))});
  busy.push_back({{}, kLastChunk});
  const AnswerScript silent;
  const ScriptedUpstream& upstream =
      fixture.AddUpstream({busy, silent}, /*answers_health_checks=*/false);
  ReceivedAnswer other;
  fixture.Begin("/other", &other);
  CHECK(fixture.Send(milliseconds(2500)).status == 504);
  CHECK(other.complete);
  CHECK(upstream.health_checks() > 0);
}

// An upstream that hangs must not get one request after the other.
TEST_CASE("an upstream that is silent up to the deadline counts as failing") {
  GatewayFixture fixture(ResumableRoute(kTarget), WithRetries(0, 0));
  const AnswerScript silent;
  const ScriptedUpstream& dark =
      fixture.AddUpstream({silent}, /*answers_health_checks=*/false);
  fixture.AddUpstream({StreamFrom(1)});
  CHECK(fixture.Send(milliseconds(1500)).status == 504);
  for (int i = 0; i < 3; ++i)
    CheckWhole(fixture.Send(milliseconds(1500)));
  CHECK(dark.requests().size() == 1);
}

// Requests that wait for a slow upstream, because they must not run twice,
// would put sound upstreams out of use under load.
TEST_CASE("a request that may run once only fails no slow upstream") {
  gateway::Route route = ResumableRoute(kTarget);
  route.kind = gateway::RouteKind::kNonIdempotent;
  route.resumable = false;
  GatewayFixture fixture(route, WithRetries(0, 0));
  const AnswerScript silent;
  const AnswerScript whole = {
      {{}, AnswerHead("200 OK", "Content-Length: 5\r\n") + "whole"}};
  const ScriptedUpstream& slow = fixture.AddUpstream({silent, whole});
  const ScriptedUpstream& other = fixture.AddUpstream({whole});
  CHECK(fixture.Send(milliseconds(1500)).status == 504);
  CHECK(fixture.Send(milliseconds(1500)).body == "whole");
  CHECK(slow.requests().size() == 2);
  CHECK(other.requests().empty());
}

TEST_CASE("a failure after a replaced attempt does not wait for a retry") {
  gateway::Route route = ResumableRoute(kTarget);
  route.kind = gateway::RouteKind::kIdempotent;
  route.resumable = false;
  GatewayFixture fixture(route, WithRetries(1, 0));
  const AnswerScript silent;
  const AnswerScript failure = {
      {{}, AnswerHead("500 Failed", "Content-Length: 7\r\n") + "failure"}};
  fixture.AddUpstream({silent});
  fixture.AddUpstream({failure});
  const auto sent_at = std::chrono::steady_clock::now();
  const ReceivedAnswer answer = fixture.Send();
  CHECK(answer.status == 500);
  CHECK(answer.body == "failure");
  CHECK(std::chrono::steady_clock::now() - sent_at < std::chrono::seconds(2));
}

// A caller whose request gets no retry must have time left to try again itself.
TEST_CASE("a request that waits for a retry ends before its deadline") {
  constexpr milliseconds kDeadline{10000};
  gateway::Route route = ResumableRoute(kTarget);
  route.timeout = kDeadline;
  GatewayFixture fixture(route, WithRetries(1, 0));
  fixture.AddUpstream({SilentStream(AnyMoment())});
  fixture.AddUpstream({kLateRefusal});
  const teaselhill::TimePoint sent_at = teaselhill::BootNow();
  const ReceivedAnswer answer = fixture.Send(kDeadline);
  CHECK((answer.aborted || answer.status != 200));
  CHECK(teaselhill::BootNow() - sent_at < kDeadline / 2);
}

}  // namespace platform
