/// \file
/// Simulates the rotation of a load balancer that checks router health.

#ifndef TEASELHILL_LOAD_ROUTER_ROTATION_H_
#define TEASELHILL_LOAD_ROUTER_ROTATION_H_

#include <cstddef>
#include <vector>

namespace teaselhill::load {

/// Removes a router from the rotation after a number of consecutive failed
/// health checks and readmits it after the first successful check. Performs no
/// I/O: the caller passes in the check results.
class RouterRotation {
 public:
  /// `most_misses` is the number of consecutive failed checks that removes a
  /// router; 0 keeps all routers in the rotation.
  RouterRotation(size_t routers, int most_misses)
      : most_misses_(most_misses), misses_(routers, 0) {}

  void OnCheck(size_t router, bool good);

  /// Returns the `candidates` that are in the rotation, or all candidates if
  /// none is: the simulated balancer never rejects requests itself.
  std::vector<size_t> InUse(const std::vector<size_t>& candidates) const;

 private:
  int most_misses_;
  std::vector<int> misses_;  ///< consecutive failed checks of each router
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ROUTER_ROTATION_H_
