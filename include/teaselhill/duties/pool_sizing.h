/// \file
/// How many servers of each kind a service needs in each failure domain.

#ifndef TEASELHILL_DUTIES_POOL_SIZING_H_
#define TEASELHILL_DUTIES_POOL_SIZING_H_

#include <string>
#include <vector>

#include "teaselhill/duties/pool_load.h"
#include "teaselhill/duties/pool_spec.h"

namespace teaselhill::duties {

/// How full engines may be.
struct FillTarget {
  double prefill = 1;  ///< part of the time spent on reading prompts
  double slots = 1;    ///< part of the slots in use
};

/// At which urgent streams keep their pauses: each prompt that an engine reads
/// stretches the pauses of the streams beside it.
constexpr FillTarget kComfortableFill{0.33, 0.5};
/// Which is borne for a while: in a burst, or after a loss of servers.
constexpr FillTarget kTightFill{0.6, 0.75};

/// One failure domain as input of the sizing.
struct SizingDomain {
  std::string domain;
  /// Servers can be had and reached there.
  bool usable = true;
  /// More reclaimable servers can be had there now.
  bool reclaimable_available = true;
  int reclaimable_ready = 0;
};

struct SizingInput {
  PoolSpec spec;
  PoolFigures figures;
  double slots_per_server = 1;
  std::vector<SizingDomain> domains;
};

struct DomainTarget {
  std::string domain;
  int on_demand = 0;
  int reclaimable = 0;
};

/// Numbers of servers of the whole service, and their distribution.
struct PoolTarget {
  int total = 0;  ///< that should be present
  int now = 0;    ///< that the present demand needs at least
  /// On demand, that the most urgent tier needs if a domain is lost.
  int floor = 0;
  std::vector<DomainTarget> domains;
  double price = 0;  ///< per second

  int on_demand() const;
  int reclaimable() const;
};

/// Servers that `level` needs; not rounded.
double ServersFor(const WorkLevel& level,
                  const PoolFigures& figures,
                  double slots_per_server,
                  const FillTarget& fill);

/// Servers on demand carry what must not be lost with a domain or with its
/// reclaimable servers; reclaimable ones carry the rest, the more generously
/// the cheaper they are.
PoolTarget SizePool(const SizingInput& input);

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_POOL_SIZING_H_
