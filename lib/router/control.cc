/// \file
/// Control thread.

#include "teaselhill/router/control.h"

#include <algorithm>
#include <array>
#include <type_traits>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/peer/messages.h"
#include "teaselhill/peer/transport.h"
#include "teaselhill/router/admin_api.h"
#include "teaselhill/router/claims_driver.h"
#include "teaselhill/router/config_exchange.h"
#include "teaselhill/router/host_status.h"
#include "teaselhill/router/orders_driver.h"
#include "teaselhill/router/peers.h"
#include "teaselhill/router/quota_view.h"
#include "teaselhill/router/report_poller.h"
#include "teaselhill/router/request_coordinator.h"
#include "teaselhill/router/state_gauges.h"
#include "teaselhill/routing/byte_budget.h"
#include "teaselhill/routing/report_sharing.h"
#include "teaselhill/services/host_list_client.h"

#include "control_options.h"

namespace teaselhill::router {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRequestTick{20};
constexpr milliseconds kMemberTick{50};
constexpr milliseconds kSendsTick{100};
constexpr milliseconds kExchangeTick{250};
constexpr milliseconds kGaugeTick{1000};
/// Most calls do nothing: demand is due every 250 ms, or when use starts.
constexpr std::chrono::milliseconds kDemandTick{50};
constexpr milliseconds kDrainPoll{20};

/// Bytes a second for `UpstreamSends` with up to `kFullSendsHosts` receivers.
/// With more of them each message costs more and tells a smaller part of the
/// load, so less is spent and load reports are relied on.
constexpr double kSendsBytesPerSecond = 1000;
constexpr size_t kFullSendsHosts = 8;
constexpr std::chrono::seconds kSendsBurst{5};
/// Size on the wire, with the frame.
constexpr routing::MessageSize kSendsSize{14, 13};
/// Fewer entries are not worth the head of a message.
constexpr size_t kLeastSendsEntries = 4;

/// How long the listener answers "not ready" before it is closed, so that the
/// platform's balancer sees it.
constexpr milliseconds kDrainNotice{1000};

/// Callers without a key can connect to the operators' port as well, and must
/// not use up the descriptors of the process there.
constexpr size_t kMaxOperatorConnections = 64;

/// Appends a second on the log that claims of all hosts together may use.
constexpr int kClaimAppendsPerSecond = 150;

/// Grows with each start of a host, so that other hosts can tell a restarted
/// host from the one before it. The low bits keep two starts in one
/// millisecond apart.
uint64_t MakeIncarnation() {
  constexpr int kRandomBits = 10;
  const auto now = static_cast<uint64_t>(WallNow().time_since_epoch().count());
  return (now << kRandomBits) | (EntropySeed() & ((1u << kRandomBits) - 1));
}

/// The host list may give a port; all listeners' ports come from settings.
std::string WithoutPort(const std::string& address) {
  return address.substr(0, address.find(':'));
}

const char* EventName(membership::MemberEventKind kind) {
  switch (kind) {
    case membership::MemberEventKind::kUp:
      return "up";
    case membership::MemberEventKind::kSuspect:
      return "suspect";
    case membership::MemberEventKind::kLeaving:
      return "leaving";
    case membership::MemberEventKind::kDown:
      break;
  }
  return "down";
}

}  // namespace

