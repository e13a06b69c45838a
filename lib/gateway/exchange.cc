/// \file
/// Relay of one request and its attempts.

#include "exchange.h"

#include <algorithm>
#include <utility>

#include "teaselhill/net/error_response.h"

namespace teaselhill::gateway {

namespace {

/// Bytes that may wait for a slow caller before its upstream is not read.
constexpr size_t kMaxPendingBytes = 256 << 10;

/// A longer answer that is not a stream is passed on while it arrives.
constexpr size_t kMaxHeldBytes = 1 << 20;

/// Part of the time before the end that is left for the answer to reach the
/// caller.
constexpr std::chrono::milliseconds kAnswerMargin{10};

/// Silence longer than this many typical delays is taken for a fault: under
/// load every upstream answers late, and sending again would add to the load.
constexpr int kStallFactor = 4;

/// An answer that has not begun after this many targets counts as late before
/// it begins.
constexpr int kLateTargets = 2;

/// Shortest silence that is taken for a fault of the upstream.
constexpr std::chrono::milliseconds kLeastStall{250};

std::string_view KindName(RouteKind kind) {
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

/// Label of bounded cardinality: configurations may hold hundreds of routes.
std::string ClassLabel(const Accepted& accepted) {
  return std::string(KindName(accepted.route->kind)) + "-" +
         std::to_string(accepted.tier);
}

std::optional<uint64_t> FirstMissing(const Accepted& accepted) {
  return accepted.route->resumable ? accepted.caller.resume_after
                                   : std::nullopt;
}

}  // namespace

/// Passes the events of one transfer on while it is the current attempt.
class Exchange::Attempt : public net::TransferHandler {
 public:
  explicit Attempt(std::weak_ptr<Exchange> exchange)
      : exchange_(std::move(exchange)) {}

  void OnHead(int status, const net::Headers& headers) override {
    if (const auto exchange = Current())
      exchange->OnHead(status, headers);
  }
  void OnData(std::string_view data) override {
    if (const auto exchange = Current())
      exchange->OnData(data);
  }
  void OnEnd(const net::TransferEnd& end) override {
    if (const auto exchange = Current())
      exchange->OnEnd(end);
  }

  net::TransferId transfer = 0;

 private:
  std::shared_ptr<Exchange> Current() const {
    auto exchange = exchange_.lock();
    return exchange && exchange->attempt_.get() == this ? exchange : nullptr;
  }

  std::weak_ptr<Exchange> exchange_;
};

Exchange::Exchange(Gateway& gateway,
                   Accepted accepted,
                   std::shared_ptr<net::ResponseWriter> response)
    : gateway_(gateway),
      accepted_(std::move(accepted)),
      response_(std::move(response)),
      events_(FirstMissing(accepted_)) {
  const Route& route = *accepted_.route;
  state_.kind = route.kind;
  state_.repeatable = route.repeatable();
  state_.resumable = route.kind == RouteKind::kStream && route.resumable;
  state_.max_attempts = std::max(1, route.max_attempts);
  Duration time = route.timeout;
  if (accepted_.caller.deadline > Duration::zero() &&
      (time == Duration::zero() || accepted_.caller.deadline < time))
    time = accepted_.caller.deadline;
  state_.end =
      time == Duration::zero() ? TimePoint::max() : accepted_.arrival + time;
}

Exchange::~Exchange() = default;

void Exchange::Start() {
  response_->SetCloseHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnCallerGone();
  });
  if (!Send())
    return Fail({ResultCode::kNoUpstream, ""});
  if (accepted_.placement.engine && !finished_ && !first_event_at_) {
    queued_ = true;
    gateway_.gate_.OnQueued(accepted_.service, accepted_.level());
  }
}

bool Exchange::Send() {
  const TimePoint now = BootNow();
  const auto list = gateway_.shared_.upstreams();
  const std::optional<Placed> placed = gateway_.placement_.Choose(
      accepted_.placement, *list, gateway_.health_, now);
  if (!placed)
    return false;
  upstream_ = placed->upstream;
  expected_work_ =
      gateway_.placement_.ExpectedPrefill(accepted_.placement, upstream_, now);
  ++state_.sends;
  ++state_.runs;
  begun_ = false;
  head_.reset();
  body_.clear();
  sent_at_ = progress_at_ = now;
  gateway_.placement_.OnSent(accepted_.placement, upstream_, now);
  gateway_.log_.Write(
      state_.sends > 1 ? LineKind::kFailure : LineKind::kRoutine,
      Line("placed")
          .Field("upstream", upstream_.id)
          .Field("address", upstream_.address)
          .Field("domain", upstream_.domain)
          .Field("attempt", state_.sends)
          .Field("reason", ReasonName(placed->reason))
          .Field("expected_ms", placed->expected_delay)
          .Field("second_best_ms", placed->second_best)
          .Field("candidates", placed->candidates)
          .Field("ejected", placed->ejected)
          .Field("directory_offset", list->offset)
          .Field("directory_age_ms", now - gateway_.shared_.upstreams_read_at())
          .Field("config_version", accepted_.routes->version()),
      now);
  net::ClientRequest request = gateway_.upstreams_.Build(
      accepted_.request, accepted_.caller, MakeOrder(upstream_, now));
  request.connect_timeout =
      std::min<Duration>(gateway_.options_.connect_timeout, state_.end - now);
  // A kept connection may hold a late answer or be dead without notice, and
  // libcurl would send the request again by itself.
  request.fresh_connection = true;
  request.close_connection = true;
  attempt_ = std::make_shared<Attempt>(weak_from_this());
  attempt_->transfer = gateway_.client_.Start(std::move(request), attempt_);
  gateway_.metrics_.CountAttempt(state_.sends > 1 ? "again" : "first");
  Watch();
  return true;
}

