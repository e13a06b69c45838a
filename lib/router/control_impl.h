/// \file
/// Components and state of the control thread, private to control*.cc.

#ifndef TEASELHILL_LIB_ROUTER_CONTROL_IMPL_H_
#define TEASELHILL_LIB_ROUTER_CONTROL_IMPL_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/peer/messages.h"
#include "teaselhill/peer/transport.h"
#include "teaselhill/router/admin_api.h"
#include "teaselhill/router/claims_driver.h"
#include "teaselhill/router/config_exchange.h"
#include "teaselhill/router/control.h"
#include "teaselhill/router/host_status.h"
#include "teaselhill/router/orders_driver.h"
#include "teaselhill/router/report_poller.h"
#include "teaselhill/router/request_coordinator.h"
#include "teaselhill/routing/byte_budget.h"
#include "teaselhill/routing/report_sharing.h"
#include "teaselhill/services/host_list_client.h"
#include "teaselhill/support/shutdown_times.h"

namespace teaselhill::router {

constexpr std::chrono::milliseconds kRequestTickPeriod{20};

/// Bytes per second that this host may spend on `UpstreamSends` messages while
/// it has up to `kMaxFullBudgetReceivers` receivers. With more receivers the
/// budget is reduced in inverse proportion to their number: a broadcast then
/// costs more and describes a smaller fraction of the upstreams' load, and
/// routing relies on load reports instead.
constexpr double kSendsBytesPerSecond = 1000;
constexpr size_t kMaxFullBudgetReceivers = 8;

/// State of the drain, once it has begun.
struct ControlDrain {
  DrainPort& traffic;
  std::function<void()> done;
  TimePoint notice_given;  ///< the load balancer has observed the drain
  ShutdownTimes times;
  bool connections_end = false;
  bool ended = false;
};

/// Implemented in control.cc (start, settings and configuration),
/// control_peers.cc (messages between hosts) and control_state.cc (status and
/// metrics for operators) and control_drain.cc.
class Control::Impl : public FleetPort, public AdminBackend {
 public:
  Impl(const Settings& settings,
       const TlsSetup& tls,
       PublishedState& shared,
       TrafficPort& traffic,
       Logger& logger,
       Metrics& metrics);

  Status Start();

  void Drain(DrainPort& traffic, std::function<void()> done);

  net::EventLoop& loop() { return loop_; }
  RequestCoordinator& coordinator() { return coordinator_; }
  claims::ClaimTable& claims() { return claims_; }
  ClaimsDriver& claims_driver() { return claims_driver_; }
  TimePoint Now() { return loop_.timers().Now(); }

  // FleetPort:
  std::optional<std::string> UrlOf(const HostIncarnation& host) const override;

  void BroadcastCrashSuspicion(const retry::CrashSuspicion& message) override;

  void BroadcastUpstreamSends() override;

  void BroadcastUpstreamLeaving(
      const routing::UpstreamLeaving& message) override;

  // AdminBackend:
  std::string StatusJson() override;
  std::vector<std::string> FindDecisions(const std::string& request,
                                         const std::string& customer) override {
    return decision_log_.FindLines(request, customer);
  }
  std::string MetricsText() override { return metrics_.Exposition(); }
  void SetBlockedPeers(std::set<std::string> hosts) override {
    transport_->SetBlocked(std::move(hosts));
  }

 private:
  membership::MemberUpdate MakeSelfUpdate() const;

  std::unique_ptr<admission::AdmissionPolicy> CreateAdmission() const;

  std::unique_ptr<routing::RoutingPolicy> CreateRouting() const;

  CoordinatorOptions MakeCoordinatorOptions() const;

  DecisionComponents MakeDecisionComponents();

  net::HttpServerOptions MakeAdminServerOptions() const;

  OrdersContext MakeOrdersContext();

  services::HostListOptions MakeHostListOptions() const;

  void TickSends(TimePoint now);

  void BroadcastSends(const routing::UpstreamSends& sends);

  /// Sets which engines this host polls, how often, and whether it reads their
  /// cache events.
  void UpdatePolledEngines();

  void SchedulePeriodic(Duration period, TimerService::Callback callback) {
    timers_.push_back(loop_.timers().Subscribe(period, std::move(callback)));
  }

