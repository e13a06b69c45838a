/// \file
/// Publishes the newest configuration and upstream list from the control
/// thread.

#ifndef TEASELHILL_GATEWAY_STATE_KEEPER_H_
#define TEASELHILL_GATEWAY_STATE_KEEPER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/gateway/dependency_monitor.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/gateway/upstream_directory.h"

namespace teaselhill::gateway {

/// Publishes the configurations and upstream lists of a StateSource to the
/// traffic thread. While the process runs, a configuration is never replaced by
/// an older one. Deterministic apart from the given clock.
class StateKeeper : public StateSource::Handler {
 public:
  using Clock = std::function<TimePoint()>;

  StateKeeper(SharedState& shared, EventLog& log, Clock clock)
      : shared_state_(shared),
        log_(log),
        clock_(std::move(clock)),
        source_monitor_(log, "store") {}

  void OnConfig(std::shared_ptr<const RouteTable> routes) override;
  void OnListing(const UpstreamListing& listing) override;
  void OnRecords(const std::vector<UpstreamRecord>& records) override;
  void OnSourceAnswered() override;
  void OnSharedAnswer(Duration age) override;
  void OnReadRole(ReadRole role, size_t readers) override;
  void OnSourceUnreachable(const Error& error) override;
  void OnRecordUnreadable(const std::string& name, const Error& error) override;

  /// Removes upstreams whose grace period is over. Call a few times a second.
  void ExpireUpstreams();

 private:
  void LogStateChange(const UpstreamRecord& record, TimePoint now);
  void PublishRenewals(const std::vector<UpstreamRecord>& records);
  void PublishUpstreams();
  /// Counts a read whose records were current at `as_of`.
  void CountRead(TimePoint as_of, TimePoint now);

  SharedState& shared_state_;
  EventLog& log_;
  Clock clock_;
  UpstreamDirectory directory_;
  EntryRenewals renewals_;
  /// When the latest reads were counted, with the number of each; and the
  /// number of the last one that was counted when the records in hand were
  /// current.
  std::deque<std::pair<TimePoint, uint64_t>> counted_reads_;
  uint64_t current_read_ = 0;
  bool listing_received_ = false;
  DependencyMonitor source_monitor_;
  /// Last logged state of each upstream.
  std::unordered_map<std::string, std::string> last_logged_states_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_STATE_KEEPER_H_
