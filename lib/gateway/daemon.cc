/// \file
/// Threads, listeners and shutdown of the gateway.

#include "teaselhill/gateway/daemon.h"

#include <algorithm>

#include "duty_host.h"
#include "host_memory.h"
#include "http_handlers.h"
#include "listener_options.h"
#include "loop_thread.h"
#include "shutdown.h"
#include "stream_peers_on_loop.h"
#include "teaselhill/gateway/peer_exchange.h"
#include "teaselhill/gateway/peer_notices.h"
#include "teaselhill/gateway/peer_streams.h"
#include "teaselhill/gateway/state_keeper.h"
#include "teaselhill/support/allocator.h"

namespace teaselhill::gateway {

namespace {

constexpr int kCodesPerClass = 1000;
constexpr std::chrono::milliseconds kDirectoryExpiryPeriod{200};
constexpr std::chrono::seconds kMetricsPeriod{1};

/// Changes of the configuration are late by as much if the file names another
/// address of the store.
constexpr std::chrono::seconds kSettingsCheckPeriod{1};

/// Time from the last moment at which a trial may begin to the end of
/// GatewaySettings::crash_stop_delay.
constexpr std::chrono::milliseconds kTrialMargin{500};

/// What a host adds to the headers of a request that another host serves.
constexpr size_t kRelayHeaderBytes = 1024;

/// Connections from other hosts. A host sends a message to a few peers only.
constexpr size_t kMaxPeerConnections = 64;

constexpr size_t kMaxReadinessConnections = 64;
constexpr size_t kMaxMetricsConnections = 16;
/// The running gateway. Members are used on the control thread unless noted
/// otherwise.
class Daemon : private FleetLog::Handler, private PeerExchange::Handler {
 public:
  Daemon(const GatewaySettings& settings, Adapter& adapter)
      : settings_(settings),
        adapter_(adapter),
        logger_("teaselhill-gateway/" + settings.host, settings.log_level),
        log_(logger_),
        memory_(settings.max_memory_bytes, traffic_loop_, control_loop_),
        readiness_(shared_state_),
        metrics_handler_(metrics_),
        gateway_(traffic_loop_,
                 MakeGatewayOptions(),
                 adapter.callers(),
                 adapter.upstreams(),
                 shared_state_,
                 log_,
                 metrics_),
        caller_server_(
            traffic_loop_,
            MakeListenerOptions(settings.caller_endpoint,
                                MaxCallerConnections(settings_.max_descriptors),
                                memory_.traffic()),
            gateway_),
        relay_handler_(gateway_),
        relay_server_(traffic_loop_, MakeRelayOptions(), relay_handler_),
        readiness_server_(control_loop_,
                          MakeProbeOptions(settings.readiness_endpoint,
                                           kMaxReadinessConnections,
                                           memory_.control()),
                          readiness_),
        metrics_server_(control_loop_,
                        MakeProbeOptions(settings.metrics_endpoint,
                                         kMaxMetricsConnections,
                                         memory_.control()),
                        metrics_handler_),
        peer_exchange_(control_loop_,
                       settings.host,
                       MakeListenerOptions(settings.peer_endpoint,
                                           kMaxPeerConnections,
                                           memory_.control()),
                       log_,
                       *this,
                       MakePeerExchangeOptions()),
        peer_notices_(peer_exchange_, settings.host, shared_state_),
        peer_streams_(peer_exchange_, gateway_.stream_versions()),
        state_keeper_(shared_state_, log_, BootNow),
        fleet_log_monitor_(log_, "fleet_log"),
        source_(adapter.MakeStateSource(control_loop_,
                                        memory_.control(),
                                        peer_exchange_)),
        stream_log_(adapter.MakeStreamLog(control_loop_, memory_.control())),
        stream_peers_(traffic_loop_,
                      control_loop_,
                      peer_streams_,
                      *source_,
                      *stream_log_),
        fleet_log_(adapter.MakeFleetLog(control_loop_, memory_.control())),
        fleet_size_(settings.host),
        duty_host_(settings_,
                   {adapter, control_loop_, memory_.control(), peer_exchange_,
                    logger_, log_, metrics_, shared_state_},
                   {gateway_.usage_counter(), &gateway_.engine_work()}),
        shutdown_(control_loop_,
                  traffic_loop_,
                  gateway_,
                  {&caller_server_, &relay_server_}) {}

