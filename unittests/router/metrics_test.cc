/// \file
/// Guards against metrics that mislead operators: outdated gauge values, wasted
/// tokens that are not counted, and documented metrics that do not exist.

#include "teaselhill/metrics/metrics.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <sstream>

#include "coordinator_fixture.h"
#include "teaselhill/router/state_gauges.h"

namespace teaselhill::router {

TEST_CASE("labelled gauge becomes 0 when its label is no longer set") {
  Metrics metrics;
  metrics.SetGauges("g", "help", "tier", {{"0", 4}, {"2", 5}});
  metrics.SetGauges("g", "help", "tier", {{"2", 6}});
  CHECK_THAT(metrics.Exposition(), Catch::Contains("g{tier=\"0\"} 0"));
  CHECK_THAT(metrics.Exposition(), Catch::Contains("g{tier=\"2\"} 6"));
}

TEST_CASE("tokens of a lost attempt count as wasted") {
  CoordinatorFixture fixture;
  const RequestId id = fixture.Arrive(/*idempotent=*/false);
  fixture.EndAttempt(id, 0, ResultCode::kConnectionLost, true, 30);
  CHECK_THAT(fixture.metrics.Exposition(),
             Catch::Contains(
                 "teaselhill_wasted_tokens_total{cause=\"not_completed\"} 30"));
}

TEST_CASE("every metric named in the operators' pages is exported") {
  Metrics metrics;
  metrics.CountOutcome("c", "urgent", ResultCode::kOk);
  metrics.ObserveFirstToken("urgent", Duration::zero());
  metrics.ObserveAnswer("urgent", Duration::zero(), true);
  metrics.CountTokens("urgent", 1);
  metrics.CountWastedTokens("caller_gone", 1);
  metrics.CountAttempt("first");
  HostState state;
  state.queue.tiers = {{0, 1, 2.0, std::chrono::seconds(1)}};
  state.members = {{"alive", 1}};
  state.upstreams = {{"healthy", 1}};
  state.domains = {{"d", 1, 1}};
  ExportState(state, TimePoint{}, metrics);
  // The metrics named in the literal are set by the control thread and the
  // daemons.
  const std::string exported =
      metrics.Exposition() +
      "teaselhill_peer_bytes_sent teaselhill_peer_bytes_received "
      "teaselhill_members_reachable teaselhill_log_lines_dropped "
      "teaselhill_held_bytes teaselhill_held_bytes_limit";
  const std::string page =
      GENERATE("alerts.md", "platform-outage.md", "partition.md",
               "crashing-request.md", "engine-orders.md");
  std::ifstream file(std::string(TEASELHILL_SOURCE_DIR) + "/docs/operators/" +
                     page);
  std::ostringstream text;
  text << file.rdbuf();
  REQUIRE(file);
  const std::string words = text.str();
  const std::regex metric("teaselhill_[a-z_]+[a-z]");
  for (std::sregex_iterator found(words.begin(), words.end(), metric), end;
       found != end; ++found) {
    std::string name = found->str();
    for (const char* suffix : {"_bucket", "_count", "_sum"}) {
      const size_t at = name.rfind(suffix);
      if (at != std::string::npos &&
          at + std::string(suffix).size() == name.size())
        name.resize(at);
    }
    INFO(page << ": " << name);
    CHECK(exported.find(name) != std::string::npos);
  }
}

}  // namespace teaselhill::router