class Control::Impl : public HostDirectory, public AdminBackend {
 public:
  Impl(const Settings& settings,
       const TlsSetup& tls,
       SharedView& shared,
       TrafficPort& traffic,
       Logger& logger,
       Metrics& metrics)
      : settings_(settings),
        tls_(tls),
        shared_(shared),
        logger_(logger),
        metrics_(metrics),
        self_{settings.host, MakeIncarnation()},
        rng_(settings.seed ? settings.seed : EntropySeed()),
        client_(loop_),
        log_client_(client_, settings.log_url, settings.address),
        decisions_(logger),
        members_(SelfUpdate(), {}),
        limits_({settings.host, settings.domain, self_.incarnation},
                {},
                SteadyNow()),
        upstreams_(self_),
        sharing_(settings.host, {}),
        sends_budget_(kSendsBytesPerSecond, kSendsBurst),
        planner_(budget_),
        hedges_(HedgeSettings(settings)),
        crashes_(self_),
        claims_(self_, ClaimSettings(settings)),
        admission_(CreateAdmission()),
        routing_(CreateRouting()),
        coordinator_(self_,
                     CoordinatorSettings(),
                     Parts(),
                     traffic,
                     *this,
                     decisions_,
                     metrics),
        config_(
            settings.host,
            log_client_,
            loop_.timers(),
            rng_,
            logger,
            [this](const std::string& host, const peer::Message& message) {
              SendConfigMessage(host, message);
            },
            [this](std::shared_ptr<const config::ConfigView> view) {
              ApplyConfig(std::move(view));
            }),
        claims_driver_(claims_,
                       log_client_,
                       loop_.timers(),
                       rng_,
                       [this](const std::vector<claims::Action>& actions) {
                         coordinator_.OnClaimActions(actions, Now());
                       }),
        poller_(client_,
                loop_.timers(),
                upstreams_,
                settings.report_period,
                settings.address,
                [this](const std::string& engine,
                       const routing::LoadReport& report) {
                  sharing_.OnOwnReport(engine, report, Now());
                  coordinator_.Pump(Now());
                }),
        admin_(*this, settings.operator_key_hashes),
        admin_server_(loop_, AdminOptions(), admin_) {
    client_.UseTls(settings.tls);
    if (settings.give_orders)
      orders_ = std::make_unique<OrdersDriver>(OrdersSettings());
    if (!settings.host_list_url.empty())
      host_list_ = std::make_unique<services::HttpHostListClient>(
          client_, loop_.timers(), rng_, HostListSettings());
    transport_ = peer::CreateWebSocketTransport(
        loop_,
        {self_, settings.address, settings.peer_port, settings.peer_secret,
         tls_.hosts},
        [this](const HostIncarnation& from, const std::string& payload) {
          OnPeerMessage(from, payload);
        });
  }

  Status Start() {
    for (const Status& started : {transport_->Start(), admin_server_.Start()}) {
      if (!started)
        return started;
    }
    AddConfiguredPeers();
    config_.Start();
    claims_driver_.Start();
    if (orders_)
      orders_->Start();
    if (host_list_)
      host_list_->Start([this](Result<services::HostList> list) {
        OnHostList(std::move(list));
      });
    Every(kRequestTick, [this](TimePoint now) {
      ObserveDelay(now);
      coordinator_.Tick(now);
      claims_driver_.Flush();
    });
    Every(kMemberTick,
          [this](TimePoint now) { Carry(members_.OnTick(now, &rng_), now); });
    Every(kSendsTick, [this](TimePoint now) { TickSends(now); });
    Every(kDemandTick, [this](TimePoint now) { SendDemand(now); });
    Every(kExchangeTick, [this](TimePoint now) { Exchange(now); });
    Every(kGaugeTick, [this](TimePoint now) { ExportGauges(now); });
    return Ok{};
  }

  void Drain(std::function<size_t()> open_requests,
             std::function<void()> done) {
    shared_.draining = true;
    const TimePoint begin = Now();
    logger_.Write(LogLine(LogLevel::kInfo, "draining"));
    coordinator_.Drain();
    if (orders_)
      orders_->Retire();
    Carry(members_.MarkSelfLeaving(begin), begin);
    Every(kDrainPoll, [this, begin, open_requests = std::move(open_requests),
                       done = std::move(done)](TimePoint now) {
      const size_t open = coordinator_.open_requests() + open_requests();
      const bool noticed = now - begin >= kDrainNotice;
      const bool late = now - begin >= settings_.drain_timeout;
      if (drained_ || (!late && (open > 0 || !noticed)))
        return;
      drained_ = true;
      logger_.Write(LogLine(LogLevel::kInfo, "drained")
                        .Field("cut_off", static_cast<uint64_t>(open)));
      done();
    });
  }

