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
  health.OnSucceeded("a", now);
  CHECK(health.TakeEvents().empty());
  for (int i = 0; i < 4; ++i)
    health.OnFailed("a", now);
  const std::vector<HealthEvent> ejected = health.TakeEvents();
  REQUIRE(ejected.size() == 1);
  CHECK(ejected[0].upstream == "a");
  CHECK(ejected[0].domain.empty());
  CHECK(ejected[0].ejected);
  CHECK(ejected[0].time == HealthOptions().first_ejection);
  CHECK(ejected[0].failures == Approx(2));
  CHECK(ejected[0].successes == Approx(1));
  CHECK(ejected[0].ejections == 1);
  // A success during the ejection does not readmit the upstream.
  health.OnSucceeded("a", now);
  CHECK(health.TakeEvents().empty());
  now += milliseconds(800);
  health.OnSucceeded("a", now);
  health.OnSucceeded("a", now);
  const std::vector<HealthEvent> returned = health.TakeEvents();
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].upstream == "a");
  CHECK_FALSE(returned[0].ejected);
  CHECK(returned[0].ejections == 1);
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
  CHECK(health.Ejected("c", "d1", kStart) == row.ejected);
  health.OnReached("d1");
  const std::vector<HealthEvent> returned = health.TakeEvents();
  REQUIRE(returned.size() == (row.ejected ? 1 : 0));
  if (row.ejected) {
    CHECK(returned[0].domain == "d1");
    CHECK_FALSE(returned[0].ejected);
  }
}

}  // namespace teaselhill::gateway