SendOrder Exchange::MakeOrder(const UpstreamEntry& upstream,
                              TimePoint now) const {
  SendOrder order;
  order.upstream = upstream;
  order.team = accepted_.team;
  order.time_left = state_.end - now;
  order.tier = accepted_.tier;
  order.engine = accepted_.placement.engine;
  order.resume_after =
      state_.resumable ? events_.last_id() : accepted_.caller.resume_after;
  return order;
}

void Exchange::StopAttempt() {
  const std::shared_ptr<Attempt> stopped = std::move(attempt_);
  attempt_.reset();
  if (!stopped)
    return;
  gateway_.client_.Cancel(stopped->transfer);
  gateway_.placement_.OnEnded(accepted_.placement, upstream_.id, begun_);
}

void Exchange::OnHead(int status, const net::Headers& headers) {
  progress_at_ = BootNow();
  gateway_.health_.OnReached(upstream_.domain);
  AnswerHead head = gateway_.upstreams_.ReadHead(
      status, headers, accepted_.caller, *accepted_.route);
  upstream_retry_after_ = head.retry_after;
  switch (head.kind) {
    case HeadKind::kAnswer:
      head_ = std::move(head);
      return;
    case HeadKind::kNotRun:
      return EndAttempt(AttemptOutcome::kNotRun,
                        "status " + std::to_string(status));
    case HeadKind::kWrongUpstream:
      gateway_.health_.OnMisdirected(upstream_.id, progress_at_);
      return EndAttempt(AttemptOutcome::kNotRun,
                        "another upstream has the address");
    case HeadKind::kUnsafeStatus:
      return EndAttempt(AttemptOutcome::kBroken,
                        "status " + std::to_string(status) +
                            " without a statement that it was not run");
    case HeadKind::kForeign:
      return EndAttempt(
          AttemptOutcome::kBroken,
          "not an answer to this request, status " + std::to_string(status));
  }
}

void Exchange::OnData(std::string_view data) {
  if (!head_)
    return;
  const TimePoint now = BootNow();
  if (!begun_) {
    begun_ = true;
    gateway_.placement_.OnBegun(accepted_.placement, upstream_.id);
    const Duration excess = now - sent_at_ - expected_work_;
    gateway_.health_.OnDelay(upstream_.id, excess, now);
    gateway_.health_.OnServiceDelay(accepted_.service, excess, now);
  }
  if (head_->success && head_->events)
    return OnEvents(data);
  progress_at_ = now;
  if (state_.head_sent)
    return WriteAnswer(std::string(data));
  body_.append(data);
  if (body_.size() <= kMaxHeldBytes)
    return;
  BeginAnswer();
  WriteAnswer(std::exchange(body_, {}));
}

void Exchange::OnEvents(std::string_view data) {
  Result<std::string> events = events_.Feed(data);
  if (!events)
    return EndAttempt(AttemptOutcome::kBroken, events.error().message);
  if (events->empty())
    return;
  const TimePoint now = BootNow();
  if (first_event_at_)
    longest_gap_ = std::max(longest_gap_, now - progress_at_);
  progress_at_ = now;
  if (!first_event_at_) {
    first_event_at_ = now;
    TellGate(now);
    if (std::exchange(queued_, false))
      gateway_.gate_.OnBegan(accepted_.service, accepted_.level(), now);
    gateway_.metrics_.ObserveFirstToken(ClassLabel(accepted_),
                                        now - accepted_.arrival);
  }
  BeginAnswer();
  WriteAnswer(std::move(*events));
}

void Exchange::BeginAnswer() {
  if (std::exchange(state_.head_sent, true))
    return;
  response_->Start(head_->status, head_->headers);
}

