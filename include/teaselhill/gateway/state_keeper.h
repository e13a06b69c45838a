/// \file
/// Keeps the newest configuration and the upstreams on the control thread.

#ifndef TEASELHILL_GATEWAY_STATE_KEEPER_H_
#define TEASELHILL_GATEWAY_STATE_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/gateway/upstream_directory.h"

namespace teaselhill::gateway {

/// Publishes what the source delivers. A configuration never gives way to an
/// older one while the process runs. Deterministic but for the clock given.
class StateKeeper : public StateSource::Handler {
 public:
  using Clock = std::function<TimePoint()>;

  StateKeeper(SharedState& shared, EventLog& log, Clock clock)
      : shared_(shared), log_(log), clock_(std::move(clock)) {}

  void OnConfig(std::shared_ptr<const RouteTable> routes) override;
  void OnListing(const UpstreamListing& listing) override;
  void OnRecords(const std::vector<UpstreamRecord>& records) override;
  void OnAnswer() override;
  void OnLost(const Error& error) override;
  void OnUnreadable(const std::string& name, const Error& error) override;

  /// Drops upstreams whose time to come back is over. Call a few times a
  /// second.
  void Tick();

 private:
  void LogRecord(const UpstreamRecord& record, TimePoint now);
  void Publish();

  SharedState& shared_;
  EventLog& log_;
  Clock clock_;
  UpstreamDirectory directory_;
  bool listed_ = false;
  std::optional<TimePoint> lost_at_;
  /// Last state that was logged of each upstream.
  std::unordered_map<std::string, std::string> logged_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_STATE_KEEPER_H_
