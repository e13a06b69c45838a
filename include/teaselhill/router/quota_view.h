/// \file
/// Conversion of the membership for the division of limits.

#ifndef TEASELHILL_ROUTER_QUOTA_VIEW_H_
#define TEASELHILL_ROUTER_QUOTA_VIEW_H_

#include <string>
#include <vector>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/quota/limit_share.h"

namespace teaselhill::router {

/// Converts the membership, which does not include this host. A dead host
/// counts while the host list names it, because it may only be partitioned.
/// `listed_hosts` is the number of hosts on the list that are not leaving.
quota::MembershipView MakeQuotaView(
    const std::string& own_host,
    const std::string& own_domain,
    const std::vector<membership::MemberView>& members,
    size_t listed_hosts);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_QUOTA_VIEW_H_
