/// \file
/// Routing and admission of callers' requests.

#include "teaselhill/gateway/gateway.h"

#include "exchange.h"
#include "teaselhill/gateway/shutdown_schedule.h"
#include "teaselhill/net/error_response.h"

namespace teaselhill::gateway {

namespace {

constexpr std::chrono::seconds kCleanupPeriod{1};

/// Of a health check that finds out whether an upstream is reached at all.
constexpr std::chrono::milliseconds kReachProbeTimeout{200};

/// Idle connections kept for load reports. One more idle connection per engine
/// and host is a small fraction of what an engine accepts.
constexpr size_t kMaxIdleReportConnections = 96;

/// Retry-After delay while there is no configuration or upstream list; the
/// source is read again within this time.
constexpr std::chrono::seconds kNoConfigurationRetryAfter{1};

PlacementRequest MakePlacementRequest(const CallerRequest& caller,
                                      uint64_t sample) {
  PlacementRequest placement_request;
  placement_request.sample = sample;
  uint32_t prompt_tokens = 0;
  // The last segment is unique to the request and never cached.
  for (size_t i = 0; i + 1 < caller.prompt_segments.size(); ++i) {
    placement_request.prefix_hash = caller.prompt_segments[i].id;
    placement_request.shared_prefix_tokens += caller.prompt_segments[i].tokens;
  }
  for (const PromptSegment& segment : caller.prompt_segments)
    prompt_tokens += segment.tokens;
  prompt_tokens = std::max(prompt_tokens, caller.prompt_tokens);
  placement_request.unique_tokens =
      prompt_tokens - placement_request.shared_prefix_tokens;
  return placement_request;
}

std::unique_ptr<PlacementPolicy> MakePlacement(
    const GatewayOptions& options,
    const engines::EngineSpeeds& engine_speeds) {
  PlacementOptions placement = options.placement;
  placement.engine_speeds = &engine_speeds;
  placement.own_host = options.host;
  return std::move(*PlacementRegistry::Instance().Create(
      options.placement_policy, placement));
}

}  // namespace

Gateway::Gateway(net::EventLoop& loop,
                 GatewayOptions options,
                 const CallerProtocol& callers,
                 const UpstreamProtocol& upstreams,
                 const SharedState& shared,
                 EventLog& log,
                 Metrics& metrics)
    : loop_(loop),
      options_(std::move(options)),
      callers_(callers),
      upstreams_(upstreams),
      shared_state_(shared),
      log_(log),
      metrics_(metrics),
      client_(loop, /*max_idle_connections=*/16),
      report_client_(loop, kMaxIdleReportConnections),
      rng_(EntropySeed()),
      placement_(MakePlacement(options_, engine_speeds_)),
      report_fetcher_(loop, report_client_, upstreams, upstream_health_),
      crash_guard_(loop,
                   client_,
                   upstreams,
                   shared,
                   log,
                   *this,
                   options_.crash_guard),
      reach_prober_(client_, upstreams, kReachProbeTimeout),
      relay_peers_(options_.host),
      brittle_upstreams_(EntropySeed()),
      retry_budget_(options_.retry_budget),
      overload_gate_(options_.overload_gate) {
  if (options_.count_usage)
    usage_counter_ = std::make_unique<duties::UsageCounter>(EntropySeed() | 1);
  client_.UseBudget(options_.memory_budget);
  report_client_.UseBudget(options_.memory_budget);
  cleanup_timer_ = loop_.timers().Subscribe(kCleanupPeriod, [this](TimePoint) {
    const TimePoint now = BootNow();
    placement_->ExpireUnused(now);
    LogReserveChanges(now);
    FollowEngineSpeeds(now);
    ShareEngineNews(now);
    upstream_health_.ExpireUpstreams(now);
    crash_guard_.Expire(now);
    const CrashCounts counts = crash_guard_.Count(now);
    suspects_ = counts.suspects;
    quarantined_ = counts.quarantined;
    const auto upstream_list = shared_state_.upstreams();
    if (upstream_list)
      upstream_notices_.Expire(*upstream_list, now);
    FollowUpstreams(now);
    stream_versions_.Expire(now);
    RecordVersions();
    LogNoticeChanges("directory", now);
    limited_upstreams_ = upstream_notices_.limits().size();
  });
}

Gateway::~Gateway() = default;

void Gateway::Handle(net::HttpRequest request,
                     std::shared_ptr<net::ResponseWriter> response) {
  Accept(std::move(request), std::nullopt, std::move(response),
         Duration::zero());
}

void Gateway::HandleRelayed(net::HttpRequest request,
                            RelayOrigin origin,
                            std::shared_ptr<net::ResponseWriter> response) {
  Accept(std::move(request), std::move(origin), std::move(response),
         Duration::zero());
}

void Gateway::Accept(net::HttpRequest request,
                     std::optional<RelayOrigin> origin,
                     std::shared_ptr<net::ResponseWriter> response,
                     Duration waited) {
  AcceptedRequest accepted_request;
  accepted_request.relay_origin = std::move(origin);
  accepted_request.arrived_at = BootNow();
  std::optional<Rejection> rejection =
      ResolveRequest(request, accepted_request);
  if (!rejection)
    rejection = ShortenDeadline(waited, accepted_request);
  if (!rejection)
    rejection = CheckCrashes(request, accepted_request);
  if (!rejection)
    rejection = CheckDrain(request, accepted_request);
  if (rejection)
    return RejectRequest(request, accepted_request.caller, *response,
                         rejection->error, rejection->retry_after);
  // The connection may end with an answer before this one.
  if (request.behind_unanswered && !accepted_request.route->retryable())
    return AwaitTurn(std::move(request), accepted_request, std::move(response));
  if (accepted_request.placement_request.is_engine)
    accepted_request.gate_decision = overload_gate_.Admit(
        accepted_request.service, accepted_request.gate_level(),
        accepted_request.route->answer_target, rng_.Uniform(), rng_.Uniform(),
        accepted_request.arrived_at);
  accepted_request.http_request =
      std::make_shared<const net::HttpRequest>(std::move(request));
  FollowUpstreams(accepted_request.arrived_at);
  accepted_request.id = ++last_id_;
  // The host that took a relayed request from its caller has counted it.
  if (!accepted_request.relay_origin)
    retry_budget_.OnRequest(accepted_request.service,
                            accepted_request.arrived_at, WallNow());
  const RequestId id = accepted_request.id;
  const auto exchange = std::make_shared<Exchange>(
      *this, std::move(accepted_request), std::move(response));
  exchanges_.emplace(id, exchange);
  open_requests_ = exchanges_.size();
  exchange->Start();
}

void Gateway::AwaitTurn(net::HttpRequest request,
                        const AcceptedRequest& accepted_request,
                        std::shared_ptr<net::ResponseWriter> response) {
  log_.Write(LineKind::kRoutine,
             LogLine(LogLevel::kInfo, "awaits_turn")
                 .Field("request", accepted_request.caller.attempt_id)
                 .Field("route", accepted_request.route->name),
             accepted_request.arrived_at);
  request.behind_unanswered = false;
  net::ResponseWriter& writer = *response;
  writer.SetTurnHandler(
      [this, alive = std::weak_ptr<const bool>(alive_),
       kept = std::make_shared<net::HttpRequest>(std::move(request)),
       origin = accepted_request.relay_origin, response = std::move(response),
       arrived_at = accepted_request.arrived_at] {
        if (!alive.expired())
          Accept(std::move(*kept), origin, response, BootNow() - arrived_at);
      });
}

std::optional<Gateway::Rejection> Gateway::ShortenDeadline(
    Duration waited,
    AcceptedRequest& accepted_request) const {
  if (waited == Duration::zero())
    return std::nullopt;
  const Duration left =
      accepted_request.TimeLimit(options_.exchange_limits.max_duration) -
      waited;
  if (left <= options_.exchange_limits.min_retry_time)
    return Rejection{{ResultCode::kDeadlineUnreachable, ""}};
  accepted_request.caller.deadline = left;
  return std::nullopt;
}

std::optional<Gateway::Rejection> Gateway::ResolveRequest(
    const net::HttpRequest& request,
    AcceptedRequest& accepted_request) {
  Result<CallerRequest> caller = callers_.ReadRequest(request);
  if (!caller)
    return Rejection{caller.error()};
  accepted_request.caller = std::move(*caller);
  if (rejecting_)
    return Rejection{{ResultCode::kDraining, ""}, kDrainingRetryAfter};
  accepted_request.routes = shared_state_.routes();
  if (!accepted_request.routes || !shared_state_.upstreams())
    return Rejection{{ResultCode::kNoConfiguration, ""},
                     kNoConfigurationRetryAfter};
  accepted_request.route = accepted_request.routes->FindRoute(
      accepted_request.caller.host, request.path);
  if (!accepted_request.route)
    return Rejection{
        {ResultCode::kUnknownPath, "no route for this host and path"}};
  std::optional<Tier> team_tier;
  const Team* team =
      accepted_request.caller.api_key.empty()
          ? nullptr
          : accepted_request.routes->FindTeam(accepted_request.caller.api_key);
  if (team) {
    accepted_request.team = team->name;
    team_tier = team->tier;
  } else if (accepted_request.routes->config().requires_key &&
             !accepted_request.route->anonymous) {
    return Rejection{{ResultCode::kBadKey, ""}};
  }
  accepted_request.tier = CombineTiers(team_tier, accepted_request.route->tier);
  const std::string& service =
      PickService(*accepted_request.route, rng_.Uniform());
  accepted_request.placement_request =
      MakePlacementRequest(accepted_request.caller, rng_.Next());
  accepted_request.SetService(service);
  return std::nullopt;
}

std::optional<Gateway::Rejection> Gateway::CheckCrashes(
    const net::HttpRequest& request,
    const AcceptedRequest& accepted_request) {
  if (crash_guard_.empty())
    return std::nullopt;
  const CrashKeys keys =
      RequestKeys(request, accepted_request.caller, accepted_request.team);
  const CrashAssessment assessment =
      crash_guard_.Assess(keys, accepted_request.arrived_at);
  if (assessment.refused_for <= Duration::zero())
    return std::nullopt;
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "quarantine_refusal")
                 .Field("request", accepted_request.caller.attempt_id)
                 .Field("fingerprint", ToHex(keys.fingerprint))
                 .Field("cause", CauseText(assessment))
                 .Field("crashes", assessment.crashes)
                 .Field("evidence", CauseEvidenceName(assessment.evidence))
                 .Field("retry_after_ms", assessment.refused_for),
             accepted_request.arrived_at);
  return Rejection{{ResultCode::kQuarantined, ""}, assessment.refused_for};
}