  int Run() {
    for (net::HttpServer* server : EnabledServers()) {
      const Status started = server->Start();
      if (!started)
        return ReportFailure(started.error());
    }
    logger_.Write(
        LogLine(LogLevel::kInfo, "started")
            .Field("host", settings_.host)
            .Field("domain", settings_.domain)
            .Field("port", static_cast<int>(settings_.caller_endpoint.port))
            .Field("version", TEASELHILL_VERSION));
    LogExceptions(control_loop_, "control");
    LogExceptions(traffic_loop_, "traffic");
    StartPeerExchange();
    const auto termination = net::HandleTermination(
        control_loop_, [this](int signal) { StartDrain(signal); });
    const auto hangup = net::HandleHangup(
        control_loop_, [this](int) { ReloadSettings("SIGHUP"); });
    const auto settings_check = control_loop_.timers().Subscribe(
        kSettingsCheckPeriod, [this](TimePoint) {
          if (adapter_.SettingsChanged())
            ReloadSettings("file changed");
        });
    const auto directory_expiry = control_loop_.timers().Subscribe(
        kDirectoryExpiryPeriod,
        [this](TimePoint) { state_keeper_.ExpireUpstreams(); });
    const auto metrics_report = control_loop_.timers().Subscribe(
        kMetricsPeriod, [this](TimePoint) { ReportMetrics(); });
    source_->Subscribe(state_keeper_);
    fleet_log_->Subscribe(*this);
    fleet_log_->AnnounceHost();
    const auto announcement = control_loop_.timers().Subscribe(
        FleetSize::kAnnouncementPeriod, [this](TimePoint) {
          fleet_log_->AnnounceHost();
          fleet_size_.Expire(BootNow());
          PublishFleetPosition();
        });
    gateway_.SetCrashPublisher([this](std::vector<CrashRecord> records) {
      control_loop_.Post([this, records = std::move(records)] {
        PeerMessage message;
        message.records = records;
        peer_exchange_.Send(std::move(message));
        fleet_log_->Append(records);
      });
    });
    gateway_.SetClaimPublisher([this](std::vector<TrialClaim> claims) {
      control_loop_.Post(
          [this, claims = std::move(claims)] { fleet_log_->Append(claims); });
    });
    gateway_.SetVersionPublisher([this](std::vector<VersionRecord> versions) {
      control_loop_.Post([this, versions = std::move(versions)] {
        fleet_log_->Append(versions);
      });
    });
    gateway_.SetReachPublisher([this](bool cut) {
      control_loop_.Post([this, cut] {
        PeerMessage message;
        message.cut_off = cut;
        peer_exchange_.Send(std::move(message));
      });
    });
    stream_log_->Subscribe([this](const std::vector<StreamRecord>& records) {
      for (const StreamRecord& record : records)
        gateway_.stream_versions().Remember(record, /*own=*/false, BootNow());
    });
    gateway_.SetStreamPeers(&stream_peers_);
    gateway_.SetNoticePublisher([this](UpstreamObservations observations) {
      control_loop_.Post([this, observations = std::move(observations)] {
        peer_notices_.Remember(observations);
        PeerMessage message;
        message.observations = observations;
        peer_exchange_.Send(std::move(message));
      });
    });
    const LoopThread traffic(traffic_loop_, "traffic");
    control_loop_.Run();
    logger_.Write(
        LogLine(LogLevel::kInfo, "stopped")
            .Field("open_requests",
                   static_cast<uint64_t>(gateway_.open_requests()))
            .Field("grace_left_ms",
                   shutdown_.GraceLeft(BootNow()).value_or(Duration::zero())));
    return 0;
  }

 private:
  void OnCrashRecords(std::vector<CrashRecord> records) override {
    traffic_loop_.Post([this, records = std::move(records)] {
      gateway_.OnCrashRecords(records);
    });
  }

  void OnPeerMessages(std::vector<PeerMessage> messages) override {
    std::vector<CrashRecord> records;
    for (PeerMessage& message : messages) {
      if (message.cut_off)
        traffic_loop_.Post(
            [this, host = message.sender, cut = *message.cut_off] {
              gateway_.relay_peers().OnReach(host, cut, BootNow());
            });
      peer_notices_.Remember(message.observations);
      ApplyObservations(std::move(message.observations));
      std::move(message.records.begin(), message.records.end(),
                std::back_inserter(records));
    }
    if (records.empty())
      return;
    fleet_log_->ExpectRecords();
    OnCrashRecords(std::move(records));
  }

  void ApplyObservations(UpstreamObservations observations) {
    if (observations.empty())
      return;
    traffic_loop_.Post([this, observations = std::move(observations)] {
      gateway_.OnUpstreamObservations(observations);
    });
  }

  void OnTrialClaims(std::vector<TrialClaim> claims) override {
    traffic_loop_.Post(
        [this, claims = std::move(claims)] { gateway_.OnTrialClaims(claims); });
  }

