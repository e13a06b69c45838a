/// \file
/// Conversion of the membership for the division of limits.

#ifndef TEASELHILL_ROUTER_QUOTA_VIEW_H_
#define TEASELHILL_ROUTER_QUOTA_VIEW_H_

#include <string>
#include <vector>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/quota/limit_share.h"

namespace teaselhill::router {

/// Converts the membership and adds this host. A dead host counts as long as it
/// is on the host list, because it may be alive in another partition.
/// `listed_hosts` is the number of hosts on the list that are not leaving.
quota::MembershipView MakeQuotaView(
    const std::string& own_host,
    const std::string& own_domain,
    const std::vector<membership::MemberView>& members,
    size_t listed_hosts);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_QUOTA_VIEW_H_