  net::EventLoop& loop() { return loop_; }
  RequestCoordinator& coordinator() { return coordinator_; }
  claims::ClaimTable& claims() { return claims_; }
  ClaimsDriver& claims_driver() { return claims_driver_; }
  TimePoint Now() { return loop_.timers().Now(); }

  // HostDirectory:
  std::optional<std::string> UrlOf(const HostIncarnation& host) const override {
    if (!members_.IsUp(host))
      return std::nullopt;
    const auto found = addresses_.find(host.host);
    if (found == addresses_.end())
      return std::nullopt;
    return (tls_.enabled() ? "https://" : "http://") + found->second + ":" +
           std::to_string(settings_.http_port);
  }

  void SpreadSuspicion(const retry::CrashSuspicion& message) override {
    Broadcast(message, /*own_domain_only=*/false);
  }

  void SpreadSends() override {
    Spread(upstreams_.MakeSendsMessage(Now(), /*max_entries=*/0));
  }

  void SpreadLeaving(const routing::UpstreamLeaving& message) override {
    Broadcast(message, /*own_domain_only=*/true);
  }

  // AdminBackend:
  std::string StatusJson() override {
    const TimePoint now = Now();
    return router::StatusJson(
        {self_, settings_.domain, State(now), members_.Members(now), upstreams_,
         shared_.config()},
        now);
  }
  std::vector<std::string> Decisions(const std::string& request,
                                     const std::string& customer) override {
    return decisions_.Find(request, customer);
  }
  std::string MetricsText() override { return metrics_.Exposition(); }
  void SetBlockedPeers(std::set<std::string> hosts) override {
    transport_->SetBlocked(std::move(hosts));
  }

 private:
  membership::MemberUpdate SelfUpdate() const {
    membership::MemberUpdate self;
    self.id = self_;
    self.address = settings_.address;
    self.domain = settings_.domain;
    return self;
  }

  std::unique_ptr<admission::AdmissionPolicy> CreateAdmission() const {
    auto created = admission::AdmissionRegistry::Instance().Create(
        settings_.admission_policy, AdmissionSettings());
    assert(created && "the settings were checked against the registry");
    return std::move(*created);
  }

  std::unique_ptr<routing::RoutingPolicy> CreateRouting() const {
    auto created = routing::RoutingPolicyRegistry::Instance().Create(
        settings_.routing_policy, RoutingSettings(settings_));
    assert(created && "the settings were checked against the registry");
    return std::move(*created);
  }

  CoordinatorOptions CoordinatorSettings() const {
    CoordinatorOptions options;
    options.peer_secret = settings_.peer_secret;
    return options;
  }

  DecisionParts Parts() {
    DecisionParts parts;
    parts.admission = admission_.get();
    parts.limits = &limits_;
    parts.upstreams = &upstreams_;
    parts.routing = routing_.get();
    parts.budget = &budget_;
    parts.planner = &planner_;
    parts.hedges = &hedges_;
    parts.crashes = &crashes_;
    parts.claims = &claims_;
    parts.rng = &rng_;
    return parts;
  }

  net::HttpServerOptions AdminOptions() const {
    net::HttpServerOptions options;
    options.address = settings_.address;
    options.port = settings_.admin_port;
    options.max_body_bytes = 1 << 20;
    options.max_connections = kMaxOperatorConnections;
    options.tls = tls_.clients;
    return options;
  }

  OrdersContext OrdersSettings() {
    OrdersContext context;
    context.self = self_;
    context.domain = settings_.domain;
    context.source_address = settings_.address;
    context.log = &log_client_;
    context.client = &client_;
    context.timers = &loop_.timers();
    context.rng = &rng_;
    context.logger = &logger_;
    context.upstreams = &upstreams_;
    context.demand = [this] {
      // The balancer spreads callers over the hosts of the domain.
      std::map<std::string, double> demand = coordinator_.DemandByModel();
      for (auto& [model, tokens_per_second] : demand)
        tokens_per_second *= static_cast<double>(same_domain_.size() + 1);
      return demand;
    };
    return context;
  }

