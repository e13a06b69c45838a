/// \file
/// Tells whether this host is cut from all upstreams.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_REACH_H_
#define TEASELHILL_GATEWAY_UPSTREAM_REACH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct UpstreamReachOptions {
  /// Upstreams that must have failed, while none was reached, for the host to
  /// take itself for cut off. All of them if there are fewer.
  size_t min_failed_upstreams = 3;
  /// Failures that are older do not count.
  Duration failure_window = std::chrono::seconds(2);
};

/// Only a connection that was opened after a failure speaks against the cut:
/// open connections may live on while new ones are refused. Deterministic: time
/// is an argument.
class UpstreamReach {
 public:
  explicit UpstreamReach(UpstreamReachOptions options = {})
      : options_(options) {}

  /// A connection that was opened at `opened_at` brought no byte of a response.
  /// `upstream_count`: number of upstreams of all services.
  void OnFailed(const std::string& upstream_id,
                TimePoint opened_at,
                size_t upstream_count,
                TimePoint now);

  /// A connection that was opened at `opened_at` brought a response.
  void OnReached(TimePoint opened_at);

  bool is_cut() const { return cut_; }

  /// Whether an upstream was reached on a connection opened after that time.
  bool ReachedAfter(TimePoint time) const { return reached_at_ > time; }

  /// Returns the new state if it has changed since the last call.
  std::optional<bool> TakeChange();

 private:
  UpstreamReachOptions options_;
  std::map<std::string, TimePoint> failed_at_;  ///< by upstream
  TimePoint reached_at_ = TimePoint::min();     ///< opening of the connection
  bool cut_ = false;
  bool reported_cut_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_REACH_H_
