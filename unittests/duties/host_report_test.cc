/// \file
/// Guards against reports of hosts that lose rows, and against bytes of another
/// sender that end the process or give wrong counts.

#include "teaselhill/duties/host_report.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "teaselhill/duties/report_cursors.h"
#include "teaselhill/duties/work_counter.h"

namespace teaselhill::duties {

namespace {

using std::chrono::milliseconds;

std::string ToCbor(const nlohmann::json& object) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(object);
  return {bytes.begin(), bytes.end()};
}

nlohmann::json ValidReport() {
  return {{"host", "h"},
          {"incarnation", 3u},
          {"last_count", 7u},
          {"usage", {{"t", {20u, 1u}}}},
          {"work", nlohmann::json::array()}};
}

HostReport FullReport() {
  HostReport report;
  report.host = "host-1";
  report.incarnation = ~uint64_t{0};
  report.last_count = 12;
  report.usage = {{"a", milliseconds(30), 4},
                  {"a", milliseconds(10), 1},
                  {"b", milliseconds(10), 2}};
  EngineWork work;
  work.service = "s";
  work.domain = "d";
  work.tier = 2;
  work.requests = 1;
  work.prompt_tokens = uint64_t{1} << 40;
  work.generated_tokens = 3;
  work.running = 4;
  work.waiting = 5;
  work.started = 6;
  work.started_late = 7;
  work.refused = 8;
  report.work = {work};
  return report;
}

}  // namespace

TEST_CASE("a report of a host arrives whole") {
  const Result<HostReport> read =
      DecodeHostReport(EncodeHostReport(FullReport()));
  REQUIRE(read);
  CHECK(read->host == "host-1");
  CHECK(read->incarnation == ~uint64_t{0});
  CHECK(read->last_count == 12);
  REQUIRE(read->usage.size() == 3);
  CHECK(read->usage[0].team == "a");
  CHECK(read->usage[0].age == milliseconds(30));
  CHECK(read->usage[0].requests == 4);
  CHECK(read->usage[2].team == "b");
  REQUIRE(read->work.size() == 1);
  const EngineWork& work = read->work[0];
  CHECK(work.service == "s");
  CHECK(work.domain == "d");
  CHECK(work.tier == 2);
  CHECK(work.requests == 1);
  CHECK(work.prompt_tokens == uint64_t{1} << 40);
  CHECK(work.generated_tokens == 3);
  CHECK(work.running == 4);
  CHECK(work.waiting == 5);
  CHECK(work.started == 6);
  CHECK(work.started_late == 7);
  CHECK(work.refused == 8);
}

// Guards usage windows that lack the counts of each host that has refused a
// request: what is refused before an engine is chosen has no failure domain.
TEST_CASE("a report with requests that the host refused arrives whole") {
  WorkCounter counter;
  counter.OnRefused("s", 1);
  HostReport report = FullReport();
  report.work = counter.TakeWork(TimePoint{std::chrono::hours(1)});
  REQUIRE(report.work.size() == 1);
  const Result<HostReport> read = DecodeHostReport(EncodeHostReport(report));
  REQUIRE(read);
  CHECK(read->usage.size() == 3);
  REQUIRE(read->work.size() == 1);
  CHECK(read->work[0].service == "s");
  CHECK(read->work[0].domain.empty());
  CHECK(read->work[0].refused == 1);
}

TEST_CASE("a query arrives whole") {
  const auto read = DecodeHostReportQuery(EncodeHostReportQuery({5, 9}));
  REQUIRE(read);
  CHECK(read->incarnation == 5);
  CHECK(read->after_count == 9);
}

TEST_CASE("an unreadable report is refused") {
  struct Row {
    const char* name;
    const char* pointer;
    nlohmann::json value;
  };
  const Row row = GENERATE(values<Row>({
      {"negative count", "/usage/t/1", -1},
      {"fraction as a count", "/usage/t/1", 1.5},
      {"count beyond 32 bits", "/usage/t/1", uint64_t{1} << 32},
      {"age of a year", "/usage/t/0", uint64_t{365} * 24 * 3600 * 1000},
      {"age without a count", "/usage/t", {20u}},
      {"list instead of a map", "/usage", {1u}},
      {"control character in a name", "/host", "a\nb"},
      {"empty name", "/host", ""},
      {"text as incarnation", "/incarnation", "3"},
      {"work without fields", "/work", {nlohmann::json::object()}},
      {"control character in a domain",
       "/work",
       {nlohmann::json{{"service", "s"},
                       {"domain", "a\nb"},
                       {"tier", 0u},
                       {"requests", 0u},
                       {"prompt_tokens", 0u},
                       {"generated_tokens", 0u},
                       {"running", 0u},
                       {"waiting", 0u},
                       {"started", 0u},
                       {"started_late", 0u},
                       {"refused", 0u}}}},
  }));
  INFO(row.name);
  nlohmann::json object = ValidReport();
  REQUIRE(DecodeHostReport(ToCbor(object)));
  object[nlohmann::json::json_pointer(row.pointer)] = row.value;
  const Result<HostReport> read = DecodeHostReport(ToCbor(object));
  REQUIRE_FALSE(read);
  CHECK(read.error().code == ResultCode::kProtocolError);
}

TEST_CASE("foreign bytes do not end the process") {
  rc::check([] {
    std::string bytes = EncodeHostReport(FullReport());
    const auto changes = *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(bytes.size())),
                      rc::gen::arbitrary<char>()));
    for (const auto& [position, byte] : changes)
      bytes[static_cast<size_t>(position)] = byte;
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto report = DecodeHostReport(bytes);
    const auto query = DecodeHostReportQuery(bytes);
    RC_ASSERT(report.ok() || !report.ok());
    RC_ASSERT(query.ok() || !query.ok());
  });
}

TEST_CASE("an answer that comes twice is used once") {
  ReportCursors cursors;
  HostReport report;
  report.host = "h";
  report.incarnation = 1;
  report.last_count = 5;
  const HostReportQuery first = cursors.QueryFor("h");
  CHECK(first.after_count == 0);
  CHECK(cursors.Accept("h", first, report));
  CHECK_FALSE(cursors.Accept("h", first, report));
  const HostReportQuery second = cursors.QueryFor("h");
  CHECK(second.incarnation == 1);
  CHECK(second.after_count == 5);
  // Its address now belongs to another host.
  report.host = "other";
  CHECK_FALSE(cursors.Accept("h", second, report));
  cursors.Clear();
  CHECK(cursors.QueryFor("h").incarnation == 0);
}

}  // namespace teaselhill::duties
