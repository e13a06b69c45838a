/// \file
/// Server pools as the duties see them.

#ifndef TEASELHILL_GATEWAY_POOL_VIEW_H_
#define TEASELHILL_GATEWAY_POOL_VIEW_H_

#include <vector>

#include "teaselhill/duties/pool_spec.h"
#include "teaselhill/gateway/route_table.h"
#include "teaselhill/gateway/upstream_directory.h"

namespace teaselhill::gateway {

/// The services whose number of servers is ordered, with the servers present in
/// each failure domain that has or is losing any.
std::vector<duties::PoolService> ListPools(const RouteTable& routes,
                                           const UpstreamList& upstreams);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_POOL_VIEW_H_
