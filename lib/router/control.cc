/// \file
/// Start, settings and configuration of the control thread.

#include <algorithm>

#include "control_impl.h"
#include "control_options.h"

namespace teaselhill::router {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMemberTickPeriod{50};
constexpr milliseconds kSendsTickPeriod{100};
constexpr milliseconds kExchangePeriod{250};
constexpr milliseconds kGaugePeriod{1000};
/// Period of the check for due demand messages. They are due every 250 ms, and
/// earlier after a limit starts to be used.
constexpr std::chrono::milliseconds kDemandTickPeriod{50};
constexpr std::chrono::seconds kSendsBurstDuration{5};

/// Bounds the file descriptors that clients of the operators' port can use up,
/// because clients without a key can connect to it too.
constexpr size_t kMaxOperatorConnections = 64;

/// Returns a number that increases with each start of a host, so that peers can
/// distinguish a restarted host from its predecessor. The low bits distinguish
/// two starts within one millisecond.
uint64_t MakeIncarnation() {
  constexpr int kRandomBits = 10;
  const auto now = static_cast<uint64_t>(WallNow().time_since_epoch().count());
  return (now << kRandomBits) | (EntropySeed() & ((1u << kRandomBits) - 1));
}

/// Removes the port from an address of the host list. The ports of all
/// listeners come from settings.
std::string WithoutPort(const std::string& address) {
  return address.substr(0, address.find(':'));
}

}  // namespace

