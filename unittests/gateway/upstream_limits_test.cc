/// \file
/// Guards against limits of upstreams that are forgotten, outlive their end, or
/// are known to one host only.

#include "teaselhill/gateway/upstream_limits.h"

#include <catch2/catch.hpp>

#include "notices_fixture.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Host {
  UpstreamLimits limits;
  TimePoint now = TimePoint(std::chrono::hours(5));
  WallTime wall_now = WallTime(std::chrono::hours(480000));

  Host() { limits.SetPosition({0, 1}); }

  void Wait(milliseconds time) {
    now += time;
    wall_now += time;
  }
  /// An answer to a request that was sent `ago`.
  void Answer(const LimitNotice& notice, Duration ago = milliseconds(1)) {
    limits.OnAnswer(kUpstream, notice, now - ago, now, wall_now);
  }
  void Name(double limit, Duration ago = milliseconds(1)) {
    Answer({limit, false}, ago);
  }
  int SendsIn(seconds time) {
    int sends = 0;
    for (seconds second{0}; second < time; ++second) {
      Wait(seconds(1));
      while (limits.OldestTurnAge(kUpstream, wall_now) && sends < 10000) {
        limits.OnSent(kUpstream, wall_now);
        ++sends;
      }
    }
    return sends;
  }
};

}  // namespace

TEST_CASE("the sends to a limited upstream keep its limit") {
  struct Row {
    const char* name;
    double limit;
    int min_sends;  ///< in 100 s
    int max_sends;
  };
  const Row row = GENERATE(values<Row>({
      {"one", 1, 80, 101},
      {"a fraction", 0.5, 40, 51},
      {"zero: some requests show that it has ended", 0, 10, 21},
      {"several", 20, 1600, 2001},
  }));
  INFO(row.name);
  Host host;
  host.Name(row.limit);
  CHECK(host.limits.IsLimited(kUpstream));
  const int sends = host.SendsIn(seconds(100));
  CHECK(sends >= row.min_sends);
  CHECK(sends <= row.max_sends);
}

TEST_CASE("a limit holds until an answer to a later request names none") {
  Host host;
  host.Name(1);
  host.Wait(seconds(60));
  CHECK(host.limits.IsLimited(kUpstream));
  SECTION("an answer to an earlier request says nothing") {
    host.Answer({}, seconds(61));
    CHECK(host.limits.IsLimited(kUpstream));
  }
  SECTION("a limit that cannot be read says nothing") {
    host.Answer({std::nullopt, true});
    CHECK(host.limits.IsLimited(kUpstream));
  }
  SECTION("an answer to a later request ends it") {
    host.Answer({});
    CHECK_FALSE(host.limits.IsLimited(kUpstream));
    // An answer from before that arrives late does not bring it back.
    host.Name(1, seconds(50));
    CHECK_FALSE(host.limits.IsLimited(kUpstream));
    host.Wait(seconds(1));
    host.Name(1);
    CHECK(host.limits.IsLimited(kUpstream));
  }
  SECTION("the process is gone") {
    host.limits.Expire(ListOf(kUpstream));
    CHECK(host.limits.IsLimited(kUpstream));
    host.limits.Expire(ListOf(kRestarted));
    CHECK_FALSE(host.limits.IsLimited(kUpstream));
    CHECK(host.limits.empty());
  }
}

TEST_CASE("a limit that falls or rises is in force at once") {
  struct Row {
    double first;
    double second;
    int min_sends;  ///< in 20 s
    int max_sends;
  };
  const Row row = GENERATE(values<Row>({
      {20, 1, 15, 22},
      {1, 20, 300, 400},
      {1, 1.01, 15, 22},
      {5, 1e18, 10000, 10000},
  }));
  INFO(row.first << " to " << row.second);
  Host host;
  host.Name(row.first);
  host.Wait(seconds(5));
  host.Name(row.second);
  const int sends = host.SendsIn(seconds(20));
  CHECK(sends >= row.min_sends);
  CHECK(sends <= row.max_sends);
}

TEST_CASE("hosts tell each other of limits and of their end") {
  Host host;
  Host other;
  const auto tell = [&] {
    const std::vector<LimitObservation> seen =
        host.limits.TakeObservations(host.now);
    other.limits.OnObservations(seen, other.now, other.wall_now);
    return seen.size();
  };
  host.Name(1);
  CHECK(tell() == 1);
  CHECK(other.limits.IsLimited(kUpstream));
  CHECK(other.limits.TakeChanges().size() == 1);
  // What is not news is told again after a while, for hosts that have started.
  host.Wait(seconds(1));
  host.Name(1);
  CHECK(tell() == 0);
  host.Wait(seconds(5));
  host.Name(1);
  CHECK(tell() == 1);
  CHECK(other.limits.TakeObservations(other.now).empty());
  host.Wait(seconds(1));
  other.Wait(seconds(7));
  host.Answer({});
  CHECK(tell() == 1);
  CHECK_FALSE(other.limits.IsLimited(kUpstream));
}

}  // namespace teaselhill::gateway
