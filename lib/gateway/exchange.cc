/// \file
/// Places a request and sends it to upstreams.

#include "exchange.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

namespace {

std::string_view RouteKindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non_idempotent";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::optional<uint64_t> ResumePoint(const AcceptedRequest& request) {
  return request.route->resumable ? request.caller.resume_after : std::nullopt;
}

}  // namespace

void AcceptedRequest::SetService(const std::string& name) {
  service = name;
  placement_request.service = name;
  const Service* known = routes->FindService(name);
  placement_request.is_engine = known && known->is_engine;
  placement_request.engine_spec = known ? known->engine_spec : EngineSpec{};
  const std::optional<Tier> urgent_tier = routes->UrgentStreamTier(name);
  placement_request.has_urgent_streams = urgent_tier.has_value();
  placement_request.is_urgent_stream =
      route->kind == RouteKind::kStream && urgent_tier == route->tier;
}

std::string AcceptedRequest::SharedPartsText() const {
  std::string text;
  for (size_t i = 0; i + 1 < caller.prompt_segments.size(); ++i) {
    text += text.empty() ? "" : ",";
    text += CrashKeyText(PromptPartKey(caller.prompt_segments[i].id));
  }
  return text;
}

std::string AcceptedRequest::ClassLabel() const {
  return std::string(RouteKindName(route->kind)) + "-" + std::to_string(tier);
}

Duration AcceptedRequest::TimeLimit(Duration max_duration) const {
  Duration limit = route->timeout;
  if (caller.deadline > Duration::zero() &&
      (limit == Duration::zero() || caller.deadline < limit))
    limit = caller.deadline;
  return limit == Duration::zero() || limit > max_duration ? max_duration
                                                           : limit;
}

/// Forwards the callbacks of one transfer to the exchange while the transfer is
/// the current attempt or the replaced one.
class Exchange::AttemptHandler : public net::TransferHandler {
 public:
  explicit AttemptHandler(std::weak_ptr<Exchange> exchange)
      : exchange_(std::move(exchange)) {}

  void OnHead(int status, const net::Headers& headers) override {
    const auto exchange = exchange_.lock();
    if (exchange && IsReplaced(*exchange))
      exchange->PreferReplacedAttempt();
    if (exchange && IsCurrent(*exchange))
      exchange->OnHead(status, headers);
    if (exchange)
      exchange->UpdateHeldBytes();
  }
  void OnData(std::string_view data) override {
    const auto exchange = exchange_.lock();
    if (exchange && IsReplaced(*exchange))
      exchange->PreferReplacedAttempt();
    if (exchange && IsCurrent(*exchange))
      exchange->OnData(data);
    if (exchange)
      exchange->UpdateHeldBytes();
  }
  void OnEnd(const net::TransferEnd& end) override {
    const auto exchange = exchange_.lock();
    if (exchange && IsReplaced(*exchange))
      exchange->OnReplacedAttemptEnd(end);
    else if (exchange && IsCurrent(*exchange))
      exchange->OnEnd(end);
    if (exchange)
      exchange->UpdateHeldBytes();
  }

 private:
  bool IsCurrent(const Exchange& exchange) const {
    return exchange.attempt_.handler.get() == this;
  }
  bool IsReplaced(const Exchange& exchange) const {
    return exchange.replaced_attempt_ &&
           exchange.replaced_attempt_->handler.get() == this;
  }

  std::weak_ptr<Exchange> exchange_;
};

Exchange::Exchange(Gateway& gateway,
                   AcceptedRequest request,
                   std::shared_ptr<net::ResponseWriter> response)
    : gateway_(gateway),
      request_(std::move(request)),
      response_(std::move(response)),
      event_stream_(ResumePoint(request_)) {
  const Route& route = *request_.route;
  state_.retryable = route.retryable();
  state_.resumable = route.kind == RouteKind::kStream && route.resumable;
  state_.max_attempts = std::max(1, route.max_attempts);
  if (request_.relay_origin)
    state_.max_attempts = std::clamp(request_.relay_origin->attempts_left, 1,
                                     state_.max_attempts);
  own_deadline_ =
      request_.arrived_at +
      request_.TimeLimit(gateway_.options_.exchange_limits.max_duration);
  state_.deadline = own_deadline_;
  CapDeadline();
}

Exchange::~Exchange() = default;

void Exchange::Start() {
  response_->SetCloseHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnCallerDisconnected();
  });
  if (gateway_.options_.memory_budget)
    memory_account_ =
        gateway_.options_.memory_budget->Open([weak = weak_from_this()] {
          if (const auto self = weak.lock())
            self->GiveWay();
        });
  // The request may have to wait before its first attempt.
  if (IsCutByDrain())
    ArmTimer();
  if (TryRelay())
    return;
  if (NeedsStreamVersion())
    return FindStreamVersion([this] { PrepareToPlace(); });
  PrepareToPlace();
}

