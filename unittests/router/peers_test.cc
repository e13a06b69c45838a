/// \file
/// Guards the end of a partition: without an address of a dead host its probe
/// was dropped, and both sides held each other for dead for ever.

#include "teaselhill/router/peers.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

TEST_CASE("a host in any state can be sent a probe") {
  const auto state = GENERATE(
      membership::MemberState::kAlive, membership::MemberState::kSuspect,
      membership::MemberState::kLeaving, membership::MemberState::kDead);
  membership::MemberView self;
  self.member.id.host = "self";
  membership::MemberView other;
  other.member.id.host = "other";
  other.member.address = "127.0.1.2";
  other.member.state = state;
  const auto peers = PeersOf({self, other}, "self", 7000);
  REQUIRE(peers.size() == 1);
  CHECK(peers[0].host == "other");
}

}  // namespace teaselhill::router
