/// \file
/// Conversion of the membership for the division of limits.

#include "teaselhill/router/quota_view.h"

#include <algorithm>

namespace teaselhill::router {

namespace {

quota::MemberState ToQuotaState(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return quota::MemberState::kAlive;
    case membership::MemberState::kSuspect:
      return quota::MemberState::kSuspect;
    case membership::MemberState::kLeaving:
    case membership::MemberState::kDead:
      break;
  }
  return quota::MemberState::kDead;
}

}  // namespace

quota::MembershipView MakeQuotaView(
    const std::string& own_host,
    const std::string& own_domain,
    const std::vector<membership::MemberView>& members,
    size_t listed_hosts) {
  quota::MembershipView view;
  view.members.push_back({own_host, own_domain, quota::MemberState::kAlive});
  size_t live = 1;
  for (const membership::MemberView& seen : members) {
    const quota::MemberState state = ToQuotaState(seen.member.state);
    if (seen.member.id.host == own_host ||
        (state == quota::MemberState::kDead && !seen.listed))
      continue;
    live += state != quota::MemberState::kDead;
    view.members.push_back({seen.member.id.host, seen.member.domain, state});
  }
  view.listed_host_count = std::max(listed_hosts, live);
  return view;
}

}  // namespace teaselhill::router
