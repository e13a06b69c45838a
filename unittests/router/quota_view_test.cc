/// \file
/// Guards what the limits learn of the membership.

#include "teaselhill/router/quota_view.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

// Guards against a dead host that keeps a part of each limit after the host
// list has dropped it, and a leaving host that keeps one while it is listed.
TEST_CASE("hosts that are gone or leaving do not hold a part of the limits") {
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
