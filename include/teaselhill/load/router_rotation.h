/// \file
/// Routers that a load balancer with health checks sends requests to.

#ifndef TEASELHILL_LOAD_ROUTER_ROTATION_H_
#define TEASELHILL_LOAD_ROUTER_ROTATION_H_

#include <cstddef>
#include <vector>

namespace teaselhill::load {

/// Takes a router out after a number of failed health checks in a row and back
/// in after the first good one. Deterministic: results of checks come in as
/// arguments.
class RouterRotation {
 public:
  /// `most_misses` failed checks in a row take a router out; 0: none is ever
  /// taken out.
  RouterRotation(size_t routers, int most_misses)
      : most_misses_(most_misses), misses_(routers, 0) {}

  void OnCheck(size_t router, bool good);

  /// `candidates` without the routers that are out, or all of them when none is
  /// left: a balancer does not refuse callers by itself.
  std::vector<size_t> InUse(const std::vector<size_t>& candidates) const;

 private:
  int most_misses_;
  std::vector<int> misses_;  ///< in a row, by router
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ROUTER_ROTATION_H_