  services::HostListOptions HostListSettings() const {
    services::HostListOptions options;
    options.base_url = settings_.host_list_url;
    options.source_address = settings_.address;
    options.period = settings_.host_list_period;
    return options;
  }

  void TickSends(TimePoint now) {
    if (same_domain_.empty())
      return;
    const size_t entries = sends_budget_.Entries(
        same_domain_.size(), kSendsSize, kLeastSendsEntries, now);
    if (entries > 0)
      Spread(upstreams_.MakeSendsMessage(now, entries));
  }

  void Spread(const routing::UpstreamSends& sends) {
    if (sends.entries.empty())
      return;
    sends_budget_.Charge(same_domain_.size(), kSendsSize, sends.entries.size());
    Broadcast(sends, /*own_domain_only=*/true);
  }

  /// Polls the engines that fall to this host.
  void DivideReports() {
    std::vector<PolledEngine> polled;
    for (const std::string& engine : sharing_.polled())
      polled.push_back({engine, engine_urls_[engine]});
    poller_.SetEngines(polled);
    poller_.SetPeriod(sharing_.PollPeriod(settings_.report_period));
    poller_.SetReadsEvents(!sharing_.shared());
  }

  void Every(Duration period, TimerService::Callback callback) {
    timers_.push_back(loop_.timers().Subscribe(period, std::move(callback)));
  }

  void AddConfiguredPeers() {
    std::vector<membership::HostListEntry> hosts;
    for (const std::string& peer : settings_.peers) {
      const size_t first = peer.find('=');
      const size_t second = peer.find('=', first + 1);
      hosts.push_back({peer.substr(0, first),
                       peer.substr(first + 1, second - first - 1),
                       peer.substr(second + 1), false});
    }
    if (hosts.empty())
      return;
    listed_hosts_ = hosts.size();
    Carry(members_.OnHostList(hosts, {}, Now()), Now());
  }

  void OnHostList(Result<services::HostList> list) {
    const TimePoint now = Now();
    host_list_reachable_ = list.ok();
    if (!list)
      return;
    std::vector<membership::HostListEntry> hosts;
    const size_t listed_before = std::exchange(listed_hosts_, 0);
    for (const services::ListedHost& host : list->hosts) {
      hosts.push_back(
          {host.name, WithoutPort(host.address), host.domain, host.leaving});
      listed_hosts_ += !host.leaving;
    }
    std::vector<membership::UpstreamListEntry> upstreams;
    for (const services::ListedUpstream& upstream : list->upstreams) {
      upstreams.push_back({upstream.name, upstream.domain, upstream.leaving});
      if (!upstream.leaving)
        upstreams_.ClearLeaving(upstream.name, routing::LeavingSign::kHostList,
                                now);
      else if (upstreams_.MarkLeaving(upstream.name,
                                      routing::LeavingSign::kHostList, now))
        SpreadLeaving(upstreams_.MakeLeavingMessage(now));
    }
    Carry(members_.OnHostList(hosts, upstreams, now), now);
    // The limits depend on the number of listed hosts.
    if (listed_hosts_ != listed_before)
      RefreshMembers(now);
  }

  /// Sends messages and reacts to changes of the membership.
  void Carry(membership::Output output, TimePoint now) {
    if (!output.events.empty() || addresses_.empty())
      RefreshMembers(now);
    for (const membership::MemberEvent& event : output.events)
      logger_.Write(LogLine(LogLevel::kInfo, "member")
                        .Field("host", event.id.host)
                        .Field("incarnation", event.id.incarnation)
                        .Field("change", EventName(event.kind)));
    for (membership::Send& send : output.sends) {
      if (addresses_.count(send.to) == 0)
        RefreshMembers(now);
      std::visit(
          [&](auto& message) {
            SendTo(send.to, peer::Encode(std::move(message)));
          },
          send.message);
    }
    for (const std::string& upstream : output.leaving_upstreams)
      upstreams_.MarkLeaving(upstream, routing::LeavingSign::kPeer, now);
  }

