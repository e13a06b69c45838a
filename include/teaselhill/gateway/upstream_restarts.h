/// \file
/// Restarts of upstreams, as the directory shows them.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_RESTARTS_H_
#define TEASELHILL_GATEWAY_UPSTREAM_RESTARTS_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// A process of an upstream ended without announcing it, and the next one runs.
struct UpstreamRestart {
  UpstreamProcess ended;
  std::string service;
  WallTime started_at;  ///< of the next process
};

/// Compares the published lists of upstreams. An upstream that was draining or
/// not listed before its next process appears has left on purpose.
///
/// Deterministic.
class UpstreamRestarts {
 public:
  /// Returns the restarts since the last list.
  std::vector<UpstreamRestart> OnUpstreams(
      std::shared_ptr<const UpstreamList> list);

 private:
  std::shared_ptr<const UpstreamList> last_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_RESTARTS_H_
