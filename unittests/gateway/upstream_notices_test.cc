/// \file
/// Guards against requests to upstreams that leave or want a pause, and against
/// notices that outlive their upstream or are known to one host only.

#include "teaselhill/gateway/upstream_notices.h"

#include <catch2/catch.hpp>

#include "notices_fixture.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::seconds;

struct Host {
  UpstreamNotices notices;
  TimePoint now = TimePoint(std::chrono::hours(5));

  void Answer(bool leaving, Duration pause) {
    UpstreamNotice notice;
    notice.leaving = leaving;
    notice.pause = pause;
    notices.OnAnswer(kUpstream, notice, now, now, {});
  }
  bool IsExcluded(const UpstreamProcess& upstream = kUpstream) const {
    return notices.IsExcluded(upstream, now);
  }
};

}  // namespace

TEST_CASE("an upstream that leaves gets no further requests of any host") {
  Host host;
  Host other;
  CHECK_FALSE(host.IsExcluded());
  host.Answer(/*leaving=*/true, {});
  CHECK(host.IsExcluded());
  CHECK(host.notices.TakeChanges().size() == 1);
  other.notices.OnObservations(host.notices.TakeObservations(host.now),
                               other.now, {});
  CHECK(other.IsExcluded());
  // It is told once.
  host.Answer(/*leaving=*/true, {});
  CHECK(host.notices.TakeObservations(host.now).empty());
  CHECK(host.notices.TakeChanges().empty());
  host.now += seconds(30);
  host.notices.Expire(ListOf(kUpstream), host.now);
  CHECK(host.IsExcluded());
  CHECK_FALSE(host.IsExcluded(kRestarted));
}

// The store may come back from a copy that lists the upstream as ready.
TEST_CASE("a notice outlives a short absence of its upstream") {
  Host host;
  host.Answer(/*leaving=*/true, {});
  host.notices.Expire(ListOf(kUpstream), host.now);
  host.now += seconds(20);
  host.notices.Expire(ListOf(kRestarted), host.now);
  CHECK(host.IsExcluded());
  host.now += seconds(61);
  host.notices.Expire(ListOf(kRestarted), host.now);
  CHECK(host.notices.empty());
}

TEST_CASE("a pause binds the host to which it was named") {
  const seconds pause = GENERATE(seconds(2), seconds(90));
  Host host;
  Host other;
  host.Answer(/*leaving=*/false, pause);
  CHECK(host.IsExcluded());
  CHECK(host.notices.UntilPauseEnds(kUpstream, host.now) == pause);
  other.notices.OnObservations(host.notices.TakeObservations(host.now),
                               other.now, {});
  CHECK_FALSE(other.IsExcluded());
  CHECK(other.notices.IsAvoided(kUpstream, other.now));
  // A request that was in flight is turned away for a shorter time.
  host.now += seconds(1);
  host.Answer(/*leaving=*/false, seconds(0) + pause / 4);
  CHECK(host.notices.UntilPauseEnds(kUpstream, host.now) == pause - seconds(1));
  host.now += pause;
  other.now += pause + seconds(1);
  CHECK_FALSE(host.IsExcluded());
  CHECK_FALSE(other.notices.IsAvoided(kUpstream, other.now));
  host.notices.Expire(ListOf(kUpstream), host.now);
  CHECK(host.notices.empty());
}

TEST_CASE("a pause has an upper bound") {
  Host host;
  host.Answer(/*leaving=*/false, std::chrono::hours(24));
  CHECK(host.notices.UntilPauseEnds(kUpstream, host.now) ==
        std::chrono::hours(1));
}

}  // namespace teaselhill::gateway