  void RefreshMembers(TimePoint now) {
    const std::vector<membership::MemberView> members = members_.Members(now);
    std::vector<std::string> live = {self_.host};
    addresses_.clear();
    same_domain_.clear();
    other_domains_.clear();
    for (const membership::MemberView& seen : members) {
      const membership::MemberUpdate& member = seen.member;
      if (member.id.host == self_.host)
        continue;
      if (member.state == membership::MemberState::kDead)
        continue;
      addresses_[member.id.host] = member.address;
      if (member.state == membership::MemberState::kLeaving)
        continue;
      live.push_back(member.id.host);
      (member.domain == settings_.domain ? same_domain_ : other_domains_)
          .push_back(member.id.host);
    }
    if (same_domain_ != sharing_hosts_) {
      sharing_hosts_ = same_domain_;
      sharing_.SetHosts(same_domain_);
      DivideReports();
      sends_budget_.SetRate(
          kSendsBytesPerSecond * kFullSendsHosts /
          static_cast<double>(std::max(kFullSendsHosts, same_domain_.size())));
    }
    transport_->SetPeers(PeersOf(members, self_.host, settings_.peer_port));
    limits_.OnMembers(
        MakeQuotaView(self_.host, settings_.domain, members, listed_hosts_),
        now);
    claims_.SetAppendInterval(std::max<Duration>(
        kMinClaimInterval,
        std::chrono::seconds(live.size()) / kClaimAppendsPerSecond));
    config_.SetHosts(std::move(live));
    if (!addresses_.empty() && !asked_for_crashes_) {
      asked_for_crashes_ = true;
      Broadcast(peer::CrashFetch{}, /*own_domain_only=*/false);
    }
  }

  void SendTo(const std::string& host, std::string payload) {
    const size_t type = peer::EncodedType(payload);
    if (type < sent_bytes_.size())
      sent_bytes_[type] += payload.size();
    transport_->Send(host, std::move(payload));
  }

  template <typename T>
  void Broadcast(const T& message, bool own_domain_only) {
    const std::string payload = peer::Encode(message);
    for (const std::string& host : same_domain_)
      SendTo(host, payload);
    if (own_domain_only)
      return;
    for (const std::string& host : other_domains_)
      SendTo(host, payload);
  }

  void SendConfigMessage(const std::string& host,
                         const peer::Message& message) {
    if (!host.empty()) {
      SendTo(host, peer::Encode(message));
      return;
    }
    // Mostly a host of the own domain; now and then one of another, so that
    // the configuration also crosses domains without the log.
    constexpr uint64_t kOtherDomainOneIn = 4;
    const bool other =
        same_domain_.empty() ||
        (!other_domains_.empty() && rng_.Below(kOtherDomainOneIn) == 0);
    const auto& hosts = other ? other_domains_ : same_domain_;
    if (!hosts.empty())
      SendTo(hosts[rng_.Below(hosts.size())], peer::Encode(message));
  }

  void SendDemand(TimePoint now) {
    for (const quota::OutgoingMessage& outgoing : limits_.MakeDemand(now))
      std::visit(
          [&](const auto& message) {
            SendTo(outgoing.to_host, peer::Encode(message));
          },
          outgoing.message);
  }

