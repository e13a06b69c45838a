/// \file
/// Guards against a listing that starts over after each lost page, changes that
/// are missed between pages, and a topic that was reset to an earlier offset.

#include "platform/topic_cursor.h"

#include <catch2/catch.hpp>

namespace platform {

namespace {

KeyedRecord RecordOf(const std::string& key, uint64_t offset) {
  return {offset, key, "value"};
}

ReadPage PageOf(uint64_t end, const std::vector<uint64_t>& offsets) {
  ReadPage page;
  page.end_offset = end;
  for (uint64_t offset : offsets)
    page.records.push_back(RecordOf("k", offset));
  return page;
}

TopicCursor ListedCursor(uint64_t end) {
  TopicCursor cursor;
  REQUIRE(cursor.AddListPage({end, false, {RecordOf("a", 1)}}));
  return cursor;
}

}  // namespace

TEST_CASE("a listing continues after its last page if a request fails") {
  TopicCursor cursor;
  CHECK(cursor.last_listed_key().empty());
  CHECK_FALSE(
      cursor.AddListPage({40, true, {RecordOf("a", 3), RecordOf("b", 9)}}));
  // The next request fails: the same page is requested again.
  for (int call = 0; call < 2; ++call) {
    CHECK(cursor.listing());
    CHECK(cursor.last_listed_key() == "b");
  }
  const auto listing = cursor.AddListPage({47, false, {RecordOf("c", 45)}});
  REQUIRE(listing);
  CHECK(listing->records.size() == 3);
  // Records written after the first page are read again.
  CHECK(listing->end_offset == 40);
  CHECK_FALSE(cursor.listing());
  CHECK(cursor.next_offset() == 40);
}

TEST_CASE("the listing of an empty topic is complete") {
  TopicCursor cursor;
  const auto listing = cursor.AddListPage({0, false, {}});
  REQUIRE(listing);
  CHECK(listing->records.empty());
  CHECK(cursor.next_offset() == 0);
}

TEST_CASE("a listing starts over if the topic was reset between pages") {
  TopicCursor cursor;
  CHECK_FALSE(cursor.AddListPage({40, true, {RecordOf("a", 3)}}));
  CHECK_FALSE(cursor.AddListPage({12, false, {RecordOf("b", 5)}}));
  CHECK(cursor.listing());
  CHECK(cursor.last_listed_key().empty());
}

TEST_CASE(
    "a store that has lost records is listed again, whatever its offsets") {
  TopicCursor cursor;
  REQUIRE(cursor.AddListPage({30, false, {RecordOf("a", 29)}, 4}));
  // The offsets from 28 on were given out again.
  ReadPage page = PageOf(32, {30, 31});
  page.era = GENERATE(StoreEra{4}, StoreEra{5}, StoreEra{0});
  const bool records_lost = page.era == 5;
  CHECK(cursor.AddReadPage(page) == records_lost);
  CHECK(cursor.listing() == records_lost);
  if (!records_lost)
    return;
  const auto listing = cursor.AddListPage({33, false, {RecordOf("a", 28)}, 5});
  REQUIRE(listing);
  CHECK(listing->records_lost);
  cursor.RestartListing();
  CHECK_FALSE(
      cursor.AddListPage({33, false, {RecordOf("a", 28)}, 5})->records_lost);
}

TEST_CASE("a listing starts over if records are lost between its pages") {
  TopicCursor cursor;
  CHECK_FALSE(cursor.AddListPage({40, true, {RecordOf("a", 3)}, 1}));
  CHECK_FALSE(cursor.AddListPage({41, false, {RecordOf("b", 5)}, 2}));
  CHECK(cursor.last_listed_key().empty());
  CHECK(cursor.AddListPage({41, false, {RecordOf("a", 3)}, 2})->records_lost);
}

struct ReadRow {
  std::string name;
  ReadPage page;
  bool more;
  bool listing;
  uint64_t next_offset;
};

TEST_CASE("a read advances the cursor past the records it returned") {
  const ReadRow row = GENERATE(values<ReadRow>({
      {"nothing new", PageOf(10, {}), false, false, 10},
      {"all available records", PageOf(12, {10, 11}), false, false, 12},
      {"some of the available records", PageOf(20, {10, 11}), true, false, 12},
      {"topic reset", PageOf(4, {}), true, true, 10},
  }));
  CAPTURE(row.name);
  TopicCursor cursor = ListedCursor(10);
  CHECK(cursor.AddReadPage(row.page) == row.more);
  CHECK(cursor.listing() == row.listing);
  CHECK(cursor.next_offset() == row.next_offset);
}

TEST_CASE("a new listing replaces records that are no longer retained") {
  TopicCursor cursor = ListedCursor(10);
  cursor.RestartListing();
  CHECK(cursor.listing());
  CHECK(cursor.last_listed_key().empty());
  REQUIRE(cursor.AddListPage({30, false, {RecordOf("a", 29)}}));
  CHECK(cursor.next_offset() == 30);
}

}  // namespace platform
