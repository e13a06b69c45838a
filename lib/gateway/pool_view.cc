/// \file
/// Server pools as the duties see them.

#include "teaselhill/gateway/pool_view.h"

#include <map>
#include <string>
#include <utility>

namespace teaselhill::gateway {

std::vector<duties::PoolService> ListPools(const RouteTable& routes,
                                           const UpstreamList& upstreams) {
  std::vector<duties::PoolService> pools;
  for (const Service& service : routes.config().services) {
    if (!service.pool)
      continue;
    std::map<std::string, duties::PoolDomain> domains;
    for (const UpstreamEntry& upstream : upstreams.OfService(service.name)) {
      duties::PoolDomain& domain = domains[upstream.domain];
      ++(upstream.reclaimable ? domain.reclaimable : domain.on_demand);
      domain.slots += upstream.slots;
    }
    for (const UpstreamEntry& upstream : upstreams.leaving_reclaimable) {
      if (upstream.service == service.name)
        ++domains[upstream.domain].reclaimed;
    }
    duties::PoolService pool{service.name, *service.pool, {}};
    for (auto& [name, domain] : domains) {
      domain.domain = name;
      pool.domains.push_back(std::move(domain));
    }
    pools.push_back(std::move(pool));
  }
  return pools;
}

}  // namespace teaselhill::gateway