  void OnVersions(std::vector<StreamOrigin> versions) override {
    gateway_.stream_versions().OnRecordedVersions(versions, BootNow());
  }

  void OnRecordsListed() override {
    gateway_.stream_versions().OnRecordsListed();
  }

  void OnHostRecords(std::vector<HostRecord> records) override {
    fleet_size_.OnRecords(records, BootNow());
    peer_exchange_.AddPeers(records);
    source_->OnHosts(records);
    duty_host_.OnHosts(records);
    peer_notices_.AskOnce([this](UpstreamObservations observations) {
      ApplyObservations(std::move(observations));
    });
    traffic_loop_.Post(
        [this, records] { gateway_.relay_peers().OnHosts(records); });
    PublishFleetPosition();
  }

  void PublishFleetPosition() {
    const FleetPosition position = fleet_size_.position();
    if (position == published_position_)
      return;
    log_.Write(LineKind::kState,
               LogLine(LogLevel::kInfo, "fleet_size_changed")
                   .Field("hosts", static_cast<uint64_t>(position.hosts))
                   .Field("index", static_cast<uint64_t>(position.index))
                   .Field("previous",
                          static_cast<uint64_t>(published_position_.hosts)),
               BootNow());
    published_position_ = position;
    stream_log_->SetFleetSize(position.hosts);
    traffic_loop_.Post(
        [this, position] { gateway_.SetFleetPosition(position); });
  }

  void OnFleetRecordUnreadable(const std::string& key) override {
    log_.Write(LineKind::kFailure,
               LogLine(LogLevel::kWarning, "record_unreadable")
                   .Field("name", key)
                   .Field("code", static_cast<int>(ResultCode::kProtocolError))
                   .Field("fault", "unknown kind of record"),
               BootNow());
  }

  void OnFleetLogAnswered() override {
    fleet_log_monitor_.OnAnswered(BootNow());
  }

  void OnFleetLogUnreachable(const Error& error) override {
    const auto routes = shared_state_.routes();
    fleet_log_monitor_.OnUnreachable(error, routes ? routes->version() : 0,
                                     BootNow());
  }

  GatewayOptions MakeGatewayOptions() {
    GatewayOptions options;
    options.host = settings_.host;
    options.memory_budget = &memory_.traffic();
    options.count_usage = settings_.duties && settings_.duties->usage;
    options.relay_source_address = settings_.relay_endpoint.address;
    options.placement_policy = settings_.placement_policy;
    options.placement.own_domain = settings_.domain;
    options.retry_budget = settings_.retry_budget;
    options.crash_guard.history.max_trial_delay =
        std::max<Duration>(settings_.crash_stop_delay - kTrialMargin,
                           settings_.crash_stop_delay / 2);
    return options;
  }

  PeerExchangeOptions MakePeerExchangeOptions() {
    PeerExchangeOptions options;
    options.memory_budget = &memory_.control();
    // The holder of the duties asks each host once a second.
    if (settings_.duties)
      options.max_idle_connections = FleetSize::kMaxHosts;
    return options;
  }

  net::HttpServerOptions MakeRelayOptions() {
    net::HttpServerOptions options = MakeListenerOptions(
        settings_.relay_endpoint,
        MaxCallerConnections(settings_.max_descriptors), memory_.traffic());
    options.max_header_bytes += kRelayHeaderBytes;
    return options;
  }

  std::vector<net::HttpServer*> EnabledServers() {
    std::vector<net::HttpServer*> servers = {&caller_server_,
                                             &readiness_server_};
    if (settings_.metrics_endpoint.port != 0)
      servers.push_back(&metrics_server_);
    if (settings_.relay_endpoint.port != 0)
      servers.push_back(&relay_server_);
    return servers;
  }

  /// Without it, hosts learn of each other's crashes from the fleet's log only.
  void StartPeerExchange() {
    if (settings_.peer_endpoint.port == 0)
      return;
    const Status started = peer_exchange_.Start();
    if (started)
      return;
    logger_.Write(LogLine(LogLevel::kWarning, "peer_exchange_failed")
                      .Field("code", static_cast<int>(started.error().code))
                      .Field("fault", started.error().message));
  }

  /// What one message makes throw must not end the requests of all others.
  void LogExceptions(net::EventLoop& loop, std::string_view thread) {
    loop.SetExceptionHandler([this, thread](const std::exception& fault) {
      logger_.Write(LogLine(LogLevel::kError, "handler_failed")
                        .Field("thread", thread)
                        .Field("code", static_cast<int>(ResultCode::kInternal))
                        .Field("fault", fault.what()));
    });
  }

