/// \file
/// Accepts callers' requests on the traffic thread and forwards them to
/// upstreams.

#ifndef TEASELHILL_GATEWAY_GATEWAY_H_
#define TEASELHILL_GATEWAY_GATEWAY_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/duties/usage_counter.h"
#include "teaselhill/duties/work_counter.h"
#include "teaselhill/engines/engine_speeds.h"
#include "teaselhill/gateway/brittle_upstreams.h"
#include "teaselhill/gateway/crash_guard.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/exchange_policy.h"
#include "teaselhill/gateway/limited_admission.h"
#include "teaselhill/gateway/overload_gate.h"
#include "teaselhill/gateway/placement.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/relay.h"
#include "teaselhill/gateway/report_fetcher.h"
#include "teaselhill/gateway/restart_watch.h"
#include "teaselhill/gateway/retry_budget.h"
#include "teaselhill/gateway/route_durations.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/gateway/stream_versions.h"
#include "teaselhill/gateway/upstream_health.h"
#include "teaselhill/gateway/upstream_notices.h"
#include "teaselhill/gateway/upstream_prober.h"
#include "teaselhill/gateway/upstream_reach.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

struct GatewayOptions {
  std::string host;  ///< name of this host
  /// IP address from which it sends requests to other hosts, which serve those
  /// of the fleet only; empty: any.
  std::string relay_source_address;
  std::string placement_policy = "affinity";  ///< name of a plug-in
  PlacementOptions placement;
  RetryBudgetOptions retry_budget;
  OverloadGateOptions overload_gate;
  CrashGuardOptions crash_guard;
  ExchangeLimits exchange_limits;
  /// Bound on the unfinished messages of the gateway's loop; must outlive the
  /// gateway. Null: none.
  net::MemoryBudget* memory_budget = nullptr;
  /// Timeout for connecting to an upstream. A round trip takes a few
  /// milliseconds. Without the timeout, a lost first packet would delay the
  /// request by a second.
  Duration connect_timeout = std::chrono::milliseconds(200);
  /// Counts the requests of teams that upstreams run, for the usage duty.
  bool count_usage = false;
};

class Exchange;
struct AcceptedRequest;

/// Routes requests to upstreams. Used on the traffic thread only, except where
/// noted.
class Gateway : public net::HttpHandler, private CrashGuard::Handler {
 public:
  /// Shares crash records with the other hosts.
  using CrashPublisher = std::function<void(std::vector<CrashRecord>)>;

  /// Shares claims of the trial queue with the other hosts.
  using ClaimPublisher = std::function<void(std::vector<TrialClaim>)>;

  /// Tells the other hosts what upstreams say of themselves.
  using NoticePublisher = std::function<void(UpstreamObservations)>;

  /// Tells the fleet's log of versions.
  using VersionPublisher = std::function<void(std::vector<VersionRecord>)>;

  /// Tells the other hosts whether this one is cut from all upstreams.
  using ReachPublisher = std::function<void(bool cut)>;

  /// `options.placement_policy` must name a registered policy.
  Gateway(net::EventLoop& loop,
          GatewayOptions options,
          const CallerProtocol& callers,
          const UpstreamProtocol& upstreams,
          const SharedState& shared,
          EventLog& log,
          Metrics& metrics);
  ~Gateway() override;

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override;

  /// Serves a request of another host's caller. It is not passed on again.
  void HandleRelayed(net::HttpRequest request,
                     RelayOrigin origin,
                     std::shared_ptr<net::ResponseWriter> response);

  /// Hosts that serve requests for this one and may ask it to. Call on the
  /// loop's thread.
  RelayPeers& relay_peers() { return relay_peers_; }

  /// Rejects every request that arrives from now on. Call on the loop's thread.
  void RejectNewRequests() { rejecting_ = true; }

  /// The host stops: each request gets its final answer by `final_answers_at`.
  /// Requests that are not likely to end by then are refused from now on, and
  /// from `out_of_rotation_at` on each stream that may not: its caller had time
  /// to go elsewhere, and a stream that has begun can only be cut. Of several
  /// calls, the earliest time holds. Call on the loop's thread.
  void StartDrain(TimePoint final_answers_at,
                  TimePoint out_of_rotation_at = TimePoint::max());

  /// Call on the loop's thread.
  void SetRetryBudget(const RetryBudgetOptions& options) {
    retry_budget_.SetOptions(options);
  }

