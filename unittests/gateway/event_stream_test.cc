/// \file
/// Guards resumed event streams against partial events that reach the caller,
/// and against missing or duplicate events.

#include "teaselhill/gateway/event_stream.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace teaselhill::gateway {

TEST_CASE(
    "events are passed on whole and unchanged for any chunking of the input") {
  rc::prop("any chunk sizes", [] {
    std::string text;
    const int events = *rc::gen::inRange(1, 12);
    const std::string line = *rc::gen::element<std::string>("\n", "\r\n");
    for (int i = 1; i <= events; ++i)
      text += "id: " + std::to_string(i) + line + "data: x" + line + line;
    EventStream stream(std::nullopt);
    std::string passed;
    for (size_t begin = 0; begin < text.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, text.size() - begin + 1);
      const Result<std::string> whole = stream.Feed(text.substr(begin, size));
      RC_ASSERT(whole.ok());
      passed += *whole;
      RC_ASSERT(text.compare(0, passed.size(), passed) == 0);
      begin += size;
    }
    RC_ASSERT(passed == text);
    RC_ASSERT(stream.at_boundary());
    RC_ASSERT(stream.last_id() == static_cast<uint64_t>(events));
  });
}

TEST_CASE("an event id that is not greater than the previous one is an error") {
  struct Row {
    std::optional<uint64_t> last;
    const char* data;
    bool good;
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
  EventStream stream(row.last);
  CHECK(stream.Feed(row.data).ok() == row.good);
}

TEST_CASE("a partial event is discarded before the stream is resumed") {
  EventStream stream(std::nullopt);
  CHECK(*stream.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK_FALSE(stream.at_boundary());
  stream.DropPartial();
  CHECK(stream.last_id() == 1u);
  CHECK(*stream.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

}  // namespace teaselhill::gateway
