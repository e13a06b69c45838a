/// \file
/// Bounds and prices of a service whose number of servers is ordered.

#ifndef TEASELHILL_DUTIES_POOL_SPEC_H_
#define TEASELHILL_DUTIES_POOL_SPEC_H_

#include <map>
#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// What a configuration says of the server pool of one service.
struct PoolSpec {
  /// Servers of both kinds together, for each failure domain.
  int min_servers = 0;
  int max_servers = 0;
  Duration boot_time{};  ///< from the order until a new server is ready
  /// Price of a reclaimable server as a fraction of the price of one on demand.
  /// 1 or more: reclaimable servers are not ordered.
  double reclaimable_price = 1;
  /// Price of a server on demand by failure domain; 1 if none is given.
  std::map<std::string, double> domain_prices;

  double PriceIn(const std::string& domain) const {
    const auto found = domain_prices.find(domain);
    return found == domain_prices.end() ? 1 : found->second;
  }
  bool uses_reclaimable() const { return reclaimable_price < 1; }

  friend bool operator==(const PoolSpec& a, const PoolSpec& b) {
    return a.min_servers == b.min_servers && a.max_servers == b.max_servers &&
           a.boot_time == b.boot_time &&
           a.reclaimable_price == b.reclaimable_price &&
           a.domain_prices == b.domain_prices;
  }
};

/// Servers of one service that are present in one failure domain.
struct PoolDomain {
  std::string domain;
  int on_demand = 0;    ///< ready
  int reclaimable = 0;  ///< ready
  int reclaimed = 0;    ///< reclaimable ones that drain
  int slots = 0;        ///< of all ready servers
};

struct PoolService {
  std::string service;
  PoolSpec spec;
  std::vector<PoolDomain> domains;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_POOL_SPEC_H_