  void TickDrain(TimePoint now);

  void AddConfiguredPeers();

  void OnHostList(Result<services::HostList> list);

  /// Sends the messages and applies the membership changes in `output`.
  void ApplyMemberOutput(membership::MemberOutput output, TimePoint now);

  void RefreshMembers(TimePoint now);

  void SendTo(const std::string& host, std::string payload);

  template <typename T>
  void Broadcast(const T& message, bool own_domain_only);

  void SendConfigMessage(const std::string& host, const peer::Message& message);

  void SendDemand(TimePoint now);

  void ExchangeState(TimePoint now);

  void ExportGauges(TimePoint now);

  void ExportByteCounts();

  HostState CollectState(TimePoint now);

  /// Logs when a platform service becomes unreachable or reachable again.
  /// `last_reachable` holds the last logged state.
  void LogReachability(const char* service,
                       bool reachable,
                       bool* last_reachable);

  void ObserveRequestTickDelay(TimePoint now);

  void ApplyConfig(std::shared_ptr<const config::ConfigView> view);

  void OnPeerMessage(const HostIncarnation& from, const std::string& payload);

  template <typename T>
  void DispatchMessage(const HostIncarnation& from,
                       const T& message,
                       TimePoint now);

  void Receive(const HostIncarnation& from,
               routing::UpstreamSends message,
               TimePoint now);
  void Receive(const HostIncarnation& from,
               routing::EngineReports message,
               TimePoint now);
  void Receive(const HostIncarnation&,
               const routing::UpstreamLeaving& message,
               TimePoint now);
  void Receive(const HostIncarnation&,
               const retry::CrashSuspicion& message,
               TimePoint now);
  void Receive(const HostIncarnation& from,
               const peer::ConfigHint& message,
               TimePoint);
  void Receive(const HostIncarnation& from,
               const peer::ConfigFetch& message,
               TimePoint);
  void Receive(const HostIncarnation& from,
               const peer::ConfigTransfer& message,
               TimePoint);
  void Receive(const HostIncarnation& from,
               const peer::CrashFetch&,
               TimePoint now);

  Settings settings_;
  const TlsSetup tls_;
  PublishedState& shared_;
  Logger& logger_;
  Metrics& metrics_;
  HostIncarnation self_;
  Rng rng_;
  net::EventLoop loop_;
  net::HttpClient client_;
  services::HttpLogClient log_client_;
  DecisionLog decision_log_;
  membership::MemberTable members_;
  quota::LimitShare limits_;
  routing::UpstreamTable upstreams_;
  routing::ReportSharing report_sharing_;
  routing::ByteBudget sends_budget_;
  retry::RetryBudget budget_;
  retry::AttemptPlanner planner_;
  retry::HedgePolicy hedges_;
  retry::CrashTracker crashes_;
  claims::ClaimTable claims_;
  std::unique_ptr<admission::AdmissionPolicy> admission_;
  std::unique_ptr<routing::RoutingPolicy> routing_;
  std::unique_ptr<peer::Transport> transport_;
  RequestCoordinator coordinator_;
  ConfigExchange config_;
  ClaimsDriver claims_driver_;
  ReportPoller report_poller_;
  std::unique_ptr<OrdersDriver> orders_;
  std::unique_ptr<services::HostListClient> host_list_;
  AdminApi admin_;
  net::HttpServer admin_server_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> same_domain_hosts_;
  std::vector<std::string> other_domain_hosts_;
  std::vector<std::string> sharing_hosts_;
  std::map<std::string, std::string> engine_urls_;
  std::set<std::string> limited_customers_;
  size_t listed_hosts_ = 0;
  bool host_list_reachable_ = false;
  bool log_was_reachable_ = false;
  bool host_list_was_reachable_ = false;
  TimePoint last_request_tick_{};
  bool crash_state_requested_ = false;
  std::optional<ControlDrain> drain_;
  bool sent_upstream_leaving_ = false;
  int exchange_count_ = 0;
  std::array<uint64_t, std::variant_size_v<peer::Message>> sent_bytes_{};
  std::array<uint64_t, std::variant_size_v<peer::Message>> received_bytes_{};
  std::vector<TimerSubscription> timers_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_LIB_ROUTER_CONTROL_IMPL_H_
