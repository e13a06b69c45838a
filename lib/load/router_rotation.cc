/// \file
/// Router rotation of the simulated load balancer.

#include "teaselhill/load/router_rotation.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::load {

void RouterRotation::OnCheck(size_t router, bool healthy) {
  consecutive_failures_[router] =
      healthy ? 0 : consecutive_failures_[router] + 1;
}

std::vector<size_t> RouterRotation::InUse(
    const std::vector<size_t>& candidates) const {
  std::vector<size_t> in_use;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(in_use),
               [&](size_t router) {
                 return failure_threshold_ == 0 ||
                        consecutive_failures_[router] < failure_threshold_;
               });
  return in_use.empty() ? candidates : in_use;
}

}  // namespace teaselhill::load