Control::Impl::Impl(const Settings& settings,
                    const TlsSetup& tls,
                    PublishedState& shared,
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
      decision_log_(logger),
      members_(MakeSelfUpdate(), {}),
      limits_({settings.host, settings.domain, self_.incarnation},
              {},
              SteadyNow()),
      upstreams_(self_),
      report_sharing_(settings.host, {}),
      sends_budget_(kSendsBytesPerSecond, kSendsBurstDuration),
      planner_(budget_),
      hedges_(MakeHedgeOptions(settings)),
      crashes_(self_),
      claims_(self_, MakeClaimOptions(settings)),
      admission_(CreateAdmission()),
      routing_(CreateRouting()),
      coordinator_(self_,
                   MakeCoordinatorOptions(),
                   MakeDecisionComponents(),
                   traffic,
                   *this,
                   decision_log_,
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
                     [this](const std::vector<claims::ClaimAction>& actions) {
                       coordinator_.OnClaimActions(actions, Now());
                     }),
      report_poller_(
          client_,
          loop_.timers(),
          upstreams_,
          settings.report_period,
          settings.address,
          [this](const std::string& engine, const routing::LoadReport& report) {
            report_sharing_.OnOwnReport(engine, report, Now());
            coordinator_.StartQueuedRequests(Now());
          }),
      admin_(*this, settings.operator_key_hashes),
      admin_server_(loop_, MakeAdminServerOptions(), admin_) {
  client_.UseTls(settings.tls);
  if (settings.give_orders)
    orders_ = std::make_unique<OrdersDriver>(MakeOrdersContext());
  if (!settings.host_list_url.empty())
    host_list_ = std::make_unique<services::HttpHostListClient>(
        client_, loop_.timers(), rng_, MakeHostListOptions());
  transport_ = peer::CreateWebSocketTransport(
      loop_,
      {self_, settings.address, settings.peer_port, settings.peer_secret,
       tls_.hosts},
      [this](const HostIncarnation& from, const std::string& payload) {
        OnPeerMessage(from, payload);
      });
}

Status Control::Impl::Start() {
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
  SchedulePeriodic(kRequestTickPeriod, [this](TimePoint now) {
    ObserveRequestTickDelay(now);
    coordinator_.Tick(now);
    claims_driver_.Flush();
  });
  SchedulePeriodic(kMemberTickPeriod, [this](TimePoint now) {
    ApplyMemberOutput(members_.OnTick(now, &rng_), now);
  });
  SchedulePeriodic(kSendsTickPeriod, [this](TimePoint now) { TickSends(now); });
  SchedulePeriodic(kDemandTickPeriod,
                   [this](TimePoint now) { SendDemand(now); });
  SchedulePeriodic(kExchangePeriod,
                   [this](TimePoint now) { ExchangeState(now); });
  SchedulePeriodic(kGaugePeriod, [this](TimePoint now) { ExportGauges(now); });
  return Ok{};
}

membership::MemberUpdate Control::Impl::MakeSelfUpdate() const {
  membership::MemberUpdate self;
  self.id = self_;
  self.address = settings_.address;
  self.domain = settings_.domain;
  return self;
}

std::unique_ptr<admission::AdmissionPolicy> Control::Impl::CreateAdmission()
    const {
  auto created = admission::AdmissionRegistry::Instance().Create(
      settings_.admission_policy, MakeAdmissionOptions());
  assert(created && "the settings were checked against the registry");
  return std::move(*created);
}

std::unique_ptr<routing::RoutingPolicy> Control::Impl::CreateRouting() const {
  auto created = routing::RoutingPolicyRegistry::Instance().Create(
      settings_.routing_policy, MakeRoutingOptions(settings_));
  assert(created && "the settings were checked against the registry");
  return std::move(*created);
}

CoordinatorOptions Control::Impl::MakeCoordinatorOptions() const {
  CoordinatorOptions options;
  options.peer_secret = settings_.peer_secret;
  return options;
}

DecisionComponents Control::Impl::MakeDecisionComponents() {
  DecisionComponents components;
  components.admission = admission_.get();
  components.limits = &limits_;
  components.upstreams = &upstreams_;
  components.routing = routing_.get();
  components.budget = &budget_;
  components.planner = &planner_;
  components.hedges = &hedges_;
  components.crashes = &crashes_;
  components.claims = &claims_;
  components.rng = &rng_;
  return components;
}

net::HttpServerOptions Control::Impl::MakeAdminServerOptions() const {
  net::HttpServerOptions options;
  options.address = settings_.address;
  options.port = settings_.admin_port;
  options.max_body_bytes = 1 << 20;
  options.max_connections = kMaxOperatorConnections;
  options.tls = tls_.clients;
  return options;
}

OrdersContext Control::Impl::MakeOrdersContext() {
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
  context.demand_tokens_per_second = [this] {
    // The load balancer distributes callers over the hosts of the failure
    // domain, so the domain's demand is estimated as the demand at this host
    // multiplied by the number of hosts.
    std::map<std::string, double> demand = coordinator_.DemandTokensPerSecond();
    for (auto& [model, tokens_per_second] : demand)
      tokens_per_second *= static_cast<double>(same_domain_hosts_.size() + 1);
    return demand;
  };
  return context;
}

services::HostListOptions Control::Impl::MakeHostListOptions() const {
  services::HostListOptions options;
  options.base_url = settings_.host_list_url;
  options.source_address = settings_.address;
  options.period = settings_.host_list_period;
  return options;
}

void Control::Impl::AddConfiguredPeers() {
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
  ApplyMemberOutput(members_.OnHostList(hosts, {}, Now()), Now());
}

void Control::Impl::OnHostList(Result<services::HostList> list) {
  const TimePoint now = Now();
  host_list_reachable_ = list.ok();
  if (!list)
    return;
  if (list->unreadable_entries > 0)
    logger_.Write(
        LogLine(LogLevel::kWarning, "host_list_entries_unreadable")
            .Field("entries", static_cast<uint64_t>(list->unreadable_entries)));
  std::vector<membership::HostListEntry> hosts;
  const size_t listed_before = std::exchange(listed_hosts_, 0);
  for (const services::ListedHost& host : list->hosts) {
    hosts.push_back(
        {host.name, WithoutPort(host.address), host.domain, host.leaving});
    listed_hosts_ += !host.leaving;
  }
  std::vector<membership::UpstreamListEntry> upstreams;
  std::unordered_map<std::string, std::string> versions;
  for (const services::ListedUpstream& upstream : list->upstreams) {
    versions[upstream.name] = upstream.version;
    upstreams.push_back({upstream.name, upstream.domain, upstream.leaving});
    if (!upstream.leaving)
      upstreams_.ClearLeaving(upstream.name, routing::LeavingSource::kHostList,
                              now);
    else if (upstreams_.MarkLeaving(upstream.name,
                                    routing::LeavingSource::kHostList, now))
      BroadcastUpstreamLeaving(upstreams_.MakeLeavingMessage(now));
  }
  upstreams_.SetVersions(std::move(versions));
  ApplyMemberOutput(members_.OnHostList(hosts, upstreams, now), now);
  // The limits depend on the number of listed hosts.
  if (listed_hosts_ != listed_before)
    RefreshMembers(now);
}

void Control::Impl::ApplyConfig(
    std::shared_ptr<const config::ConfigView> view) {
  const TimePoint now = Now();
  std::vector<routing::UpstreamSpec> specs;
  std::vector<std::string> engines;
  engine_urls_.clear();
  for (const auto& [name, entry] : view->assignments) {
    if (!entry.assignment)
      continue;
    specs.push_back(ToUpstreamSpec(*entry.assignment));
    if (entry.assignment->kind == config::UpstreamKind::kEngine &&
        entry.assignment->domain == settings_.domain) {
      engines.push_back(name);
      engine_urls_[name] = entry.assignment->url;
    }
  }
  upstreams_.SetUpstreams(specs, now);
  report_sharing_.SetEngines(std::move(engines));
  UpdatePolledEngines();
  for (const auto& [customer, entry] : view->contracts) {
    if (entry.contract)
      limits_.ApplyContract(customer, entry.contract->limits, now);
  }
  for (const std::string& customer : limited_customers_) {
    if (view->contracts.count(customer) == 0)
      limits_.RemoveContract(customer);
  }
  limited_customers_.clear();
  for (const auto& [customer, entry] : view->contracts)
    limited_customers_.insert(customer);
  if (orders_)
    orders_->ApplyConfig(view);
  shared_.SetConfig(view);
  logger_.Write(LogLine(LogLevel::kInfo, "in_force")
                    .Field("host", self_.host)
                    .Field("incarnation", self_.incarnation)
                    .Field("offset", view->next_offset - 1));
  coordinator_.ApplyConfig(std::move(view), now);
}

Control::Control(const Settings& settings,
                 const TlsSetup& tls,
                 PublishedState& shared,
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

void Control::Drain(DrainPort& traffic, std::function<void()> done) {
  impl_->Drain(traffic, std::move(done));
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
                             std::shared_ptr<const StoredAnswer> answer) {
  impl_->loop().Post([this, end = std::move(end), answer = std::move(answer)] {
    impl_->coordinator().OnAttemptEnded(end, answer, impl_->Now());
  });
}

void Control::OnCallerDisconnected(RequestId request) {
  impl_->loop().Post([this, request] {
    impl_->coordinator().OnCallerDisconnected(request, impl_->Now());
  });
}

void Control::OnIdempotencyTokenRequested(int worker,
                                          RequestId request,
                                          const std::string& customer) {
  impl_->loop().Post([this, worker, request, customer] {
    impl_->coordinator().OnIdempotencyTokenRequested(worker, request, customer);
  });
}

}  // namespace teaselhill::router
