/// \file
/// Guards against hosts that the holder of the duties does not ask, asks too
/// often, or whose answers it uses twice or after it has lost the duties.

#include "teaselhill/gateway/duty_poller.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

namespace {

using duties::HostReport;
using duties::HostReportQuery;
using duties::UsageCounter;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The calls of one poller, which the test answers.
class RecordedCalls : public PeerCalls {
 public:
  struct Call {
    std::string address;
    HostReportQuery query;
    CallCallback callback;
  };

  void Serve(const std::string& path, CallHandler handler) override {
    CHECK(path == DutyPoller::kPath);
    served = std::move(handler);
  }
  void Call(const std::string& address,
            const std::string& path,
            std::string body,
            Duration timeout,
            CallCallback callback) override {
    CHECK(path == DutyPoller::kPath);
    CHECK(timeout == DutyPoller::kTimeout);
    calls.push_back(
        {address, *duties::DecodeHostReportQuery(body), std::move(callback)});
  }

  CallHandler served;
  std::vector<struct Call> calls;
};

class RecordingHandler : public duties::HostReportHandler {
 public:
  void OnHostReport(const HostReport& report, TimePoint) override {
    reports.push_back(report);
  }
  std::vector<HostReport> reports;
};

/// Polls need nothing of the platform.
class NoContext : public duties::DutyContext {
 public:
  void Keep(std::string_view,
            std::string,
            std::function<void(Status)>) override {
    FAIL("kept a text");
  }
  Status ReportUsage(const duties::UsageReport&,
                     duties::PlatformApi::Callback) override {
    return {ResultCode::kInternal, "not expected"};
  }
  Status OrderServers(const duties::PoolOrder&,
                      duties::PlatformApi::Callback) override {
    return {ResultCode::kInternal, "not expected"};
  }
};

struct Fixture {
  explicit Fixture(int hosts) {
    std::vector<HostRecord> records;
    for (int i = 0; i < hosts; ++i)
      records.push_back({"h" + std::to_string(i),
                         {},
                         "address-" + std::to_string(i),
                         "",
                         "d"});
    // The own record, and a host that cannot be called.
    records.push_back({"own", {}, "address-own", "", "d"});
    records.push_back({"without", {}, "", "", "d"});
    poller.OnHosts(records);
    poller.AddHandler(handler);
  }

  void Acquire(DutyPoller& acquiring) {
    acquiring.OnAcquired(context, {}, timers.Now());
  }

  static std::string AnswerOf(const std::string& host,
                              uint64_t last_count,
                              uint32_t requests) {
    HostReport report;
    report.host = host;
    report.incarnation = 5;
    report.last_count = last_count;
    report.usage = {{"t", milliseconds(100), requests}};
    return duties::EncodeHostReport(report);
  }

  NullLogger logger;
  EventLog log{logger};
  ManualTimerService timers;
  RecordedCalls calls;
  UsageCounter counter{3};
  RecordingHandler handler;
  NoContext context;
  DutyPoller poller{calls, timers, log, "own", {&counter, nullptr}, [this] {
                      return timers.Now();
                    }};
};

}  // namespace

TEST_CASE("the holder asks each host once a second, spread over it") {
  const int hosts = GENERATE(1, 30, 300);
  Fixture fixture(hosts);
  fixture.timers.Advance(seconds(2));
  CHECK(fixture.calls.calls.empty());
  fixture.Acquire(fixture.poller);
  size_t most_at_once = 0;
  for (int tick = 0; tick < 60; ++tick) {
    const size_t before = fixture.calls.calls.size();
    fixture.timers.Advance(milliseconds(50));
    most_at_once = std::max(most_at_once, fixture.calls.calls.size() - before);
  }
  std::map<std::string, int> asked;
  for (const auto& call : fixture.calls.calls)
    ++asked[call.address];
  CHECK(asked.size() == static_cast<size_t>(hosts));
  for (const auto& [address, times] : asked)
    CHECK(times == 3);
  CHECK(most_at_once <= static_cast<size_t>(1 + hosts / 5));
  CHECK(fixture.handler.reports.size() == 3);
  fixture.poller.OnLost({});
  fixture.calls.calls.clear();
  fixture.timers.Advance(seconds(2));
  CHECK(fixture.calls.calls.empty());
}

TEST_CASE("each host is asked once after the holder stood still") {
  Fixture fixture(30);
  fixture.Acquire(fixture.poller);
  TimePoint now{};
  // A poller whose timers are late by seconds.
  DutyPoller late(fixture.calls, fixture.timers, fixture.log, "own", {},
                  [&now] { return now; });
  late.OnHosts({{"h0", {}, "a0", "", "d"}, {"h1", {}, "a1", "", "d"}});
  fixture.Acquire(late);
  fixture.poller.OnLost({});
  fixture.calls.calls.clear();
  now += seconds(7);
  fixture.timers.Advance(milliseconds(50));
  CHECK(fixture.calls.calls.size() == 2);
  fixture.timers.Advance(milliseconds(50));
  CHECK(fixture.calls.calls.size() == 2);
}

