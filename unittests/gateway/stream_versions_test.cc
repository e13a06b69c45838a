/// \file
/// Guards against streams that go on at another software version than the one
/// that began them, and against refusals although the version is known.

#include "teaselhill/gateway/stream_versions.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

using std::chrono::seconds;
using Kind = StreamAnswer::Kind;

const TimePoint kStart = TimePoint(std::chrono::hours(5));

UpstreamList ListOf(const std::set<std::string>& versions) {
  UpstreamList list;
  list.versions_by_service["llm"] = versions;
  return list;
}

StreamRecord Record(const std::string& attempt_id) {
  return {attempt_id, {"llm", "v1"}, seconds(30)};
}

}  // namespace

TEST_CASE("a stream goes on only at a version that is known to be its own") {
  const StreamAnswer recorded{Kind::kRecorded, {"llm", "v1"}};
  const StreamAnswer only_v1{Kind::kOnlyVersion, {"llm", "v1"}};
  const StreamAnswer only_v2{Kind::kOnlyVersion, {"llm", "v2"}};
  const StreamAnswer several{};
  struct Row {
    const char* name;
    StreamAnswer own;
    std::vector<StreamAnswer> peers;
    bool directory_current;
    const char* version;  ///< empty: refused
    const char* service = "llm";
  };
  const Row row = GENERATE_COPY(values<Row>({
      {"recorded here", recorded, {}, false, "v1"},
      {"recorded at a peer", several, {several, recorded}, false, "v1"},
      {"recorded at another service of the route",
       several,
       {{Kind::kRecorded, {"canary", "v1"}}},
       true,
       "v1",
       "canary"},
      {"recorded before a release", only_v2, {recorded}, true, "v1"},
      {"no record, several versions", several, {several}, true, ""},
      {"no record, one version", only_v1, {only_v1, only_v1}, true, "v1"},
      {"no record, a peer knows another",
       only_v1,
       {only_v1, several},
       true,
       ""},
      {"no record, a peer has another", only_v1, {only_v2}, true, ""},
      {"store away, peers agree", only_v1, {only_v1}, false, "v1"},
      {"alone, current list", only_v1, {}, true, "v1"},
      {"alone, old list", only_v1, {}, false, ""},
  }));
  INFO(row.name);
  const StreamOrigin origin =
      DecideStreamOrigin(row.own, row.peers, row.directory_current)
          .value_or(StreamOrigin{});
  CHECK(origin.version == row.version);
  CHECK(origin.service == (origin.version.empty() ? "" : row.service));
}

TEST_CASE(
    "a service has several versions until the streams of a past one end") {
  StreamVersions versions;
  versions.OnUpstreams(ListOf({"v1"}), kStart);
  CHECK(versions.Answer({"a", "llm"}, kStart).kind == Kind::kOnlyVersion);
  CHECK_FALSE(versions.HasSeveral("llm", kStart));
  versions.OnUpstreams(ListOf({"v1", "v2"}), kStart + seconds(5));
  CHECK(versions.Answer({"a", "llm"}, kStart + seconds(5)).kind ==
        Kind::kSeveralVersions);
  // The last upstream of v1 leaves after ten minutes.
  const TimePoint left_at = kStart + std::chrono::minutes(10);
  versions.OnUpstreams(ListOf({"v2"}), left_at);
  CHECK(versions.HasSeveral("llm", left_at + seconds(60)));
  const TimePoint later = left_at + StreamVersions::kVersionMemory;
  CHECK_FALSE(versions.HasSeveral("llm", later));
  CHECK(versions.Answer({"a", "llm"}, later).origin.version == "v2");
  CHECK(versions.Answer({"a", "unknown"}, later).kind ==
        Kind::kSeveralVersions);
}

TEST_CASE("streams from before a release are told when a version appears") {
  StreamVersions versions;
  versions.OnUpstreams(ListOf({"v1"}), kStart);
  versions.Remember(Record("own"), /*own=*/true, kStart);
  versions.Remember(Record("of-a-peer"), /*own=*/false, kStart);
  CHECK(versions.TakeServicesWithNewVersion().empty());
  versions.OnUpstreams(ListOf({"v1", "v2"}), kStart + seconds(10));
  CHECK(versions.TakeServicesWithNewVersion() ==
        std::vector<std::string>{"llm"});
  const std::vector<StreamRecord> records =
      versions.OwnRecords("llm", kStart + seconds(10));
  REQUIRE(records.size() == 1);
  CHECK(records[0].attempt_id == "own");
  CHECK(records[0].keep_for == seconds(20));
  // Further upstreams of the same versions are no news.
  versions.OnUpstreams(ListOf({"v1", "v2"}), kStart + seconds(11));
  CHECK(versions.TakeServicesWithNewVersion().empty());
}

TEST_CASE("records expire, and the oldest give way when there are too many") {
  StreamVersions versions;
  versions.Remember(Record("a"), /*own=*/true, kStart);
  CHECK(versions.Find("a", kStart + seconds(29))->version == "v1");
  CHECK_FALSE(versions.Find("a", kStart + seconds(30)));
  versions.Expire(kStart + seconds(30));
  CHECK(versions.size() == 0);
  for (size_t i = 0; i <= StreamVersions::kMaxRecords; ++i)
    versions.Remember(Record(std::to_string(i)), /*own=*/false, kStart);
  CHECK(versions.size() == StreamVersions::kMaxRecords);
  CHECK_FALSE(versions.Find("0", kStart));
  CHECK(versions.Find("1", kStart)->version == "v1");
}

}  // namespace teaselhill::gateway
