/// \file
/// Ends of attempts and requests.

#include <algorithm>
#include <utility>

#include "exchange.h"
#include "teaselhill/gateway/shutdown_schedule.h"

namespace teaselhill::gateway {

bool Exchange::IsUpstreamInService(const Attempt& attempt) const {
  const UpstreamEntry& upstream = attempt.upstream;
  if (gateway_.upstream_notices_.IsLeaving({upstream.id, upstream.incarnation}))
    return false;
  const auto upstream_list = gateway_.shared_state_.upstreams();
  const std::vector<UpstreamEntry>& listed =
      upstream_list->OfService(upstream.service);
  return std::any_of(listed.begin(), listed.end(),
                     [&upstream](const UpstreamEntry& entry) {
                       return entry.id == upstream.id &&
                              entry.incarnation == upstream.incarnation;
                     });
}

void Exchange::ReportConnectionLost(const Attempt& attempt) {
  if (attempt.relay_peer)
    return;
  // An upstream that leaves ends its connections when it stops.
  if (!IsUpstreamInService(attempt))
    return;
  const TimePoint now = BootNow();
  if (attempt.suspect_run)
    attempt.suspect_run->OnLost(
        {attempt.upstream.id, attempt.upstream.incarnation}, now);
  gateway_.crash_guard_.OnConnectionLost(request_.Keys(), attempt.upstream,
                                         attempt.AnsweringFor(now),
                                         attempt.sent_at, now);
}

void Exchange::ReportGivenUp() {
  const TimePoint now = BootNow();
  if (!attempt_.handler || attempt_.relay_peer ||
      !IsUpstreamInService(attempt_))
    return;
  if (attempt_.crash_assessment.is_trial)
    gateway_.crash_guard_.OnTrialAbandoned(
        request_.Keys(), attempt_.upstream,
        attempt_.AnsweringFor(attempt_.data_at), attempt_.sent_at, now);
  ReportSilence(now);
}

void Exchange::CloseAttempt(AttemptOutcome outcome) {
  SendHeldEvents();
  RecordOutcome(attempt_, outcome, BootNow());
  logged_obstacle_.reset();
  if (CannotHaveRun(outcome)) {
    state_.possible_runs -= attempt_.possible_runs;
    WithdrawUsageSend();
  }
  StopAttempt(attempt_);
  event_stream_.DiscardPartial();
  transfer_paused_ = false;
  if (!attempt_.relay_peer)
    request_.placement_request.excluded_upstreams.push_back(
        attempt_.upstream.id);
}

void Exchange::EndAttempt(AttemptOutcome outcome, std::string detail) {
  if (outcome == AttemptOutcome::kNotRun)
    attempt_.engine_work.OnRefused();
  CloseAttempt(outcome);
  const TimePoint now = BootNow();
  const Duration hold = HoldTime(now);
  const bool retry_allowed = MayRetry(state_, RetryLimits(now), now + hold);
  LogAttemptEnd(attempt_, outcome, detail, hold, retry_allowed);
  if (replaced_attempt_ && CannotHaveRun(outcome)) {
    replacement_not_sent_ = outcome == AttemptOutcome::kNotSent;
    return ReplaceAgain();
  }
  // The replacement may have run, so the replaced attempt must not go on.
  DropReplacedAttempt();
  if (!retry_allowed)
    return ApplyFinalStep(DecideFinalStep(state_, outcome));
  RetryOrFinish(outcome);
}

void Exchange::LogAttemptEnd(const Attempt& attempt,
                             AttemptOutcome outcome,
                             const std::string& detail,
                             Duration hold,
                             bool retry_allowed) const {
  const TimePoint now = BootNow();
  const RetryBudget::Usage usage =
      gateway_.retry_budget_.UsageOf(request_.service, now, WallNow());
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("attempt_ended")
          .Field("upstream", attempt.upstream.id)
          .Field("incarnation", attempt.upstream.incarnation)
          .Field("host", attempt.relay_peer ? attempt.relay_peer->host : "")
          .Field("attempt", attempt.number)
          .Field("outcome", AttemptOutcomeName(outcome))
          .Field("detail", detail)
          .Field("after_ms", now - attempt.sent_at)
          .Field("head_sent", state_.head_sent)
          .Field("events", event_stream_.event_count())
          .Field("may_have_run", state_.possible_runs > 0)
          .Field("hold_ms", hold)
          .Field("repeat_allowed", retry_allowed)
          .Field("repeat_budget", usage.has_room())
          .Field("repeats", static_cast<uint64_t>(usage.retries))
          .Field("repeats_limit", usage.limit)
          .Field("additional_repeat", usage.has_additional)
          .Field("time_left_ms", state_.deadline - now)
          .Field("fingerprint", ToHex(request_.Keys().fingerprint))
          .Field("prompt_parts", request_.SharedPartsText()),
      now);
}

