/// \file
/// Tests the membership view that the division of limits uses.

#include "teaselhill/router/quota_view.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

// Guards against a dead host that keeps a share of each limit after it was
// removed from the host list, and a leaving host that keeps one while listed.
TEST_CASE("unlisted dead hosts and leaving hosts have no share of limits") {
  using membership::MemberState;
  const auto [state, listed, listed_hosts, total] =
      GENERATE(table<MemberState, bool, size_t, size_t>(
          {{MemberState::kDead, true, 3, 3},
           {MemberState::kDead, false, 2, 2},
           {MemberState::kLeaving, true, 2, 2},
           {MemberState::kSuspect, false, 2, 3}}));
  std::vector<membership::MemberView> members(2);
  members[0].member.id = {"h2", 1};
  members[0].listed = true;
  members[1].member.id = {"h3", 1};
  members[1].member.state = state;
  members[1].listed = listed;
  const quota::MembershipView view =
      MakeQuotaView("h1", "d", members, listed_hosts);
  CHECK(view.listed_host_count == total);
}

}  // namespace teaselhill::router
