/// \file
/// Guards against a stream that ends as complete without an event, because the
/// event arrived beside one that could not be used.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

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

// The position of the stream must be that of its caller: events behind a wrong
// id would be left out, and an event without an id would come twice.
TEST_CASE("a stream goes on only from a position that is certain") {
  struct Position {
    const char* name;
    std::string events;
    /// Event after which the second upstream is asked to go on; nothing: the
    /// answer ends here, incomplete.
    std::optional<int> resumes_after;
    std::string passed_on;
  };
  const Position row = GENERATE(values<Position>({
      {"id that is too large, then a lower one",
       EventText(1) + EventText(7) + EventText(3),
       {},
       EventText(1) + EventText(7)},
      {"id that is too large, then the same",
       EventText(1) + EventText(7) + EventText(7),
       {},
       EventText(1) + EventText(7)},
      {"first id that is too large",
       EventText(7) + EventText(2),
       {},
       EventText(7)},
      {"event without an id behind one with an id",
       EventText(1) + EventText(2) + "i!: 3\ndata: x\n\n", 2,
       EventText(1) + EventText(2)},
      {"two events that have become one",
       EventText(1) + EventText(2) + "id: 3\ndata: x!\nid: 4\ndata: x\n\n", 2,
       EventText(1) + EventText(2)},
      {"line end that has become an end of the event",
       EventText(1) + EventText(2) + "id: 3\n\ndata: x\n\n",
       {},
       EventText(1) + EventText(2) + "id: 3\n\n"},
      {"comments have no id",
       EventText(1) + EventText(2) + ": alive\n\n" + "id: x\n\n", 2,
       EventText(1) + EventText(2) + ": alive\n\n"},
  }));
  INFO(row.name);
  GatewayFixture fixture(ResumableRoute(kTarget), ManyRetries());
  fixture.AddUpstream({{{{}, StreamHead() + Chunk(row.events)}}});
  const ScriptedUpstream& second =
      fixture.AddUpstream({{{{}, StreamHead() + Rest(3)}}});
  const ReceivedAnswer answer = fixture.Send();
  if (!row.resumes_after) {
    CHECK(answer.aborted);
    CHECK(answer.body == row.passed_on);
    return;
  }
  REQUIRE(second.requests().size() == 1);
  CHECK(Resumes(second.requests().front(), *row.resumes_after));
  CHECK(answer.complete);
  CHECK(answer.body == row.passed_on + EventText(3) + EventText(4));
}

TEST_CASE("a stream without ids does not begin again") {
  GatewayFixture fixture(ResumableRoute(kTarget), ManyRetries());
  fixture.AddUpstream(
      {{{{}, StreamHead() + Chunk("data: x\n\n")}, {milliseconds(20), ""}}});
  const ScriptedUpstream& second =
      fixture.AddUpstream({{{{}, StreamHead() + Rest(1)}}});
  const ReceivedAnswer answer = fixture.Send();
  CHECK(answer.aborted);
  CHECK(answer.body == "data: x\n\n");
  CHECK(second.requests().empty());
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
