/// \file
/// Guards against engines that no host polls, load reports that become too old
/// to use, and messages that exceed the byte budget.

#include "teaselhill/routing/report_sharing.h"

#include <catch2/catch.hpp>

#include "testing.h"

namespace teaselhill::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> MakeNames(const std::string& prefix, int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

/// Returns one `ReportSharing` per host, all with the same view.
std::vector<ReportSharing> MakeFleet(const std::vector<std::string>& hosts,
                                     int engines) {
  std::vector<ReportSharing> fleet;
  for (const std::string& self : hosts) {
    std::vector<std::string> peers;
    for (const std::string& host : hosts) {
      if (host != self)
        peers.push_back(host);
    }
    fleet.emplace_back(self, ReportSharingOptions{});
    fleet.back().SetEngines(MakeNames("e", engines));
    fleet.back().SetPeers(peers);
  }
  return fleet;
}

}  // namespace

// Guards against an engine without a poller, and against a change of hosts that
// moves engines between the remaining hosts.
TEST_CASE(
    "each engine has one poller and a removed host moves few other engines") {
  struct Row {
    int hosts;
    int engines;
    size_t pollers;
  };
  const auto row =
      GENERATE(values<Row>({{1, 40, 1}, {5, 6, 5}, {5, 7, 1}, {29, 315, 1}}));
  const std::vector<std::string> hosts = MakeNames("h", row.hosts);
  const auto fleet = MakeFleet(hosts, row.engines);
  const auto fewer = MakeFleet({hosts.begin() + 1, hosts.end()}, row.engines);
  size_t moved = 0;
  for (const std::string& engine : MakeNames("e", row.engines)) {
    size_t pollers = 0;
    for (size_t i = 0; i < fleet.size(); ++i) {
      const bool polls = fleet[i].polled_engines().count(engine) > 0;
      pollers += polls;
      moved +=
          i > 0 && polls && fewer[i - 1].polled_engines().count(engine) == 0;
    }
    CHECK(pollers == row.pollers);
  }
  CHECK(moved <= static_cast<size_t>(row.engines) / 20);
  for (const ReportSharing& sharing : fleet)
    CHECK(sharing.polled_engines().size() * row.hosts <=
          1.3 * row.engines * row.pollers + row.hosts);
}

// Guards against poll traffic that grows with the failure domain, and against a
// single remaining host whose reports become too old to use.
TEST_CASE("the poll period grows with the number of engines up to a bound") {
  struct Row {
    int hosts;
    int engines;
    Duration min_period;
    Duration max_period;
  };
  const auto row = GENERATE(values<Row>({
      {2, 6, milliseconds(500), milliseconds(500)},
      {1, 315, seconds(5), seconds(5)},
      {29, 315, milliseconds(1000), milliseconds(3500)},
  }));
  for (const ReportSharing& sharing :
       MakeFleet(MakeNames("h", row.hosts), row.engines)) {
    CHECK(sharing.PollPeriod(milliseconds(500)) >= row.min_period);
    CHECK(sharing.PollPeriod(milliseconds(500)) <= row.max_period);
  }
}

// Guards against messages that exceed the byte budget, and against reports
// older than the 15 s for which the table uses them.
TEST_CASE(
    "at the design size each engine's report reaches the domain in time") {
  constexpr int kHosts = 29;
  constexpr int kEngines = 315;
  auto fleet = MakeFleet(MakeNames("h", kHosts), kEngines);
  UpstreamTable table({"listener", 1});
  table.SetUpstreams(Engines(kEngines), kStart);
  Rng rng(20261203);
  std::vector<TimePoint> last_polled_at(kHosts, kStart);
  std::vector<size_t> bytes_sent(kHosts, 0);
  Duration oldest{};
  constexpr auto kDuration = seconds(120);
  for (TimePoint now = kStart; now < kStart + kDuration;
       now += milliseconds(250)) {
    for (int host = 0; host < kHosts; ++host) {
      ReportSharing& sharing = fleet[host];
      if (now - last_polled_at[host] >= sharing.PollPeriod(milliseconds(500))) {
        last_polled_at[host] = now;
        for (const std::string& engine : sharing.polled_engines())
          sharing.OnOwnReport(engine,
                              {20 + static_cast<int>(rng.Below(30)), 0, 64, 600,
                               milliseconds(200)},
                              now);
      }
      EngineReports message = sharing.MakeReportsMessage(now);
      if (message.entries.empty())
        continue;
      bytes_sent[host] += (kHosts - 1) * (12 + 14 * message.entries.size());
      message.sender = {"h" + std::to_string(host), 1};
      table.OnPeerReports(message, now);
    }
    if (now - kStart < seconds(30))
      continue;
    for (const std::string& engine : MakeNames("e", kEngines)) {
      const Upstream& upstream = *table.Find(engine);
      REQUIRE(upstream.has_report);
      oldest = std::max(oldest, now - upstream.report_measured_at);
    }
  }
  size_t max_bytes = 0;
  for (const size_t sent : bytes_sent)
    max_bytes = std::max(max_bytes, sent);
  WARN("oldest report " << ToMilliseconds(oldest) << " ms, most bytes "
                        << static_cast<double>(max_bytes) / ToSeconds(kDuration)
                        << " B/s a host");
  // The rate, plus one burst of 8 s.
  CHECK(static_cast<double>(max_bytes) <= 800 * (ToSeconds(kDuration) + 8));
  CHECK(oldest < seconds(12));
}

}  // namespace teaselhill::routing