  int ReportFailure(const Error& error) {
    logger_.Write(LogLine(LogLevel::kError, "start_failed")
                      .Field("code", static_cast<int>(error.code))
                      .Field("fault", error.message));
    return static_cast<int>(error.code) / kCodesPerClass;
  }

  void ReportMetrics() {
    log_.ReportSuppressed();
    memory_.Report(metrics_);
    metrics_.SetGauge("teaselhill_log_lines_dropped",
                      "Own log lines lost because the output was full",
                      static_cast<double>(logger_.dropped()));
    metrics_.SetGauge("teaselhill_open_requests",
                      "Requests whose answer has not ended",
                      static_cast<double>(gateway_.open_requests()));
    const CrashCounts crash_counts = gateway_.crash_counts();
    metrics_.SetGauge("teaselhill_suspect_fingerprints",
                      "Requests under which an upstream crashed",
                      static_cast<double>(crash_counts.suspects));
    metrics_.SetGauge("teaselhill_quarantined_fingerprints",
                      "Requests that are refused because of crashes",
                      static_cast<double>(crash_counts.quarantined));
    metrics_.SetGauge("teaselhill_limited_upstreams",
                      "Upstreams that name a limit on their requests",
                      static_cast<double>(gateway_.limited_upstreams()));
  }

  void ReloadSettings(std::string_view cause) {
    const Result<ReloadedSettings> reloaded = adapter_.ReloadSettings();
    if (!reloaded) {
      logger_.Write(LogLine(LogLevel::kError, "settings_refused")
                        .Field("cause", cause)
                        .Field("code", static_cast<int>(reloaded.error().code))
                        .Field("fault", reloaded.error().message));
      return;
    }
    const GatewaySettings& settings = reloaded->gateway;
    settings_.shutdown_grace = settings.shutdown_grace;
    shutdown_.ChangeGrace(settings.shutdown_grace);
    settings_.retry_budget = settings.retry_budget;
    traffic_loop_.Post([this, retry_budget = settings.retry_budget] {
      gateway_.SetRetryBudget(retry_budget);
    });
    logger_.Write(LogLine(LogLevel::kInfo, "settings_reloaded")
                      .Field("cause", cause)
                      .Field("repeat_ratio", settings.retry_budget.ratio));
    for (const std::string& field : reloaded->need_restart)
      logger_.Write(LogLine(LogLevel::kWarning, "setting_needs_restart")
                        .Field("field", field));
  }

  void StartDrain(int signal) {
    if (shared_state_.draining.exchange(true))
      return;
    const ShutdownSchedule schedule =
        MakeShutdownSchedule(settings_.shutdown_grace);
    logger_.Write(LogLine(LogLevel::kInfo, "stopping")
                      .Field("signal", signal)
                      .Field("grace_ms", settings_.shutdown_grace)
                      .Field("final_answers_in_ms", schedule.final_answers)
                      .Field("open_requests",
                             static_cast<uint64_t>(gateway_.open_requests())));
    duty_host_.StartDrain();
    shutdown_.Begin(settings_.shutdown_grace);
  }

  GatewaySettings settings_;
  Adapter& adapter_;
  JsonLogger logger_;
  EventLog log_;
  Metrics metrics_;
  SharedState shared_state_;
  HostMemory memory_;  ///< before the loops, which it must outlive
  net::EventLoop control_loop_;
  net::EventLoop traffic_loop_;
  ReadinessHandler readiness_;
  MetricsHandler metrics_handler_;
  Gateway gateway_;                ///< on the traffic thread
  net::HttpServer caller_server_;  ///< on the traffic thread
  RelayHandler relay_handler_;     ///< on the traffic thread
  net::HttpServer relay_server_;   ///< on the traffic thread
  net::HttpServer readiness_server_;
  net::HttpServer metrics_server_;
  PeerExchange peer_exchange_;
  PeerNotices peer_notices_;
  PeerStreams peer_streams_;
  StateKeeper state_keeper_;
  DependencyMonitor fleet_log_monitor_;
  std::unique_ptr<StateSource> source_;
  std::unique_ptr<StreamLog> stream_log_;
  StreamPeersOnLoop stream_peers_;
  std::unique_ptr<FleetLog> fleet_log_;
  FleetSize fleet_size_;
  FleetPosition published_position_;
  DutyHost duty_host_;
  Shutdown shutdown_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, Adapter& adapter) {
  ConfigureAllocator();
  return Daemon(settings, adapter).Run();
}

}  // namespace teaselhill::gateway
