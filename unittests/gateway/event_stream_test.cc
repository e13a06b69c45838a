/// \file
/// Guards resumed event streams against partial events that reach the caller,
/// and against missing or duplicate events.

#include "teaselhill/gateway/event_stream.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

TEST_CASE(
    "events are passed on whole and unchanged for any chunking of the input") {
  rc::prop("any chunk sizes", [] {
    std::string text;
    const int events = *rc::gen::inRange(1, 12);
    const std::string line_end = *rc::gen::element<std::string>("\n", "\r\n");
    for (int i = 1; i <= events; ++i)
      text += "id: " + std::to_string(i) + line_end + "data: x" + line_end +
              line_end;
    EventStream stream(std::nullopt);
    std::string passed_on;
    for (size_t begin = 0; begin < text.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, text.size() - begin + 1);
      const ParsedEvents whole = stream.Append(text.substr(begin, size));
      RC_ASSERT(!whole.fault);
      passed_on += whole.complete;
      RC_ASSERT(text.compare(0, passed_on.size(), passed_on) == 0);
      begin += size;
    }
    RC_ASSERT(passed_on == text);
    RC_ASSERT(stream.at_boundary());
    RC_ASSERT(stream.last_event_id() == static_cast<uint64_t>(events));
  });
}

TEST_CASE("an event id that is not greater than the previous one is an error") {
  struct Row {
    std::optional<uint64_t> last_event_id;
    const char* data;
    bool valid;
  };
  const Row row = GENERATE(values<Row>({
      {std::nullopt, "id: 0\ndata: a\n\n", true},
      {std::nullopt, "id: 5\n\nid: 5\n\n", false},
      {std::nullopt, "id: 5\n\nid: 6\n\n", true},
      {std::nullopt, "id: 5\n\nid: 4\n\n", false},
      {4, "id: 5\n\n", true},
      {4, "id: 4\n\n", false},
      {std::nullopt, "id: x\n\n", false},
      {std::nullopt, "data: without id\n\n", true},
  }));
  CAPTURE(row.data);
  EventStream stream(row.last_event_id);
  CHECK(!stream.Append(row.data).fault == row.valid);
}

// Guards against an event without end that arrives in small pieces and holds up
// all traffic, because each piece is searched together with all before it.
TEST_CASE("the work on a long event grows with its size") {
  const auto append_all = [](size_t bytes) {
    const std::string piece = "more of the same ";
    EventStream stream(std::nullopt);
    const TimePoint start = SteadyNow();
    for (size_t sent = 0; sent < bytes; sent += piece.size())
      CHECK_FALSE(stream.Append(piece).fault);
    return ToSeconds(SteadyNow() - start);
  };
  append_all(64 << 10);
  const double quarter = append_all(256 << 10);
  // Work that grows with the square of the size takes 16 times as long.
  CHECK(append_all(1020 << 10) < 10 * quarter);
}

TEST_CASE("a partial event is discarded before the stream is resumed") {
  EventStream stream(std::nullopt);
  CHECK(stream.Append("id: 1\ndata: a\n\nid: 2\nda").complete ==
        "id: 1\ndata: a\n\n");
  CHECK_FALSE(stream.at_boundary());
  stream.DiscardPartial();
  CHECK(stream.last_event_id() == 1u);
  CHECK(stream.Append("id: 2\ndata: b\n\n").complete == "id: 2\ndata: b\n\n");
}

// Guards against a resumed stream without an event: the position was past an
// event that was dropped together with the spoilt one behind it.
TEST_CASE("the position of a stream is that of the events that were returned") {
  struct Row {
    const char* name;
    std::string spoilt;
  };
  const Row row = GENERATE(values<Row>({
      {"id is no number", "id: x\n\n"},
      {"id does not grow", "id: 2\n\n"},
      {"event without end", std::string((1 << 20) + 1, 'x')},
  }));
  INFO(row.name);
  const std::string sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  EventStream stream(std::nullopt);
  const ParsedEvents events = stream.Append(sound + row.spoilt);
  CHECK(events.fault);
  CHECK(events.complete == sound);
  CHECK(stream.last_event_id() == 2u);
  CHECK(stream.event_count() == 2);
}

}  // namespace teaselhill::gateway
