/// \file
/// Guards against an ejection or readmission of an upstream or failure domain
/// that is missing in the log or logged without its cause.

#include "teaselhill/gateway/upstream_health.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("an ejection and the readmission after it are each reported once") {
  UpstreamHealth health;
  TimePoint now = kStart;
  health.OnAnswerCompleted("a", now);
  CHECK(health.TakeEvents().empty());
  for (int i = 0; i < 4; ++i)
    health.OnAnswerFailed("a", now);
  const std::vector<HealthEvent> ejected = health.TakeEvents();
  REQUIRE(ejected.size() == 1);
  CHECK(ejected[0].upstream_id == "a");
  CHECK(ejected[0].domain.empty());
  CHECK(ejected[0].ejected);
  CHECK(ejected[0].ejection_duration == HealthOptions().first_ejection);
  CHECK(ejected[0].failures == Approx(2));
  CHECK(ejected[0].successes == Approx(1));
  CHECK(ejected[0].consecutive_ejections == 1);
  // A success during the ejection does not readmit the upstream.
  health.OnAnswerCompleted("a", now);
  CHECK(health.TakeEvents().empty());
  now += milliseconds(800);
  health.OnAnswerCompleted("a", now);
  health.OnAnswerCompleted("a", now);
  const std::vector<HealthEvent> readmitted = health.TakeEvents();
  REQUIRE(readmitted.size() == 1);
  CHECK(readmitted[0].upstream_id == "a");
  CHECK_FALSE(readmitted[0].ejected);
  CHECK(readmitted[0].consecutive_ejections == 1);
}

struct DomainRow {
  std::string name;
  std::vector<std::string> unreachable;
  bool ejected;
};

TEST_CASE(
    "a domain is ejected only after failed connections to two of its "
    "upstreams") {
  const DomainRow row = GENERATE(values<DomainRow>({
      {"one upstream", {"a"}, false},
      {"one upstream twice", {"a", "a"}, false},
      {"two upstreams", {"a", "b"}, true},
  }));
  CAPTURE(row.name);
  UpstreamHealth health;
  for (const std::string& upstream : row.unreachable)
    health.OnConnectFailed(upstream, "d1", kStart);
  int domains = 0;
  for (const HealthEvent& event : health.TakeEvents())
    domains += event.domain == "d1" && event.ejected;
  CHECK(domains == (row.ejected ? 1 : 0));
  CHECK(health.IsEjected("c", "d1", kStart) == row.ejected);
  health.OnDomainReached("d1");
  const std::vector<HealthEvent> readmitted = health.TakeEvents();
  REQUIRE(readmitted.size() == (row.ejected ? 1 : 0));
  if (row.ejected) {
    CHECK(readmitted[0].domain == "d1");
    CHECK_FALSE(readmitted[0].ejected);
  }
}

}  // namespace teaselhill::gateway