TEST_CASE("an answer is used once and moves the next question on") {
  struct Row {
    const char* name;
    int answers;
    bool lost;
    size_t reports;
    uint64_t next_after;
  };
  const Row row = GENERATE(values<Row>({
      {"one answer", 1, false, 1, 9},
      {"the same answer twice", 2, false, 1, 9},
      {"no answer", 1, true, 0, 0},
  }));
  INFO(row.name);
  Fixture fixture(1);
  fixture.Acquire(fixture.poller);
  fixture.timers.Advance(seconds(1));
  REQUIRE(fixture.calls.calls.size() == 1);
  fixture.handler.reports.clear();
  CHECK(fixture.calls.calls[0].query.after_count == 0);
  for (int i = 0; i < row.answers; ++i) {
    if (row.lost)
      fixture.calls.calls[0].callback({ResultCode::kTimedOut, "timeout"});
    else
      fixture.calls.calls[0].callback(Fixture::AnswerOf("h0", 9, 2));
  }
  CHECK(fixture.handler.reports.size() == row.reports);
  fixture.timers.Advance(seconds(1));
  REQUIRE(fixture.calls.calls.size() == 2);
  CHECK(fixture.calls.calls[1].query.after_count == row.next_after);
}

TEST_CASE("an answer of another host or another holding is not used") {
  Fixture fixture(1);
  fixture.Acquire(fixture.poller);
  fixture.timers.Advance(seconds(1));
  REQUIRE(fixture.calls.calls.size() == 1);
  const auto call = fixture.calls.calls[0];
  fixture.handler.reports.clear();
  SECTION("another host at its address") {
    call.callback(Fixture::AnswerOf("h7", 9, 2));
  }
  SECTION("not a report") {
    call.callback(std::string("\xff\xff"));
  }
  SECTION("after the duties were lost") {
    fixture.poller.OnLost({});
    call.callback(Fixture::AnswerOf("h0", 9, 2));
  }
  SECTION("after the duties were lost and taken again") {
    fixture.poller.OnLost({});
    fixture.Acquire(fixture.poller);
    call.callback(Fixture::AnswerOf("h0", 9, 2));
    fixture.calls.calls.clear();
    fixture.timers.Advance(seconds(1));
    REQUIRE(fixture.calls.calls.size() == 1);
    CHECK(fixture.calls.calls[0].query.after_count == 0);
    for (const HostReport& report : fixture.handler.reports)
      CHECK(report.host == "own");
    return;
  }
  CHECK(fixture.handler.reports.empty());
}

TEST_CASE("a count is older by half of the time that its report took") {
  Fixture fixture(1);
  fixture.Acquire(fixture.poller);
  while (fixture.calls.calls.empty())
    fixture.timers.Advance(milliseconds(50));
  fixture.handler.reports.clear();
  fixture.timers.Advance(milliseconds(200));
  const size_t own = fixture.handler.reports.size();
  fixture.calls.calls[0].callback(Fixture::AnswerOf("h0", 9, 2));
  REQUIRE(fixture.handler.reports.size() == own + 1);
  CHECK(fixture.handler.reports[own].usage[0].age == milliseconds(200));
}

TEST_CASE("each host answers with what it counted") {
  Fixture fixture(0);
  fixture.counter.Count("t", fixture.timers.Now(), fixture.timers.Now());
  fixture.timers.Advance(seconds(1));
  const auto body = fixture.calls.served(duties::EncodeHostReportQuery({0, 0}));
  REQUIRE(body);
  const auto report = duties::DecodeHostReport(*body);
  REQUIRE(report);
  CHECK(report->host == "own");
  CHECK(report->incarnation == 3);
  REQUIRE(report->usage.size() == 1);
  CHECK(report->usage[0].requests == 1);
  CHECK_FALSE(fixture.calls.served("no query"));
}

TEST_CASE("the work of the host is told with its counts") {
  class Work : public duties::WorkSource {
   public:
    std::vector<duties::EngineWork> TakeWork(TimePoint) override {
      duties::EngineWork work;
      work.service = "s";
      work.domain = "d";
      work.requests = 4;
      return {work};
    }
  } work;
  Fixture fixture(0);
  const DutyPoller poller(fixture.calls, fixture.timers, fixture.log, "own",
                          {nullptr, &work});
  const auto body = fixture.calls.served(duties::EncodeHostReportQuery({}));
  REQUIRE(body);
  const auto report = duties::DecodeHostReport(*body);
  REQUIRE(report);
  REQUIRE(report->work.size() == 1);
  CHECK(report->work[0].requests == 4);
}

}  // namespace teaselhill::gateway