void Gateway::OnRecordsToShare(std::vector<CrashRecord> records) {
  if (crash_publisher_)
    crash_publisher_(std::move(records));
}

void Gateway::OnClaimsToShare(std::vector<TrialClaim> claims) {
  if (claim_publisher_)
    claim_publisher_(std::move(claims));
}

bool Gateway::MayProbe(const UpstreamProcess& upstream) {
  if (upstream_notices_.UntilPauseEnds(upstream, BootNow()) > Duration::zero())
    return false;
  UpstreamLimits& limits = upstream_notices_.limits();
  if (!limits.IsLimited(upstream))
    return true;
  const WallTime now = WallNow();
  if (!limits.OldestTurnAge(upstream, now))
    return false;
  limits.OnSent(upstream, now);
  return true;
}

void Gateway::FollowUpstreams(TimePoint now) {
  const auto upstreams = shared_state_.upstreams();
  if (upstreams && upstreams != followed_upstreams_) {
    followed_upstreams_ = upstreams;
    stream_versions_.OnUpstreams(*upstreams, now);
    brittle_upstreams_.OnUpstreams(*upstreams, now);
  }
  std::vector<StreamRecord> records;
  for (const std::string& service :
       stream_versions_.TakeServicesWithNewVersion()) {
    for (StreamRecord& record : stream_versions_.OwnRecords(service, now))
      records.push_back(std::move(record));
  }
  if (records.empty() || !stream_peers_)
    return;
  stream_peers_->Append(records);
  stream_peers_->Publish(std::move(records), Duration::zero(), [] {});
}