void Exchange::WriteAnswer(std::string data) {
  response_->Write(std::move(data));
  if (paused_ || !attempt_ || response_->pending_bytes() <= kMaxPendingBytes)
    return;
  paused_ = true;
  gateway_.client_.Pause(attempt_->transfer);
  response_->SetDrainHandler([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->paused_ ||
        self->response_->pending_bytes() > kMaxPendingBytes / 2)
      return;
    self->paused_ = false;
    if (self->attempt_)
      self->gateway_.client_.Resume(self->attempt_->transfer);
  });
}

void Exchange::OnEnd(const net::TransferEnd& end) {
  if (!head_) {
    const bool unsent = end.code == ResultCode::kConnectFailed ||
                        (!end.may_have_been_sent && end.status == 0);
    return EndAttempt(
        unsent ? AttemptOutcome::kNotSent : AttemptOutcome::kBroken,
        end.code == ResultCode::kOk ? "no answer" : end.detail);
  }
  if (end.code != ResultCode::kOk)
    return EndAttempt(AttemptOutcome::kBroken, end.detail);
  if (!head_->success)
    return EndAttempt(AttemptOutcome::kFailureAnswer,
                      "status " + std::to_string(head_->status));
  if (head_->events && !events_.at_boundary())
    return EndAttempt(AttemptOutcome::kBroken, "ended inside an event");
  OnWhole();
}

void Exchange::OnWhole() {
  const TimePoint now = BootNow();
  Observe(AttemptOutcome::kComplete, now);
  StopAttempt();
  if (state_.head_sent) {
    response_->Finish();
  } else if (head_->events) {
    BeginAnswer();
    response_->Finish();
  } else {
    response_->Respond(head_->status, head_->headers, std::move(body_));
  }
  const Duration total = now - accepted_.arrival;
  const Duration judged =
      first_event_at_ ? *first_event_at_ - accepted_.arrival : total;
  const Duration gap = accepted_.route->target_gap;
  const bool in_time = judged <= accepted_.route->target &&
                       (gap == Duration::zero() || longest_gap_ <= gap);
  gateway_.metrics_.ObserveAnswer(ClassLabel(accepted_), total, in_time);
  Finish(ResultCode::kOk, in_time ? "in_time" : "late");
}

void Exchange::EndAttempt(AttemptOutcome outcome, std::string detail) {
  const TimePoint now = BootNow();
  Observe(outcome, now);
  if (outcome == AttemptOutcome::kNotRun || outcome == AttemptOutcome::kNotSent)
    --state_.runs;
  StopAttempt();
  events_.DropPartial();
  paused_ = false;
  accepted_.placement.excluded.push_back(upstream_.id);
  const bool allowed =
      MaySendAgain(state_, outcome, gateway_.options_.limits, now);
  // A send that did not arrive repeats nothing at any upstream.
  const bool budget =
      allowed && (outcome == AttemptOutcome::kNotSent ||
                  gateway_.budget_.TryTake(accepted_.service, now));
  gateway_.log_.Write(LineKind::kFailure,
                      Line("attempt_ended")
                          .Field("upstream", upstream_.id)
                          .Field("attempt", state_.sends)
                          .Field("outcome", OutcomeName(outcome))
                          .Field("detail", detail)
                          .Field("after_ms", now - sent_at_)
                          .Field("head_sent", state_.head_sent)
                          .Field("events", events_.events())
                          .Field("may_have_run", state_.runs > 0)
                          .Field("repeat_allowed", allowed)
                          .Field("repeat_budget", budget)
                          .Field("time_left_ms", state_.end - now),
                      now);
  if (budget && Send())
    return;
  Follow(Decide(state_, outcome, /*can_repeat=*/false), outcome);
}

void Exchange::Observe(AttemptOutcome outcome, TimePoint now) {
  UpstreamHealth& health = gateway_.health_;
  const std::string& id = upstream_.id;
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return health.OnSucceeded(id, now);
    case AttemptOutcome::kFailureAnswer:
    case AttemptOutcome::kBroken:
      return health.OnFailed(id, now);
    case AttemptOutcome::kNotRun:
      return health.OnRefused(id, now);
    case AttemptOutcome::kNotSent:
      return health.OnConnectFailed(id, upstream_.domain, now);
    case AttemptOutcome::kSilent:
      return health.OnSilent(id, now);
  }
}

void Exchange::Follow(const NextStep& step, AttemptOutcome outcome) {
  if (std::holds_alternative<gateway::PassFailure>(step))
    return PassFailure();
  if (const auto* refuse = std::get_if<gateway::Refuse>(&step))
    return Fail({refuse->code, ""});
  if (const auto* unknown = std::get_if<FailUnknown>(&step))
    return Fail({unknown->code, ""});
  if (const auto* cut = std::get_if<gateway::CutShort>(&step)) {
    response_->Abort();
    Finish(cut->code, "cut_short");
  }
}