void Exchange::RetryOrFinish(AttemptOutcome outcome) {
  // The request may have waited since the end of the attempt.
  if (!MayBeginAttempt(BootNow()))
    return ApplyFinalStep(DecideFinalStep(state_, outcome));
  if (RelayAgain(outcome))
    return;
  if (NeedsStreamVersion())
    return FindStreamVersion([this, outcome] { RetryOrFinish(outcome); });
  const Duration wait = WaitBeforeRun(BootNow());
  if (wait > Duration::zero())
    return Hold(wait, [this, outcome] { RetryOrFinish(outcome); });
  const std::optional<Placement> placement = PlaceRequest();
  // A send that did not reach an upstream does not count against the retry
  // budget.
  const bool within_budget =
      placement && (outcome == AttemptOutcome::kNotSent ||
                    gateway_.retry_budget_.TryAcquire(request_.service,
                                                      BootNow(), WallNow()));
  if (within_budget)
    return SendToUpstream(*placement);
  LogRefusedRetry(placement ? ReplacementObstacle::kRetryBudget
                            : ReplacementObstacle::kNoUpstream);
  // The router gave up an answer that may have been on its way.
  if (!replaced_upstreams_.empty())
    return AwaitRetry(outcome);
  ApplyFinalStep(DecideFinalStep(state_, outcome));
}

void Exchange::LogRefusedRetry(ReplacementObstacle obstacle) {
  if (logged_obstacle_ == obstacle)
    return;
  logged_obstacle_ = obstacle;
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("retry_refused").Field("reason", ObstacleName(obstacle)),
      BootNow());
}

void Exchange::RecordOutcome(const Attempt& attempt,
                             AttemptOutcome outcome,
                             TimePoint now) {
  // What this host sees while it is cut off says nothing of the upstreams.
  if (attempt.relay_peer ||
      (IsCutOff() && outcome != AttemptOutcome::kComplete))
    return;
  UpstreamHealth& health = gateway_.upstream_health_;
  const std::string& id = attempt.upstream.id;
  switch (outcome) {
    case AttemptOutcome::kComplete:
      health.OnAnswerCompleted(id, now);
      break;
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      health.OnAnswerFailed(id, now);
      break;
    case AttemptOutcome::kNotRun:
      health.OnRequestRefused(id, now);
      break;
    case AttemptOutcome::kNotSent:
      health.OnConnectFailed(id, attempt.upstream.domain, now);
      gateway_.OnUpstreamUnreachable({id, attempt.upstream.incarnation});
      break;
  }
  gateway_.LogHealthEvents(now);
}

void Exchange::ApplyFinalStep(const FinalStep& step) {
  if (std::holds_alternative<gateway::ForwardFailureStep>(step))
    return ForwardFailure();
  if (const auto* reject = std::get_if<RejectStep>(&step))
    return FailRequest({reject->code, ""});
  if (const auto* fail_unknown = std::get_if<FailUnknownStep>(&step))
    return FailRequest({fail_unknown->code, ""});
  if (const auto* abort_answer = std::get_if<AbortAnswerStep>(&step)) {
    response_->Abort();
    FinishRequest(abort_answer->code, "cut_short");
  }
}

void Exchange::ForwardFailure() {
  const int status = attempt_.response_head->status;
  AddRelayHeaders(&attempt_.response_head->headers);
  response_->Respond(status, attempt_.response_head->headers,
                     std::move(attempt_.buffered_body));
  FinishRequest(ResultCode::kUpstreamLost, "status_" + std::to_string(status));
}

void Exchange::FailRequest(const Error& error) {
  gateway_.RespondError(*response_, error, RetryAfter(error.code));
  FinishRequest(error.code, Describe(error.code).name);
}