  void Exchange(TimePoint now) {
    RefreshMembers(now);
    upstreams_.Tick(now);
    const routing::EngineReports reports = sharing_.MakeMessage(now);
    if (!reports.entries.empty())
      Broadcast(reports, /*own_domain_only=*/true);
    crashes_.Expire(now);
    // Renewed every fourth time, because a mark from a peer expires.
    constexpr int kLeavingEvery = 4;
    if (++exchanges_ % kLeavingEvery == 0) {
      const routing::UpstreamLeaving leaving =
          upstreams_.MakeLeavingMessage(now);
      // An empty message withdraws the marks of the one before.
      if (!leaving.upstreams.empty() || sent_leaving_)
        Broadcast(leaving, /*own_domain_only=*/true);
      sent_leaving_ = !leaving.upstreams.empty();
    }
    LogReachability("log", config_.lag().reachable, &log_was_reachable_);
    LogReachability("host_list", host_list_reachable_,
                    &host_list_was_reachable_);
  }

  void ExportGauges(TimePoint now) {
    ExportState(State(now), now, metrics_);
    metrics_.SetGauge("teaselhill_peer_bytes_sent",
                      "Bytes of frames sent to other hosts",
                      static_cast<double>(transport_->counters().bytes_sent));
    metrics_.SetGauge(
        "teaselhill_peer_bytes_received",
        "Bytes of frames received from other hosts",
        static_cast<double>(transport_->counters().bytes_received));
    ExportByteCounts();
    metrics_.SetGauge("teaselhill_members_reachable",
                      "Hosts of the own failure domain that are up",
                      static_cast<double>(same_domain_.size() + 1));
  }

  void ExportByteCounts() {
    std::map<std::string, double> sent;
    std::map<std::string, double> received;
    for (size_t type = 0; type < sent_bytes_.size(); ++type) {
      const std::string name(peer::MessageTypeName(type));
      sent[name] = static_cast<double>(sent_bytes_[type]);
      received[name] = static_cast<double>(received_bytes_[type]);
    }
    metrics_.SetGauges("teaselhill_peer_payload_bytes_sent",
                       "Payload bytes to other hosts by message type", "type",
                       sent);
    metrics_.SetGauges("teaselhill_peer_payload_bytes_received",
                       "Payload bytes from other hosts by message type", "type",
                       received);
    std::map<std::string, double> http_sent;
    std::map<std::string, double> http_received;
    for (const auto& [purpose, count] : client_.byte_counts()) {
      http_sent[purpose] = static_cast<double>(count.sent);
      http_received[purpose] = static_cast<double>(count.received);
    }
    metrics_.SetGauges("teaselhill_control_http_bytes_sent",
                       "HTTP bytes sent by the control thread", "purpose",
                       http_sent);
    metrics_.SetGauges("teaselhill_control_http_bytes_received",
                       "HTTP bytes received by the control thread", "purpose",
                       http_received);
  }

  HostState State(TimePoint now) {
    HostState state;
    state.ready = shared_.Ready();
    state.draining = shared_.draining.load();
    state.open_requests = coordinator_.open_requests();
    state.queue = admission_->Stats(now);
    for (const membership::MemberView& seen : members_.Members(now))
      ++state.members[MemberStateName(seen.member.state)];
    const auto view = shared_.config();
    for (const auto& [name, entry] :
         view ? view->assignments
              : std::map<std::string, config::AssignmentEntry>()) {
      if (const routing::Upstream* upstream = upstreams_.Find(name))
        ++state.upstreams[UpstreamStateName(upstreams_, *upstream, now)];
    }
    state.domains = members_.Domains(now);
    state.limit_share = limits_.reachable_fraction();
    state.config_next_offset = config_.next_offset();
    state.config_lag = config_.lag();
    state.claims_lag = claims_driver_.lag();
    state.claims = claims_.Stats();
    state.crashes = crashes_.Count(now);
    state.host_list_reachable = host_list_reachable_;
    state.holds_order_lease = orders_ && orders_->holds_lease();
    return state;
  }

  /// Writes a line when a part of the platform is lost or is back.
  void LogReachability(const char* part, bool reachable, bool* known) {
    if (std::exchange(*known, reachable) == reachable)
      return;
    logger_.Write(
        LogLine(reachable ? LogLevel::kInfo : LogLevel::kWarning, "platform")
            .Field("part", part)
            .Field("reachable", reachable));
  }