void Exchange::PassFailure() {
  const int status = head_->status;
  response_->Respond(status, head_->headers, std::move(body_));
  Finish(ResultCode::kUpstreamLost, "status_" + std::to_string(status));
}

void Exchange::Fail(const Error& error) {
  response_->Respond(
      Describe(error.code).http_status,
      gateway_.callers_.ErrorHeaders(error, RetryAfter(error.code)),
      net::ErrorBody(error));
  Finish(error.code, Describe(error.code).name);
}

Duration Exchange::RetryAfter(ResultCode code) const {
  if (upstream_retry_after_ > Duration::zero())
    return upstream_retry_after_;
  // An upstream that is replaced is back or left out after about a second; a
  // full one serves its queue in less.
  return code == ResultCode::kNoUpstream ? std::chrono::milliseconds(700)
                                         : std::chrono::milliseconds(300);
}

void Exchange::OnCallerGone() {
  if (finished_)
    return;
  StopAttempt();
  Finish(ResultCode::kCallerGone, "caller_gone");
}

void Exchange::Finish(ResultCode code, std::string_view reason) {
  finished_ = true;
  timer_.Cancel();
  if (std::exchange(queued_, false))
    gateway_.gate_.OnLeft(accepted_.service, accepted_.level());
  const TimePoint now = BootNow();
  const bool good = code == ResultCode::kOk;
  LogLine line = Line(good ? "answered" : "failed");
  line.Field("code", static_cast<int>(code))
      .Field("reason", reason)
      .Field("outcome", teaselhill::OutcomeName(Describe(code).outcome))
      .Field("team", accepted_.team)
      .Field("tier", accepted_.tier)
      .Field("service", accepted_.service)
      .Field("attempts", state_.sends)
      .Field("upstream", upstream_.id)
      .Field("total_ms", now - accepted_.arrival);
  if (first_event_at_)
    line.Field("first_event_ms", *first_event_at_ - accepted_.arrival)
        .Field("longest_gap_ms", longest_gap_)
        .Field("events", events_.events());
  gateway_.log_.Write(good ? LineKind::kRoutine : LineKind::kFailure, line,
                      now);
  gateway_.metrics_.CountOutcome(accepted_.team, ClassLabel(accepted_), code);
  // The last use of this object: the table holds the owning pointer.
  gateway_.Forget(accepted_.id);
}

void Exchange::TellGate(TimePoint now) {
  if (accepted_.placement.engine && !std::exchange(told_gate_, true))
    gateway_.gate_.OnWaited(accepted_.service, accepted_.level(),
                            now - accepted_.arrival, accepted_.route->target,
                            now);
}

void Exchange::Watch() {
  const TimePoint now = BootNow();
  TimePoint next = state_.end;
  if (accepted_.placement.engine && !told_gate_)
    next = std::min(next, accepted_.arrival + GateDelay());
  if (state_.repeatable)
    next = std::min(next, progress_at_ + StallTime());
  const Duration delay = std::max<Duration>(next - now - kAnswerMargin,
                                            std::chrono::milliseconds(1));
  timer_ = gateway_.loop_.timers().After(delay,
                                         [weak = weak_from_this()](TimePoint) {
                                           if (const auto self = weak.lock())
                                             self->OnTimer(BootNow());
                                         });
}

Duration Exchange::GateDelay() const {
  return accepted_.route->target * kLateTargets;
}

Duration Exchange::StallTime() const {
  const Route& route = *accepted_.route;
  const Duration usual = begun_ && route.target_gap > Duration::zero()
                             ? route.target_gap
                             : route.target;
  const Duration typical =
      gateway_.health_.TypicalDelay(accepted_.service, BootNow());
  return std::max<Duration>({2 * usual, kStallFactor * typical, kLeastStall});
}

void Exchange::OnTimer(TimePoint now) {
  if (finished_)
    return;
  if (now + kAnswerMargin >= accepted_.arrival + GateDelay())
    TellGate(now);
  if (now + 2 * kAnswerMargin >= state_.end) {
    StopAttempt();
    return Follow(GiveUp(state_, ResultCode::kDeadlineUnreachable),
                  AttemptOutcome::kSilent);
  }
  const bool stalled = state_.repeatable && !paused_ && attempt_ &&
                       now + kAnswerMargin >= progress_at_ + StallTime();
  // An attempt that cannot be replaced goes on: silence is no reason to end it.
  if (stalled && MaySendAgain(state_, AttemptOutcome::kSilent,
                              gateway_.options_.limits, now))
    return EndAttempt(AttemptOutcome::kSilent, "no byte in the usual time");
  Watch();
  if (stalled)
    progress_at_ = now;
}

LogLine Exchange::Line(std::string_view event) const {
  LogLine line(LogLevel::kInfo, event);
  line.Field("request", accepted_.caller.id)
      .Field("route", accepted_.route->name);
  return line;
}

}  // namespace teaselhill::gateway
