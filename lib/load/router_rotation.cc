/// \file
/// Router rotation of the simulated load balancer.

#include "teaselhill/load/router_rotation.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::load {

void RouterRotation::OnCheck(size_t router, bool good) {
  misses_[router] = good ? 0 : misses_[router] + 1;
}

std::vector<size_t> RouterRotation::InUse(
    const std::vector<size_t>& candidates) const {
  std::vector<size_t> in_use;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(in_use),
               [&](size_t router) {
                 return most_misses_ == 0 || misses_[router] < most_misses_;
               });
  return in_use.empty() ? candidates : in_use;
}

}  // namespace teaselhill::load