  void ObserveDelay(TimePoint now) {
    if (last_tick_ != TimePoint{})
      metrics_.ObserveControlDelay(
          std::max(Duration::zero(), now - last_tick_ - kRequestTick));
    last_tick_ = now;
  }

  void ApplyConfig(std::shared_ptr<const config::ConfigView> view) {
    const TimePoint now = Now();
    std::vector<routing::UpstreamSpec> specs;
    std::vector<std::string> engines;
    engine_urls_.clear();
    for (const auto& [name, entry] : view->assignments) {
      if (!entry.assignment)
        continue;
      specs.push_back(ToSpec(*entry.assignment));
      if (entry.assignment->kind == config::UpstreamKind::kEngine &&
          entry.assignment->domain == settings_.domain) {
        engines.push_back(name);
        engine_urls_[name] = entry.assignment->url;
      }
    }
    upstreams_.Apply(specs, now);
    sharing_.SetEngines(std::move(engines));
    DivideReports();
    for (const auto& [customer, entry] : view->contracts) {
      if (entry.contract)
        limits_.ApplyContract(customer, entry.contract->limits, now);
    }
    for (const std::string& customer : limited_) {
      if (view->contracts.count(customer) == 0)
        limits_.RemoveContract(customer);
    }
    limited_.clear();
    for (const auto& [customer, entry] : view->contracts)
      limited_.insert(customer);
    if (orders_)
      orders_->ApplyConfig(view);
    shared_.SetConfig(view);
    logger_.Write(LogLine(LogLevel::kInfo, "in_force")
                      .Field("host", self_.host)
                      .Field("incarnation", self_.incarnation)
                      .Field("offset", view->next_offset - 1));
    coordinator_.ApplyConfig(std::move(view), now);
  }

  void OnPeerMessage(const HostIncarnation& from, const std::string& payload) {
    const Result<peer::Message> message = peer::Decode(payload);
    if (!message) {
      logger_.Write(LogLine(LogLevel::kWarning, "peer_message_refused")
                        .Field("from", from.host)
                        .Field("fault", message.error().message));
      return;
    }
    received_bytes_[message->index()] += payload.size();
    const TimePoint now = Now();
    std::visit([&](const auto& value) { Dispatch(from, value, now); },
               *message);
  }

  template <typename T>
  void Dispatch(const HostIncarnation& from, const T& message, TimePoint now) {
    if constexpr (std::is_convertible_v<T, membership::Message>)
      Carry(members_.OnMessage(message, now, &rng_), now);
    else if constexpr (std::is_convertible_v<T, quota::QuotaMessage>)
      limits_.OnPeerDemand(message, now);
    else
      Receive(from, message, now);
  }

  void Receive(const HostIncarnation& from,
               routing::UpstreamSends message,
               TimePoint now) {
    message.sender = from;
    upstreams_.OnPeerSends(message, now);
  }
  void Receive(const HostIncarnation& from,
               routing::EngineReports message,
               TimePoint now) {
    message.sender = from;
    upstreams_.OnPeerReports(message, now);
    coordinator_.Pump(now);
  }
  void Receive(const HostIncarnation&,
               const routing::UpstreamLeaving& message,
               TimePoint now) {
    upstreams_.OnPeerLeaving(message, now);
  }
  void Receive(const HostIncarnation&,
               const retry::CrashSuspicion& message,
               TimePoint now) {
    coordinator_.OnSuspicion(message, now);
  }
  void Receive(const HostIncarnation& from,
               const peer::ConfigHint& message,
               TimePoint) {
    config_.OnHint(from.host, message);
  }
  void Receive(const HostIncarnation& from,
               const peer::ConfigFetch& message,
               TimePoint) {
    config_.OnFetch(from.host, message);
  }
  void Receive(const HostIncarnation& from,
               const peer::ConfigTransfer& message,
               TimePoint) {
    config_.OnTransfer(from.host, message);
  }
  void Receive(const HostIncarnation& from,
               const peer::CrashFetch&,
               TimePoint now) {
    const retry::CrashSuspicion known = crashes_.Snapshot(now);
    if (!known.empty())
      SendTo(from.host, peer::Encode(known));
  }