  /// Call on the loop's thread.
  void SetFleetPosition(const FleetPosition& position) {
    retry_budget_.SetPosition(position);
    upstream_notices_.limits().SetPosition(position);
    brittle_upstreams_.SetPosition(position);
  }

  /// Call before the loop runs.
  void SetCrashPublisher(CrashPublisher publisher) {
    crash_publisher_ = std::move(publisher);
  }

  /// Call before the loop runs.
  void SetClaimPublisher(ClaimPublisher publisher) {
    claim_publisher_ = std::move(publisher);
  }

  /// Call before the loop runs.
  void SetNoticePublisher(NoticePublisher publisher) {
    notice_publisher_ = std::move(publisher);
  }

  /// Call before the loop runs.
  void SetVersionPublisher(VersionPublisher publisher) {
    version_publisher_ = std::move(publisher);
  }

  /// Records of the streams that this host and others began.
  StreamVersions& stream_versions() { return stream_versions_; }

  /// Call before the loop runs. Without it, hosts do not know of each other's
  /// streams.
  void SetStreamPeers(StreamPeers* peers) { stream_peers_ = peers; }

  /// Call before the loop runs.
  void SetReachPublisher(ReachPublisher publisher) {
    reach_publisher_ = std::move(publisher);
  }

  /// Applies notices that other hosts saw. Call on the loop's thread.
  void OnUpstreamObservations(const UpstreamObservations& observations);

  /// Applies crash records of the other hosts. Call on the loop's thread.
  void OnCrashRecords(const std::vector<CrashRecord>& records) {
    crash_guard_.OnRecords(records, BootNow());
  }

  /// Applies claims of all hosts. Call on the loop's thread.
  void OnTrialClaims(const std::vector<TrialClaim>& claims) {
    crash_guard_.OnTrialClaims(claims, BootNow());
  }

  /// Requests with crashes, as of the last second. Callable from any thread.
  CrashCounts crash_counts() const { return {suspects_, quarantined_}; }

  /// Upstreams that name a limit, as of the last second. Callable from any
  /// thread.
  size_t limited_upstreams() const { return limited_upstreams_; }

  /// Null unless GatewayOptions::count_usage is set. The counter may be used on
  /// any thread.
  duties::UsageCounter* usage_counter() { return usage_counter_.get(); }

  /// Work sent to engines whose number is ordered, for the host that orders
  /// them. May be used on any thread.
  duties::WorkSource& engine_work() { return work_counter_; }

  /// Requests in progress. Callable from any thread.
  size_t open_requests() const { return open_requests_; }

 private:
  friend class Exchange;

  /// Reason for which a request is rejected on arrival.
  struct Rejection {
    Error error;
    Duration retry_after{};
  };

  void OnRecordsToShare(std::vector<CrashRecord> records) override;
  void OnClaimsToShare(std::vector<TrialClaim> claims) override;
  void OnUpstreamCrashed(const UpstreamProcess& upstream) override {
    OnUpstreamUnreachable(upstream);
  }
  /// A health check counts as a request at an upstream that names a limit or
  /// wants a pause.
  bool MayProbe(const UpstreamProcess& upstream) override;
  bool HasReachedUpstreamSince(TimePoint time) override;

  /// Takes a request that has waited for its turn for `waited`.
  void Accept(net::HttpRequest request,
              std::optional<RelayOrigin> origin,
              std::shared_ptr<net::ResponseWriter> response,
              Duration waited);

  /// Keeps a request until the answers before it on its connection have been
  /// written.
  void AwaitTurn(net::HttpRequest request,
                 const AcceptedRequest& accepted_request,
                 std::shared_ptr<net::ResponseWriter> response);

  /// Takes the time that the request has waited off its deadline.
  std::optional<Rejection> ShortenDeadline(
      Duration waited,
      AcceptedRequest& accepted_request) const;

  /// A connection to the upstream that was opened at `opened_at` brought a
  /// response, or ended without any.
  void OnUpstreamReached(TimePoint opened_at);
  void OnUpstreamFailed(const std::string& upstream_id, TimePoint opened_at);
  void ApplyReachChange();
  /// Checks, while this host is cut off, whether it reaches an upstream again.
  void WatchReach();
  /// Sends a health check to an upstream, unless one is in flight.
  void ProbeReach();