void Exchange::PrepareToPlace() {
  const TimePoint now = BootNow();
  const bool wants_reports =
      request_.placement_request.is_engine &&
      (!request_.gate_decision.admitted ||
       gateway_.placement_->AlwaysNeedsReports(
           request_.placement_request, *gateway_.shared_state_.upstreams()) ||
       gateway_.upstream_health_.MeanServiceDelay(request_.service, now) >=
           gateway_.report_fetcher_.options().min_mean_delay);
  if (!wants_reports)
    return PlaceOrShed();
  // A load report counts as a request at an upstream that names a limit.
  request_.placement_request.limited_upstreams = LimitedUpstreams();
  gateway_.report_fetcher_.RefreshReports(
      gateway_.placement_->ReportCandidates(request_.placement_request,
                                            *gateway_.shared_state_.upstreams(),
                                            gateway_.upstream_health_, now),
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->finished_)
          self->PlaceOrShed();
      });
}

std::optional<Placement> Exchange::PlaceRequest() {
  const auto upstream_list = gateway_.shared_state_.upstreams();
  directory_offset_ = upstream_list->end_offset;
  const CrashGuard& crash_guard = gateway_.crash_guard_;
  attempt_.crash_assessment = {};
  request_.placement_request.avoided_upstreams.clear();
  if (!crash_guard.empty()) {
    const CrashKeys keys = request_.Keys();
    attempt_.crash_assessment = crash_guard.Assess(keys, BootNow());
    request_.placement_request.avoided_upstreams =
        crash_guard.UpstreamsToAvoid(keys, attempt_.crash_assessment);
  }
  request_.placement_request.limited_upstreams = UpstreamsWithoutTurn();
  AvoidRestarted(&request_.placement_request.limited_upstreams);
  return gateway_.placement_->ChooseUpstream(
      request_.placement_request, *upstream_list, gateway_.upstream_health_,
      BootNow());
}

bool Exchange::PassesGate(const std::optional<Placement>& placement) {
  if (request_.gate_decision.admitted)
    return true;
  if (!placement)
    return false;
  const std::optional<int> reported_running =
      gateway_.upstream_health_.ReportedRunning(placement->upstream.id,
                                                BootNow());
  if (!reported_running)
    return false;
  request_.gate_decision = gateway_.overload_gate_.RecheckWithLoad(
      request_.service, request_.gate_level(), request_.gate_decision,
      {placement->expected_delay, *reported_running},
      request_.route->answer_target);
  return request_.gate_decision.admitted;
}

void Exchange::PlaceOrShed() {
  if (!MayBeginAttempt(BootNow()))
    return EndByDrain();
  if (TryRelay())
    return;
  if (request_.relay_origin && IsCutOff())
    return FailRequest({ResultCode::kNoUpstream, ""});
  const Duration wait = WaitBeforeRun(BootNow());
  if (wait > Duration::zero())
    return Hold(wait, [this] { PlaceOrShed(); });
  const std::optional<Placement> placement = PlaceRequest();
  if (!PassesGate(placement))
    return ShedRequest();
  if (!placement && !request_.placement_request.limited_upstreams.empty())
    return RefuseForLimits();
  if (!placement)
    return FailRequest({ResultCode::kNoUpstream, ""});
  SendToUpstream(*placement);
  if (request_.placement_request.is_engine && !finished_ && !first_event_at_) {
    queued_at_gate_ = true;
    gateway_.overload_gate_.OnQueued(request_.service, request_.gate_level());
  }
}

void Exchange::SendToUpstream(const Placement& placement) {
  const TimePoint now = BootNow();
  attempt_.upstream = placement.upstream;
  attempt_.relay_peer.reset();
  attempt_.expected_prefill = gateway_.placement_->ExpectedPrefill(
      request_.placement_request, attempt_.upstream, now);
  if (HasPool())
    CountEngineWork(now);
  ++state_.sends;
  attempt_.possible_runs = 1;
  state_.possible_runs += attempt_.possible_runs;
  BeginAttempt(now);
  attempt_.measures_speed = gateway_.placement_->UsesEngineSpeeds(
      request_.placement_request, *gateway_.shared_state_.upstreams());
  if (attempt_.crash_assessment.isolate)
    attempt_.suspect_run = gateway_.crash_guard_.StartRun(
        attempt_.upstream.id, attempt_.crash_assessment);
  gateway_.placement_->OnRequestSent(request_.placement_request,
                                     attempt_.upstream, now);
  UseTurn();
  NoteUsageSend(now);
  attempt_.open_request =
      gateway_.brittle_upstreams_.Open(attempt_.upstream.id);
  const std::optional<uint64_t> resume_after = ResumeAfter();
  LogLine line = RequestLogLine("placed");
  if (request_.relay_origin)
    line.Field("for_host", request_.relay_origin->host);
  if (resume_after)
    line.Field("resume_after", *resume_after)
        .Field("resumed_request", request_.caller.resumed_attempt_id);
  gateway_.log_.Write(
      state_.sends > 1 || resume_after ? LineKind::kFailure
                                       : LineKind::kRoutine,
      line.Field("upstream", attempt_.upstream.id)
          .Field("version", attempt_.upstream.version)
          .Field("address", attempt_.upstream.address)
          .Field("domain", attempt_.upstream.domain)
          .Field("attempt", state_.sends)
          .Field("reason", PlacementReasonName(placement.reason))
          .Field("expected_ms", placement.expected_delay)
          .Field("second_best_ms", placement.second_best_delay)
          .Field("engine_speed", placement.engine_speed)
          .Field("candidates", placement.candidate_count)
          .Field("ejected", placement.ejected_count)
          .Field("limited",
                 static_cast<uint64_t>(
                     request_.placement_request.limited_upstreams.size()))
          .Field("directory_offset", directory_offset_)
          .Field("directory_age_ms",
                 now - gateway_.shared_state_.upstreams_read_at())
          .Field("crashes", attempt_.crash_assessment.suspected_crashes)
          .Field("trial", attempt_.crash_assessment.is_trial)
          .Field("time_left_ms", state_.deadline - now)
          .Field("config_version", request_.routes->version()),
      now);
  LogStream();
  net::ClientRequest request = gateway_.upstreams_.BuildRequest(
      *request_.http_request, request_.caller,
      MakeAttemptContext(attempt_.upstream, now));
  StartTransfer(std::move(request), now);
}

