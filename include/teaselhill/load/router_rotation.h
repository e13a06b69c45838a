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
  /// `failure_threshold` is the number of consecutive failed checks that
  /// removes a router; 0 keeps all routers in the rotation.
  RouterRotation(size_t routers, int failure_threshold)
      : failure_threshold_(failure_threshold),
        consecutive_failures_(routers, 0) {}

  void OnCheck(size_t router, bool healthy);

  /// Returns the `candidates` that are in the rotation, or all candidates if
  /// none is: the simulated balancer never rejects requests itself.
  std::vector<size_t> InUse(const std::vector<size_t>& candidates) const;

 private:
  int failure_threshold_;
  std::vector<int> consecutive_failures_;  ///< failed checks, by router
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ROUTER_ROTATION_H_