  /// The process could not be connected to; tells the other hosts.
  void OnUpstreamUnreachable(const UpstreamProcess& upstream);

  /// Follows the list of upstreams; other hosts are told of the streams of a
  /// service that has got a further version.
  void FollowUpstreams(TimePoint now);
  /// Tells the fleet's log of the versions that came or have gone.
  void RecordVersions();

  /// What an upstream says of itself in its answer.
  void OnUpstreamNotice(const UpstreamEntry& upstream,
                        const UpstreamNotice& notice,
                        bool refused,
                        TimePoint sent_at);
  void LogNoticeChanges(std::string_view source, TimePoint now);

  /// Resolves the request to a route, a team and a service.
  std::optional<Rejection> ResolveRequest(const net::HttpRequest& request,
                                          AcceptedRequest& accepted_request);
  /// Rejects a request that has crashed too many upstreams.
  std::optional<Rejection> CheckCrashes(
      const net::HttpRequest& request,
      const AcceptedRequest& accepted_request);
  /// While draining, rejects a request that is not likely to end in time, or
  /// whose answer would be lost with the one before it.
  std::optional<Rejection> CheckDrain(
      const net::HttpRequest& request,
      const AcceptedRequest& accepted_request) const;
  void RejectRequest(const net::HttpRequest& request,
                     const CallerRequest& caller,
                     net::ResponseWriter& response,
                     const Error& error,
                     Duration retry_after);
  /// Responds to a caller with an error of the gateway itself.
  void RespondError(net::ResponseWriter& response,
                    const Error& error,
                    Duration retry_after) const;
  void RemoveExchange(RequestId id);
  /// Logs ejections and readmissions of upstreams since the last call.
  void LogHealthEvents(TimePoint now);
  /// Logs changes of the engines that are reserved for urgent streams.
  void LogReserveChanges(TimePoint now);
  /// Logs the engine speeds that have changed, and forgets engines that are
  /// gone.
  void FollowEngineSpeeds(TimePoint now);
  /// Tells the other hosts what this one has found of engines.
  void ShareEngineNews(TimePoint now);

  net::EventLoop& loop_;
  GatewayOptions options_;
  const CallerProtocol& callers_;
  const UpstreamProtocol& upstreams_;
  const SharedState& shared_state_;
  EventLog& log_;
  Metrics& metrics_;
  net::HttpClient client_;
  /// Client for load reports. Reuses connections, unlike `client_`, which opens
  /// a connection for each request.
  net::HttpClient report_client_;
  Rng rng_;
  engines::EngineSpeeds engine_speeds_;
  std::unique_ptr<PlacementPolicy> placement_;
  std::map<std::string, double> reserved_fractions_;  ///< by service
  UpstreamHealth upstream_health_;
  ReportFetcher report_fetcher_;
  CrashGuard crash_guard_;
  CrashPublisher crash_publisher_;
  ClaimPublisher claim_publisher_;
  NoticePublisher notice_publisher_;
  ReachPublisher reach_publisher_;
  VersionPublisher version_publisher_;
  UpstreamReach reach_;
  UpstreamProber reach_prober_;
  bool reach_probe_in_flight_ = false;
  TimerSubscription reach_timer_;
  RelayPeers relay_peers_;
  UpstreamNotices upstream_notices_;
  BrittleUpstreams brittle_upstreams_;
  StreamVersions stream_versions_;
  RestartWatch restart_watch_;
  StreamPeers* stream_peers_ = nullptr;
  duties::WorkCounter work_counter_;
  std::shared_ptr<const UpstreamList> followed_upstreams_;
  LimitedAdmission limited_admission_;
  std::atomic<size_t> suspects_{0};
  std::atomic<size_t> quarantined_{0};
  std::atomic<size_t> limited_upstreams_{0};
  RetryBudget retry_budget_;
  OverloadGate overload_gate_;
  RequestId last_id_ = 0;
  /// Functions that connections keep look at it before they use the gateway.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  bool rejecting_ = false;
  /// While draining; see StartDrain().
  std::optional<TimePoint> final_answers_at_;
  TimePoint out_of_rotation_at_ = TimePoint::max();
  RouteDurations route_durations_;
  std::unique_ptr<duties::UsageCounter> usage_counter_;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  std::atomic<size_t> open_requests_{0};
  TimerSubscription cleanup_timer_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_GATEWAY_H_
