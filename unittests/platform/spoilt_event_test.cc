/// \file
/// Guards against a stream that ends as complete without an event, because the
/// event arrived beside one that could not be used.

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace platform {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTarget{500};

gateway::GatewayOptions ManyRetries() {
  gateway::GatewayOptions options;
  options.retry_budget.ratio = 10;
  return options;
}

/// An event that ends the attempt, behind event 2.
struct Row {
  const char* name;
  std::string event;
};

const Row kRows[] = {
    {"id is no number", "id: i\ndata: x\n\n"},
    {"id with a number and more", "id: 3x\ndata: x\n\n"},
    {"id past the range of numbers", "id: 99999999999999999999\ndata: x\n\n"},
    {"id of an earlier event", "id: 1\ndata: x\n\n"},
    {"id of the event before", "id: 2\ndata: x\n\n"},
};

/// Events from `first` to the last one, and the end of the stream.
std::string Rest(int first) {
  std::string chunks;
  for (int i = first; i <= 4; ++i)
    chunks += Chunk(EventText(i));
  return chunks + kLastChunk;
}

std::string WholeStream() {
  return EventText(1) + EventText(2) + EventText(3) + EventText(4);
}

/// Event 1, by itself or in one piece with the others, then event 2 and the
/// spoilt event in one piece. The connection stays open.
AnswerScript Spoilt(const Row& row, bool head_sent, const char* lines = "") {
  const std::string behind = EventText(2) + row.event;
  if (!head_sent)
    return {{{}, StreamHead(lines) + Chunk(EventText(1) + behind)}};
  return {{{}, StreamHead(lines) + Chunk(EventText(1))},
          {milliseconds(20), Chunk(behind)}};
}

bool Resumes(const std::string& request, int last_event) {
  return request.find("Last-Event-Id: " + std::to_string(last_event) +
                      "\r\n") != std::string::npos;
}

}  // namespace

TEST_CASE("a sound event beside a spoilt one reaches the caller") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  INFO(row.name);
  const bool head_sent = GENERATE(false, true);
  CAPTURE(head_sent);
  GatewayFixture fixture(ResumableRoute(kTarget), ManyRetries());
  fixture.AddUpstream({Spoilt(row, head_sent)});
  const ScriptedUpstream& second =
      fixture.AddUpstream({{{{}, StreamHead() + Rest(3)}}});
  const ReceivedAnswer answer = fixture.Send();
  REQUIRE(second.requests().size() == 1);
  CHECK(Resumes(second.requests().front(), 2));
  CHECK(answer.complete);
  CHECK(answer.body == WholeStream());
}

TEST_CASE("a relayed sound event beside a spoilt one reaches the caller") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  INFO(row.name);
  GatewayFixture fixture(ResumableRoute(kTarget), ManyRetries());
  fixture.AddUnreachableUpstream();
  const ScriptedUpstream& peers =
      fixture.AddPeers({Spoilt(row, /*head_sent=*/true, kRelayedLines),
                        {{{}, StreamHead(kRelayedLines) + Rest(3)}}});
  const ReceivedAnswer answer = fixture.Send();
  REQUIRE(peers.requests().size() == 2);
  CHECK(Resumes(peers.requests().back(), 2));
  CHECK(answer.complete);
  CHECK(answer.body == WholeStream());
}

TEST_CASE("a stream that cannot go on is not complete behind a spoilt event") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  INFO(row.name);
  gateway::Route route = ResumableRoute(kTarget);
  route.resumable = false;
  GatewayFixture fixture(route, ManyRetries());
  fixture.AddUpstream({Spoilt(row, /*head_sent=*/true)});
  const ReceivedAnswer answer = fixture.Send();
  CHECK(answer.aborted);
  CHECK_FALSE(answer.complete);
  CHECK(answer.body == EventText(1) + EventText(2));
}

}  // namespace platform
