/// \file
/// Guards against a draining or removed upstream that stays usable, a live one
/// that is removed after an outage of the source, and an old record that
/// overrides a newer one.

#include "teaselhill/gateway/upstream_directory.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

UpstreamRecord Ready(const std::string& id,
                     uint64_t offset,
                     uint64_t incarnation = 1) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = "10.0.0.1:80";
  entry.incarnation = incarnation;
  return {id, offset, entry};
}

UpstreamRecord Draining(const std::string& id,
                        uint64_t offset,
                        uint64_t incarnation = 1) {
  UpstreamRecord record = Ready(id, offset, incarnation);
  record.entry->draining = true;
  return record;
}

UpstreamRecord Removed(const std::string& id, uint64_t offset) {
  return {id, offset, std::nullopt};
}

std::string UsableIds(const UpstreamDirectory& directory) {
  std::string ids;
  const auto list = directory.BuildList();
  for (const UpstreamEntry& entry : list->OfService("s"))
    ids += entry.id;
  return ids;
}

}  // namespace

TEST_CASE("the upstream record with the highest offset is in force") {
  struct Row {
    const char* description;
    std::vector<UpstreamRecord> records;
    const char* usable;
  };
  const Row row = GENERATE(values<Row>({
      {"registered", {Ready("a", 0), Ready("b", 1)}, "ab"},
      {"draining", {Ready("a", 0), Draining("a", 1)}, ""},
      {"removed without draining", {Ready("a", 0), Removed("a", 1)}, ""},
      {"repeated record", {Ready("a", 0), Removed("a", 1), Ready("a", 0)}, ""},
      {"delayed record of a draining upstream",
       {Ready("a", 0), Draining("a", 1), Ready("a", 2)},
       ""},
      {"restart under the same id",
       {Ready("a", 0), Draining("a", 1), Ready("a", 2, 2)},
       "a"},
      {"unreadable entry",
       {Ready("a", 0), Ready("b", 1), Removed("a", 2)},
       "b"},
  }));
  CAPTURE(row.description);
  UpstreamDirectory directory;
  for (const UpstreamRecord& record : row.records)
    directory.ApplyRecord(record, TimePoint{});
  CHECK(UsableIds(directory) == row.usable);
}

TEST_CASE("a listing removes missing entries that have no newer record") {
  UpstreamDirectory directory;
  directory.ApplyRecord(Ready("a", 4), TimePoint{});
  directory.ApplyRecord(Ready("b", 9), TimePoint{});
  directory.ApplyListing({7, {Ready("c", 3)}}, TimePoint{});
  CHECK(UsableIds(directory) == "bc");
}

TEST_CASE(
    "an entry removed during an outage of the source stays usable for 2 s") {
  const bool reregisters = GENERATE(true, false);
  TimePoint now{};
  UpstreamDirectory directory;
  directory.ApplyRecord(Ready("a", 0), now);
  directory.OnSourceUnreachable(now);
  now += milliseconds(5000);
  directory.OnSourceReachable(now);
  directory.ApplyListing({2, {}}, now);
  now += milliseconds(1000);
  directory.ExpireRemoved(now);
  CHECK(UsableIds(directory) == "a");
  if (reregisters)
    directory.ApplyRecord(Ready("a", 3), now);
  now += milliseconds(1100);
  directory.ExpireRemoved(now);
  CHECK(UsableIds(directory) == (reregisters ? "a" : ""));
}

TEST_CASE("after a loss of records, older offsets and missing entries count") {
  TimePoint now{};
  UpstreamDirectory directory;
  for (const UpstreamRecord& record :
       {Ready("a", 10), Ready("b", 11), Ready("c", 12), Ready("d", 13),
        Removed("c", 14), Draining("d", 15)})
    directory.ApplyRecord(record, now);
  // The copy knows nothing of b, and not that c is gone and that d leaves.
  directory.ApplyListing(
      {9, {Ready("a", 6), Ready("c", 7), Ready("d", 8)}, true}, now);
  CHECK(UsableIds(directory) == "ab");
  // What was lost is written again, at offsets that were used before.
  directory.ApplyRecord(Draining("a", 9), now);
  CHECK(UsableIds(directory) == "b");
  directory.ApplyRecord(Ready("c", 10), now);
  CHECK(UsableIds(directory) == "bc");
  now += UpstreamDirectory::kReregistrationGrace;
  directory.ExpireRemoved(now);
  CHECK(UsableIds(directory) == "c");
}

TEST_CASE("a draining upstream has no grace period after an outage") {
  UpstreamDirectory directory;
  directory.ApplyRecord(Draining("a", 0), TimePoint{});
  directory.OnSourceUnreachable(TimePoint{});
  directory.OnSourceReachable(TimePoint{});
  directory.ApplyRecord(Removed("a", 1), TimePoint{});
  CHECK(UsableIds(directory).empty());
}

TEST_CASE("a change is reported once and a renewed entry is not a change") {
  UpstreamDirectory directory;
  directory.ApplyRecord(Ready("a", 0), TimePoint{});
  CHECK(directory.TakeChanged());
  directory.ApplyRecord(Ready("a", 1), TimePoint{});
  CHECK_FALSE(directory.TakeChanged());
  directory.ApplyRecord(Ready("a", 2, 7), TimePoint{});
  CHECK(directory.TakeChanged());
}

}  // namespace teaselhill::gateway
