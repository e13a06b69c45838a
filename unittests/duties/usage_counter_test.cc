/// \file
/// Guards against requests that are reported twice, or never, to one holder or
/// to the next one.

#include "teaselhill/duties/usage_counter.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "teaselhill/support/rng.h"

namespace teaselhill::duties {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

HostReport Ask(UsageCounter& counter,
               const HostReportQuery& query,
               TimePoint now) {
  HostReport report;
  counter.Report(query, now, &report);
  return report;
}

uint32_t SumOf(const HostReport& report) {
  uint32_t sum = 0;
  for (const UsageCount& count : report.usage)
    sum += count.requests;
  return sum;
}

}  // namespace

TEST_CASE("a count that can still grow is not reported") {
  UsageCounter counter(1);
  counter.Count("t", kStart, kStart);
  HostReport report = Ask(counter, {}, kStart);
  CHECK(report.usage.empty());
  CHECK(report.last_count == 0);
  counter.Count("t", kStart + milliseconds(5), kStart + milliseconds(5));
  report = Ask(counter, {}, kStart + UsageCounter::kBucket);
  REQUIRE(report.usage.size() == 1);
  CHECK(report.usage[0].requests == 2);
  CHECK(report.usage[0].age <= UsageCounter::kBucket);
}

TEST_CASE("a report has only what is newer than the last one") {
  struct Row {
    const char* name;
    HostReportQuery query;
    uint32_t requests;
  };
  const Row row = GENERATE(values<Row>({
      {"all", {}, 3},
      {"after the first", {1, 1}, 2},
      {"after the last", {1, 3}, 0},
      {"of an earlier start of the host", {2, 3}, 3},
      {"after one that does not exist", {1, 99}, 0},
  }));
  INFO(row.name);
  UsageCounter counter(1);
  for (int i = 0; i < 3; ++i)
    counter.Count("t", kStart + i * seconds(1), kStart + i * seconds(1));
  const HostReport report = Ask(counter, row.query, kStart + seconds(3));
  CHECK(SumOf(report) == row.requests);
  CHECK(report.last_count == 3);
  CHECK(report.incarnation == 1);
}

TEST_CASE("a request that is known late has the time at which it began") {
  UsageCounter counter(1);
  counter.Count("t", kStart, kStart);
  HostReport report = Ask(counter, {}, kStart + seconds(2));
  counter.Count("t", kStart, kStart + seconds(3));
  report = Ask(counter, {1, report.last_count}, kStart + seconds(4));
  REQUIRE(report.usage.size() == 1);
  CHECK(report.usage[0].age > seconds(4) - UsageCounter::kBucket);
  CHECK(report.usage[0].age <= seconds(4));
}

TEST_CASE("counts are kept for the next holder, and not for ever") {
  UsageCounter counter(1);
  counter.Count("t", kStart, kStart);
  CHECK(SumOf(Ask(counter, {}, kStart + seconds(29))) == 1);
  CHECK(SumOf(Ask(counter, {}, kStart + seconds(29))) == 1);
  CHECK(SumOf(Ask(counter, {}, kStart + seconds(31))) == 0);
}

TEST_CASE("each request reaches a holder once, whenever it asks") {
  rc::check([](uint64_t seed) {
    Rng rng(seed);
    UsageCounter counter(7);
    std::map<std::string, uint32_t> counted;
    std::map<std::string, uint32_t> reported;
    HostReportQuery query;
    TimePoint now = kStart;
    for (int i = 0; i < 500; ++i) {
      now += milliseconds(rng.Below(30));
      const std::string team = "t" + std::to_string(rng.Below(3));
      counter.Count(team, now - milliseconds(rng.Below(2) * 400), now);
      ++counted[team];
      if (rng.Below(20) != 0 && i != 499)
        continue;
      const TimePoint asked_at = i == 499 ? now + UsageCounter::kBucket : now;
      const HostReport report = Ask(counter, query, asked_at);
      for (const UsageCount& count : report.usage)
        reported[count.team] += count.requests;
      query = {report.incarnation, report.last_count};
    }
    RC_ASSERT(counted == reported);
  });
}

}  // namespace teaselhill::duties
