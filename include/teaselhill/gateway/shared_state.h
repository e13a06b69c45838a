/// \file
/// Snapshots that the control thread publishes and the traffic thread reads.

#ifndef TEASELHILL_GATEWAY_SHARED_STATE_H_
#define TEASELHILL_GATEWAY_SHARED_STATE_H_

#include <atomic>
#include <memory>

#include "teaselhill/gateway/retry_budget.h"
#include "teaselhill/gateway/route_table.h"
#include "teaselhill/gateway/upstream_directory.h"

namespace teaselhill::gateway {

class SharedState {
 public:
  std::shared_ptr<const RouteTable> routes() const {
    return std::atomic_load(&routes_);
  }
  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    std::atomic_store(&routes_, std::move(routes));
  }

  std::shared_ptr<const UpstreamList> upstreams() const {
    return std::atomic_load(&upstreams_);
  }
  void SetUpstreams(std::shared_ptr<const UpstreamList> upstreams) {
    std::atomic_store(&upstreams_, std::move(upstreams));
  }

  /// Never null.
  std::shared_ptr<const EntryRenewals> renewals() const {
    return std::atomic_load(&renewals_);
  }
  void SetRenewals(std::shared_ptr<const EntryRenewals> renewals) {
    std::atomic_store(&renewals_, std::move(renewals));
  }

  /// Reads of upstreams that the source has answered.
  uint64_t upstream_reads() const { return upstream_reads_; }
  void CountUpstreamRead() { ++upstream_reads_; }

  /// Time at which the source of upstreams last answered.
  TimePoint upstreams_read_at() const {
    return TimePoint(Duration(upstreams_read_at_.load()));
  }
  void SetUpstreamsReadAt(TimePoint at) {
    upstreams_read_at_ = at.time_since_epoch().count();
  }

  std::atomic<bool> draining{false};

  /// False until configuration and upstreams are known, and while draining.
  bool Ready() const {
    return !draining && routes() != nullptr && upstreams() != nullptr;
  }

 private:
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const UpstreamList> upstreams_;
  std::shared_ptr<const EntryRenewals> renewals_ =
      std::make_shared<EntryRenewals>();
  std::atomic<uint64_t> upstream_reads_{0};
  std::atomic<Duration::rep> upstreams_read_at_{0};
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_SHARED_STATE_H_