void Gateway::RecordVersions() {
  if (!version_publisher_)
    return;
  std::vector<VersionRecord> records = stream_versions_.TakeVersionRecords();
  if (!records.empty())
    version_publisher_(std::move(records));
}

void Gateway::OnUpstreamNotice(const UpstreamEntry& upstream,
                               const UpstreamNotice& notice,
                               bool refused,
                               TimePoint sent_at) {
  const UpstreamProcess process{upstream.id, upstream.incarnation};
  const TimePoint now = BootNow();
  if (notice.limit.unreadable)
    log_.Write(LineKind::kFailure,
               LogLine(LogLevel::kWarning, "limit_unreadable")
                   .Field("upstream", upstream.id),
               now);
  upstream_notices_.OnAnswer(process, notice, sent_at, now, WallNow());
  LogNoticeChanges("answer", now);
  UpstreamObservations observations = upstream_notices_.TakeObservations(now);
  const bool brittle = notice.tolerated_refusals.has_value();
  if (brittle != brittle_upstreams_.IsBrittle(process))
    log_.Write(
        LineKind::kState,
        LogLine(LogLevel::kInfo, "upstream_brittle")
            .Field("upstream", upstream.id)
            .Field("brittle", brittle)
            .Field("tolerated_refusals", notice.tolerated_refusals.value_or(0))
            .Field("slots", upstream.slots),
        now);
  brittle_upstreams_.OnAnswer(upstream, notice.tolerated_refusals, sent_at,
                              now);
  if (refused && brittle_upstreams_.OnRefused(upstream, /*local=*/true, now))
    observations.refusals.push_back(process);
  if (!observations.empty() && notice_publisher_)
    notice_publisher_(std::move(observations));
}

