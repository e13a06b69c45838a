/// \file
/// Guards against a partition that never heals: without the address of a dead
/// host probes to it were dropped, and each side considered the other dead
/// forever.

#include "teaselhill/router/peers.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

TEST_CASE("peer in any member state has an address for probes") {
  const auto state = GENERATE(
      membership::MemberState::kAlive, membership::MemberState::kSuspect,
      membership::MemberState::kLeaving, membership::MemberState::kDead);
  membership::MemberView self;
  self.member.id.host = "self";
  membership::MemberView other;
  other.member.id.host = "other";
  other.member.address = "127.0.1.2";
  other.member.state = state;
  const auto peers = MakePeerAddresses({self, other}, "self", 7000);
  REQUIRE(peers.size() == 1);
  CHECK(peers[0].host == "other");
}

}  // namespace teaselhill::router
