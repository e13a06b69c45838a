/// \file
/// Guards against hosts that pass on records with a gap, of another era, or in
/// answer to another question.

#include "platform/topic_tail.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

namespace platform {

using std::chrono::seconds;
using teaselhill::Result;
using teaselhill::TimePoint;

TEST_CASE("a tail passes on only what it knows") {
  TopicTail tail;
  const TimePoint now(seconds(50));
  ReadPage page;
  page.era = 2;
  page.end_offset = 12;
  page.records = {{10, "a", "1"}, {11, "b", std::nullopt}};
  tail.Add(10, page, now);
  struct Row {
    const char* name;
    uint64_t from;
    StoreEra era;
    std::optional<size_t> records;
  };
  const Row row = GENERATE(values<Row>({
      {"all", 10, 2, 2},
      {"the rest", 11, 2, 1},
      {"nothing new", 12, 2, 0},
      {"before the tail", 9, 2, std::nullopt},
      {"beyond its end", 13, 2, std::nullopt},
      {"an era that is not known here", 10, 3, std::nullopt},
      {"an era that has ended", 10, 1, 0},
  }));
  INFO(row.name);
  const auto shared = tail.PageFor({"t", row.from, row.era}, now + seconds(1));
  REQUIRE(shared.has_value() == row.records.has_value());
  if (!shared)
    return;
  CHECK(shared->records.size() == *row.records);
  CHECK(shared->shared_age == seconds(1));
  const TailQuery query = {"t", row.from, row.era};
  const std::string text = EncodeTailPage(query, *shared);
  // A late answer to an earlier question must not be taken for this one.
  CHECK_FALSE(DecodeTailPage({"other", row.from, row.era}, text));
  CHECK_FALSE(DecodeTailPage({"t", row.from + 1, row.era}, text));
  const Result<ReadPage> decoded = DecodeTailPage(query, text);
  REQUIRE(decoded);
  CHECK(decoded->era == 2);
  CHECK(decoded->end_offset == 12);
  CHECK(decoded->records.size() == *row.records);
}

TEST_CASE("a tail that missed records or met a new era begins anew") {
  TopicTail tail;
  const TimePoint now(seconds(50));
  ReadPage page;
  page.era = 1;
  page.end_offset = 11;
  page.records = {{10, "a", "1"}};
  tail.Add(10, page, now);
  ReadPage later = page;
  const bool new_era = GENERATE(true, false);
  CAPTURE(new_era);
  later.era = new_era ? 2 : 1;
  later.end_offset = 21;
  later.records = {{20, "b", "2"}};
  tail.Add(20, later, now);
  CHECK(tail.size() == 1);
  CHECK_FALSE(tail.PageFor({"t", 10, later.era}, now));
  // A page that is only a part does not tell that no others follow.
  TopicTail partial;
  page.end_offset = 30;
  partial.Add(10, page, now);
  CHECK_FALSE(partial.PageFor({"t", 10, 1}, now));
}

TEST_CASE("a page of a tail has a bounded size and leaves no gap") {
  TopicTail tail;
  ReadPage page;
  page.end_offset = 6;
  for (uint64_t offset = 0; offset < 6; ++offset)
    page.records.push_back({offset, "k", std::string(150 << 10, 'x')});
  tail.Add(0, page, TimePoint(seconds(50)));
  uint64_t next = 0;
  int pages = 0;
  while (next < 6) {
    const auto part = tail.PageFor({"t", next, 0}, TimePoint(seconds(50)));
    REQUIRE(part);
    REQUIRE_FALSE(part->records.empty());
    CHECK(part->records.size() <= 3);
    CHECK(part->records.front().offset == next);
    CHECK(part->end_offset == 6);
    next = part->records.back().offset + 1;
    ++pages;
  }
  CHECK(pages == 2);
}

TEST_CASE("a text that is no question or page is refused") {
  const std::string text = GENERATE(
      std::string(), std::string("{}"), std::string("\xa0", 1),
      std::string(1 << 12, '\x81'), EncodeTailQuery({"t", 1, 2}).substr(0, 9));
  CHECK_FALSE(DecodeTailQuery(text));
  CHECK_FALSE(DecodeTailPage({"t", 1, 2}, text));
}

}  // namespace platform