void Gateway::OnUpstreamObservations(const UpstreamObservations& observations) {
  const TimePoint now = BootNow();
  upstream_notices_.OnObservations(observations, now, WallNow());
  const auto upstreams = shared_state_.upstreams();
  for (const UpstreamProcess& process : observations.refusals) {
    const UpstreamEntry* upstream =
        upstreams ? upstreams->Find(process) : nullptr;
    if (upstream)
      brittle_upstreams_.OnRefused(*upstream, /*local=*/false, now);
  }
  engine_speeds_.OnTold(observations.speeds);
  placement_->OnReserveNeeds(observations.reserve_needs, now);
  for (const UpstreamProcess& process : observations.unreachable)
    restart_watch_.OnUnreachable(process, shared_state_.upstream_reads(), now);
  LogNoticeChanges("peer", now);
}

void Gateway::OnUpstreamUnreachable(const UpstreamProcess& upstream) {
  const bool is_news = restart_watch_.OnUnreachable(
      upstream, shared_state_.upstream_reads(), BootNow());
  if (!is_news || !notice_publisher_)
    return;
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "upstream_may_restart")
                 .Field("upstream", upstream.id)
                 .Field("incarnation", upstream.incarnation),
             BootNow());
  UpstreamObservations observations;
  observations.unreachable.push_back(upstream);
  notice_publisher_(std::move(observations));
}

void Gateway::LogNoticeChanges(std::string_view source, TimePoint now) {
  for (const LimitChange& change : upstream_notices_.limits().TakeChanges()) {
    LogLine line(LogLevel::kInfo,
                 change.limit ? "upstream_limited" : "upstream_limit_ended");
    line.Field("upstream", change.upstream.id)
        .Field("incarnation", change.upstream.incarnation)
        .Field("source", source);
    if (change.limit)
      line.Field("requests_per_second", *change.limit);
    if (change.previous)
      line.Field("previous", *change.previous);
    log_.Write(LineKind::kState, line, now);
  }
  for (const NoticeChange& change : upstream_notices_.TakeChanges()) {
    LogLine line(LogLevel::kInfo,
                 change.leaving ? "upstream_leaving" : "upstream_paused");
    line.Field("upstream", change.upstream.id)
        .Field("incarnation", change.upstream.incarnation)
        .Field("source", source);
    if (!change.leaving)
      line.Field("for_ms", change.pause);
    log_.Write(LineKind::kState, line, now);
  }
}