  Settings settings_;
  const TlsSetup tls_;
  SharedView& shared_;
  Logger& logger_;
  Metrics& metrics_;
  HostIncarnation self_;
  Rng rng_;
  net::EventLoop loop_;
  net::HttpClient client_;
  services::HttpLogClient log_client_;
  DecisionLog decisions_;
  membership::MemberTable members_;
  quota::LimitShare limits_;
  routing::UpstreamTable upstreams_;
  routing::ReportSharing sharing_;
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
  ReportPoller poller_;
  std::unique_ptr<OrdersDriver> orders_;
  std::unique_ptr<services::HostListClient> host_list_;
  AdminApi admin_;
  net::HttpServer admin_server_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> same_domain_;
  std::vector<std::string> other_domains_;
  std::vector<std::string> sharing_hosts_;
  std::map<std::string, std::string> engine_urls_;
  std::set<std::string> limited_;
  size_t listed_hosts_ = 0;
  bool host_list_reachable_ = false;
  bool log_was_reachable_ = false;
  bool host_list_was_reachable_ = false;
  TimePoint last_tick_{};
  bool asked_for_crashes_ = false;
  bool drained_ = false;
  bool sent_leaving_ = false;
  int exchanges_ = 0;
  std::array<uint64_t, std::variant_size_v<peer::Message>> sent_bytes_{};
  std::array<uint64_t, std::variant_size_v<peer::Message>> received_bytes_{};
  std::vector<TimerSubscription> timers_;
};

Control::Control(const Settings& settings,
                 const TlsSetup& tls,
                 SharedView& shared,
                 TrafficPort& traffic,
                 Logger& logger,
                 Metrics& metrics)
    : impl_(std::make_unique<Impl>(settings,
                                   tls,
                                   shared,
                                   traffic,
                                   logger,
                                   metrics)) {}

Control::~Control() = default;

Status Control::Start() {
  return impl_->Start();
}

net::EventLoop& Control::loop() {
  return impl_->loop();
}

void Control::Drain(std::function<size_t()> open_requests,
                    std::function<void()> done) {
  impl_->Drain(std::move(open_requests), std::move(done));
}

void Control::OnArrived(RequestInfo info) {
  impl_->loop().Post([this, info = std::move(info)]() mutable {
    impl_->coordinator().OnArrived(std::move(info), impl_->Now());
    impl_->claims_driver().Flush();
  });
}

void Control::OnFirstToken(RequestId request, int attempt) {
  impl_->loop().Post([this, request, attempt] {
    impl_->coordinator().OnFirstToken(request, attempt, impl_->Now());
  });
}

void Control::OnProgress(std::vector<TokenProgress> progress) {
  impl_->loop().Post([this, progress = std::move(progress)] {
    impl_->coordinator().OnProgress(progress, impl_->Now());
  });
}

void Control::OnAttemptEnded(AttemptEnd end,
                             std::shared_ptr<const KeptAnswer> answer) {
  impl_->loop().Post([this, end = std::move(end), answer = std::move(answer)] {
    impl_->coordinator().OnAttemptEnded(end, answer, impl_->Now());
  });
}

void Control::OnCallerGone(RequestId request) {
  impl_->loop().Post([this, request] {
    impl_->coordinator().OnCallerGone(request, impl_->Now());
  });
}

void Control::OnTokenWanted(int worker,
                            RequestId request,
                            const std::string& customer) {
  impl_->loop().Post([this, worker, request, customer] {
    impl_->coordinator().OnTokenWanted(worker, request, customer);
  });
}

}  // namespace teaselhill::router
