/// \file
/// Guards hosts that all restart at once: a listing that begins anew with each
/// lost page, changes missed between its pages, and a topic that was set back.

#include "platform/topic_cursor.h"

#include <catch2/catch.hpp>

namespace platform {

namespace {

KeyedRecord RecordOf(const std::string& key, uint64_t offset) {
  return {offset, key, "value"};
}

ReadPage PageOf(uint64_t end, const std::vector<uint64_t>& offsets) {
  ReadPage page;
  page.end = end;
  for (uint64_t offset : offsets)
    page.records.push_back(RecordOf("k", offset));
  return page;
}

TopicCursor Listed(uint64_t end) {
  TopicCursor cursor;
  REQUIRE(cursor.OnPage({end, false, {RecordOf("a", 1)}}));
  return cursor;
}

}  // namespace

TEST_CASE("a listing goes on after its last page when a call fails") {
  TopicCursor cursor;
  CHECK(cursor.after().empty());
  CHECK_FALSE(cursor.OnPage({40, true, {RecordOf("a", 3), RecordOf("b", 9)}}));
  // The next call is lost: the same page is asked for again.
  for (int call = 0; call < 2; ++call) {
    CHECK(cursor.listing());
    CHECK(cursor.after() == "b");
  }
  const auto listing = cursor.OnPage({47, false, {RecordOf("c", 45)}});
  REQUIRE(listing);
  CHECK(listing->records.size() == 3);
  // What changed after the first page is read again.
  CHECK(listing->end == 40);
  CHECK_FALSE(cursor.listing());
  CHECK(cursor.from() == 40);
}

TEST_CASE("an empty topic is listed whole") {
  TopicCursor cursor;
  const auto listing = cursor.OnPage({0, false, {}});
  REQUIRE(listing);
  CHECK(listing->records.empty());
  CHECK(cursor.from() == 0);
}

TEST_CASE("a listing begins anew when the topic was set back between pages") {
  TopicCursor cursor;
  CHECK_FALSE(cursor.OnPage({40, true, {RecordOf("a", 3)}}));
  CHECK_FALSE(cursor.OnPage({12, false, {RecordOf("b", 5)}}));
  CHECK(cursor.listing());
  CHECK(cursor.after().empty());
}

struct ReadRow {
  std::string name;
  ReadPage page;
  bool more;
  bool listing;
  uint64_t from;
};

TEST_CASE("reads move the cursor behind what was read") {
  const ReadRow row = GENERATE(values<ReadRow>({
      {"nothing new", PageOf(10, {}), false, false, 10},
      {"all that is there", PageOf(12, {10, 11}), false, false, 12},
      {"part of what is there", PageOf(20, {10, 11}), true, false, 12},
      {"set back", PageOf(4, {}), true, true, 10},
  }));
  CAPTURE(row.name);
  TopicCursor cursor = Listed(10);
  CHECK(cursor.OnRead(row.page) == row.more);
  CHECK(cursor.listing() == row.listing);
  CHECK(cursor.from() == row.from);
}

TEST_CASE("dropped records are made up for by a new listing") {
  TopicCursor cursor = Listed(10);
  cursor.Restart();
  CHECK(cursor.listing());
  CHECK(cursor.after().empty());
  REQUIRE(cursor.OnPage({30, false, {RecordOf("a", 29)}}));
  CHECK(cursor.from() == 30);
}

}  // namespace platform