void Gateway::RejectRequest(const net::HttpRequest& request,
                            const CallerRequest& caller,
                            net::ResponseWriter& response,
                            const Error& error,
                            Duration retry_after) {
  const auto routes = shared_state_.routes();
  const TimePoint now = BootNow();
  LogLine line(LogLevel::kInfo, "refused");
  line.Field("request", caller.attempt_id)
      .Field("code", static_cast<int>(error.code))
      .Field("reason", Describe(error.code).name)
      .Field("host", caller.host)
      .Field("path", request.path)
      .Field("config_version", routes ? routes->version() : 0)
      .Field("upstreams_known", shared_state_.upstreams() != nullptr);
  if (final_answers_at_)
    line.Field("final_answers_in_ms", *final_answers_at_ - now);
  log_.Write(LineKind::kFailure, line, now);
  metrics_.CountOutcome("", "refused", error.code);
  RespondError(response, error, retry_after);
}

void Gateway::RespondError(net::ResponseWriter& response,
                           const Error& error,
                           Duration retry_after) const {
  response.Respond(callers_.ErrorStatus(error),
                   callers_.ErrorHeaders(error, retry_after),
                   net::ErrorBody(error));
}

void Gateway::LogHealthEvents(TimePoint now) {
  for (const HealthEvent& event : upstream_health_.TakeEvents()) {
    const bool is_domain = !event.domain.empty();
    std::string name = is_domain ? "domain" : "upstream";
    name += event.ejected ? "_ejected" : "_returned";
    LogLine line(event.ejected ? LogLevel::kWarning : LogLevel::kInfo, name);
    line.Field(is_domain ? "domain" : "upstream",
               is_domain ? event.domain : event.upstream_id)
        .Field("ejections", event.consecutive_ejections)
        .Field("failures", event.failures)
        .Field("successes", event.successes);
    if (event.ejected)
      line.Field("for_ms", event.ejection_duration);
    log_.Write(LineKind::kFailure, line, now);
  }
}

void Gateway::LogReserveChanges(TimePoint now) {
  for (const ReserveChange& change : placement_->TakeReserveChanges()) {
    reserved_fractions_[change.service] = change.fraction;
    metrics_.SetGauges("teaselhill_reserved_engines_ratio",
                       "Part of a service's engines that serves its most "
                       "urgent streams only.",
                       "service", reserved_fractions_);
    log_.Write(LineKind::kState,
               LogLine(LogLevel::kInfo, "engines_reserved")
                   .Field("service", change.service)
                   .Field("fraction", change.fraction)
                   .Field("own_need", change.own_need)
                   .Field("hosts", static_cast<uint64_t>(change.hosts))
                   .Field("busy_fraction", change.busy_fraction),
               now);
  }
}

void Gateway::FollowEngineSpeeds(TimePoint now) {
  for (const engines::EngineSpeedChange& change :
       engine_speeds_.TakeChanges()) {
    LogLine line(LogLevel::kInfo, "engine_speed");
    line.Field("service", change.now.service)
        .Field("upstream", change.now.engine.id)
        .Field("speed", change.now.speed)
        .Field("previous", change.previous)
        .Field("source", change.told ? "peer" : "stream");
    if (!change.told)
      line.Field("interval_ms", change.interval)
          .Field("usual_ms", change.usual);
    log_.Write(LineKind::kState, line, now);
  }
  const auto upstreams = shared_state_.upstreams();
  if (upstreams)
    engine_speeds_.Expire(
        [&upstreams](const UpstreamProcess& process) {
          return upstreams->Lists(process);
        },
        [&upstreams](const std::string& service) {
          return upstreams->OfService(service).size();
        });
  const std::map<std::string, double> slow = engine_speeds_.CountSlow();
  if (!slow.empty())
    metrics_.SetGauges("teaselhill_slow_engines",
                       "Engines of a service below the usual speed.", "service",
                       slow);
}

void Gateway::ShareEngineNews(TimePoint now) {
  UpstreamObservations observations;
  observations.speeds = engine_speeds_.TakeNews();
  observations.reserve_needs = placement_->TakeReserveNeeds(now);
  if (!observations.empty() && notice_publisher_)
    notice_publisher_(std::move(observations));
}

void Gateway::RemoveExchange(RequestId id) {
  exchanges_.erase(id);
  open_requests_ = exchanges_.size();
}

}  // namespace teaselhill::gateway