bool Exchange::HasPool() const {
  if (!request_.routes->has_pools())
    return false;
  const Service* service = request_.routes->FindService(request_.service);
  return service && service->pool;
}

void Exchange::CountEngineWork(TimePoint now) {
  const PlacementRequest& request = request_.placement_request;
  uint64_t tokens = request.unique_tokens;
  if (request.shared_prefix_tokens > 0) {
    PlacementRequest unique = request;
    unique.prefix_hash = 0;
    unique.shared_prefix_tokens = 0;
    const bool reads_prefix =
        attempt_.expected_prefill >
        gateway_.placement_->ExpectedPrefill(unique, attempt_.upstream, now);
    tokens += reads_prefix ? request.shared_prefix_tokens : 0;
  }
  attempt_.engine_work = gateway_.work_counter_.OnSent(
      request_.service, attempt_.upstream.domain, request_.route->tier, tokens);
}

void Exchange::BeginAttempt(TimePoint now) {
  attempt_.answer_started_at.reset();
  attempt_.response_head.reset();
  attempt_.measures_speed = false;
  attempt_.event_intervals = {};
  std::string().swap(attempt_.buffered_body);
  attempt_.sent_at = attempt_.progress_at = attempt_.data_at = now;
  stall_recheck_at_ = {};
  attempt_.silence_reported = false;
  attempt_.counted_as_stalled = false;
  attempt_.number = state_.sends;
  logged_obstacle_.reset();
}

void Exchange::StartTransfer(net::ClientRequest request, TimePoint now) {
  request.connect_timeout = std::min<Duration>(
      gateway_.options_.connect_timeout, state_.deadline - now);
  if (!request.body.empty()) {
    std::string().swap(request.body);
    request.shared_body = std::shared_ptr<const std::string>(
        request_.http_request, &request_.http_request->body);
  }
  request.max_body_bytes = gateway_.options_.exchange_limits.max_answer_bytes;
  // A reused connection may carry the late answer of an earlier request or be
  // dead without notice, and libcurl would resend the request on its own.
  request.fresh_connection = true;
  request.close_connection = true;
  attempt_.handler = std::make_shared<AttemptHandler>(weak_from_this());
  attempt_.transfer =
      gateway_.client_.Start(std::move(request), attempt_.handler);
  gateway_.metrics_.CountAttempt(state_.sends > 1 ? "again" : "first");
  ArmTimer();
}

AttemptContext Exchange::MakeAttemptContext(const UpstreamEntry& upstream,
                                            TimePoint now) const {
  AttemptContext context;
  context.upstream = upstream;
  context.team = request_.team;
  context.time_left = state_.deadline - now;
  context.tier = request_.tier;
  context.is_engine = request_.placement_request.is_engine;
  context.resume_after = ResumeAfter();
  return context;
}

std::optional<uint64_t> Exchange::ResumeAfter() const {
  return state_.resumable ? event_stream_.last_event_id()
                          : request_.caller.resume_after;
}

void Exchange::StopAttempt(Attempt& attempt) {
  const std::shared_ptr<AttemptHandler> handler = std::move(attempt.handler);
  attempt.handler.reset();
  attempt.suspect_run.reset();
  attempt.open_request.reset();
  attempt.engine_work.Reset();
  if (!handler)
    return;
  gateway_.client_.Cancel(attempt.transfer);
  if (attempt.relay_peer)
    return;
  ReportEngineSpeed(attempt);
  gateway_.placement_->OnAttemptEnded(request_.placement_request,
                                      attempt.upstream.id,
                                      attempt.answer_started_at.has_value());
}

void Exchange::ReportEngineSpeed(const Attempt& attempt) {
  const std::optional<Duration> interval = attempt.event_intervals.Typical();
  if (interval)
    gateway_.engine_speeds_.OnStream(
        request_.service, request_.route->tier,
        {attempt.upstream.id, attempt.upstream.incarnation}, *interval);
}

}  // namespace teaselhill::gateway