void Exchange::ShedRequest() {
  const GateDecision& gate_decision = request_.gate_decision;
  const Error error{ResultCode::kQueueFull, "the answer would start too late"};
  LogLine line = RequestLogLine("shed");
  line.Field("code", static_cast<int>(error.code))
      .Field("team", request_.team)
      .Field("tier", request_.tier)
      .Field("service", request_.service)
      .Field("pressure", gate_decision.pressure)
      .Field("expected_wait_ms", gate_decision.expected_wait)
      .Field("refused_part", gate_decision.rejected_fraction)
      .Field("retry_after_ms", gate_decision.retry_after)
      .Field("config_version", request_.routes->version());
  if (gate_decision.load)
    line.Field("backlog_ms", gate_decision.load->backlog)
        .Field("running", gate_decision.load->running_requests);
  gateway_.log_.Write(LineKind::kFailure, line, BootNow());
  gateway_.metrics_.CountOutcome(request_.team, "shed", error.code);
  if (HasPool())
    gateway_.work_counter_.OnRefused(request_.service, request_.route->tier);
  gateway_.RespondError(*response_, error, gate_decision.retry_after);
  finished_ = true;
  // Must be the last use of this object: the table may hold the last reference.
  gateway_.RemoveExchange(request_.id);
}

Duration Exchange::RetryAfter(ResultCode code) const {
  if (code == ResultCode::kDraining)
    return kDrainingRetryAfter;
  if (upstream_retry_after_ > Duration::zero())
    return upstream_retry_after_;
  // A restarting upstream is ready again or ejected after about a second; a
  // full upstream works off its queue in less time.
  return code == ResultCode::kNoUpstream ? std::chrono::milliseconds(700)
                                         : std::chrono::milliseconds(300);
}

void Exchange::OnCallerDisconnected() {
  if (finished_)
    return;
  ReportGivenUp();
  RecordStall(BootNow());
  StopAttempt(attempt_);
  FinishRequest(ResultCode::kCallerGone, "caller_gone");
}

void Exchange::FinishRequest(ResultCode code, std::string_view reason) {
  finished_ = true;
  CountUsageOfSend();
  DropReplacedAttempt();
  timeout_timer_.Cancel();
  hold_timer_.Cancel();
  if (std::exchange(queued_at_gate_, false))
    gateway_.overload_gate_.OnEndedUnanswered(request_.service,
                                              request_.gate_level());
  const TimePoint now = BootNow();
  const bool success = code == ResultCode::kOk;
  if (success)
    gateway_.route_durations_.OnAnswered(request_.route->name,
                                         now - request_.arrived_at, now);
  else
    ReportDuration();
  LogLine line = RequestLogLine(success ? "answered" : "failed");
  line.Field("code", static_cast<int>(code))
      .Field("reason", reason)
      .Field("outcome", teaselhill::OutcomeName(Describe(code).outcome))
      .Field("team", request_.team)
      .Field("tier", request_.tier)
      .Field("service", request_.service)
      .Field("attempts", state_.sends)
      .Field("upstream", attempt_.upstream.id)
      .Field("forwarded_to",
             attempt_.relay_peer ? attempt_.relay_peer->host : "")
      .Field("total_ms", now - request_.arrived_at);
  if (gateway_.final_answers_at_)
    line.Field("final_answers_in_ms", *gateway_.final_answers_at_ - now);
  if (code == ResultCode::kCallerGone)
    line.Field("fingerprint", ToHex(request_.Keys().fingerprint));
  if (first_event_at_)
    line.Field("first_event_ms", *first_event_at_ - request_.arrived_at)
        .Field("longest_gap_ms", max_event_gap_)
        .Field("events", event_stream_.event_count());
  gateway_.log_.Write(success ? LineKind::kRoutine : LineKind::kFailure, line,
                      now);
  gateway_.metrics_.CountOutcome(request_.team, request_.ClassLabel(), code);
  // Must be the last use of this object: the table may hold the last reference.
  gateway_.RemoveExchange(request_.id);
}

LogLine Exchange::RequestLogLine(std::string_view event) const {
  LogLine line(LogLevel::kInfo, event);
  line.Field("request", request_.caller.attempt_id)
      .Field("route", request_.route->name);
  return line;
}

}  // namespace teaselhill::gateway
