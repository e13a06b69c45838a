/// \file
/// Attempts of requests: start, progress, end, retries and crashes.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>

#include "request_state.h"

namespace teaselhill::router {

namespace {

routing::EndKind ToEndKind(const AttemptEnd& end) {
  if (end.complete)
    return routing::EndKind::kCompleted;
  if (end.code == ResultCode::kUpstreamRefused)
    return routing::EndKind::kRefused;
  if (!end.may_have_been_sent)
    return routing::EndKind::kConnectFailed;
  if (end.code == ResultCode::kTimedOut)
    return routing::EndKind::kTimeout;
  return routing::EndKind::kStreamBroken;
}

retry::AttemptEndKind ToRetryKind(routing::EndKind kind) {
  switch (kind) {
    case routing::EndKind::kConnectFailed:
      return retry::AttemptEndKind::kConnectFailed;
    case routing::EndKind::kRefused:
      return retry::AttemptEndKind::kRefused;
    case routing::EndKind::kTimeout:
      return retry::AttemptEndKind::kTimeout;
    case routing::EndKind::kCompleted:
    case routing::EndKind::kCancelled:
    case routing::EndKind::kStreamBroken:
      break;
  }
  return retry::AttemptEndKind::kStreamBroken;
}

/// Whether an upstream that answers with this status has not run the request.
/// 499 is the answer to a request that was cancelled and may have been running.
bool SaysNotRun(int status) {
  return status == 503 || (status >= 400 && status < 500 && status != 499);
}

/// Whether the status of a refusal indicates that the request itself is
/// invalid, so that any other upstream would refuse it too.
bool IsInvalidRequestStatus(int status) {
  return status >= 400 && status < 500 && status != 404 && status != 408 &&
         status != 409 && status != 429 && SaysNotRun(status);
}

claims::Answer ToClaimAnswer(
    const std::shared_ptr<const StoredAnswer>& stored) {
  claims::Answer answer;
  if (!stored) {
    // Too large to store: a retry fails with kAnswerNotKept.
    answer.code = ResultCode::kAnswerNotKept;
    return answer;
  }
  answer.http_status = stored->status;
  for (const net::Header& header : stored->headers)
    answer.headers.emplace_back(header.name, header.value);
  answer.body = stored->body;
  return answer;
}

std::string CandidatesJson(const routing::Choice& choice) {
  std::string json = "[";
  for (const routing::CandidateEstimate& candidate : choice.candidates) {
    LogLine figures(LogLevel::kInfo, "candidate");
    figures.Field("upstream", candidate.upstream)
        .Field("load", candidate.load)
        .Field("max_batch", candidate.max_batch)
        .Field("report_age_ms", candidate.report_age)
        .Field("queueing_ms", candidate.queueing)
        .Field("prefill_ms", candidate.prefill)
        .Field("decode_ms", candidate.decode)
        .Field("crossing_ms", candidate.crossing)
        .Field("cached_blocks", static_cast<uint64_t>(candidate.cached_blocks));
    json += (json.size() > 1 ? "," : "") + figures.Finish();
  }
  return json + "]";
}

}  // namespace

void RequestCoordinator::StartAttempt(Request& request,
                                      const routing::Choice& choice,
                                      bool hedge,
                                      TimePoint now) {
  const routing::Upstream* upstream =
      components_.upstreams->Find(choice.upstream);
  assert(upstream && "the policy chose an unknown upstream");
  const bool suspect =
      components_.crashes->Advise(request.info.fingerprint, now).precaution !=
      retry::CrashPrecaution::kNone;
  ActiveAttempt attempt;
  attempt.id = ++last_attempt_;
  attempt.upstream = choice.upstream;
  attempt.sent_at = attempt.last_progress_at = now;
  attempt.hedge = hedge;
  attempt.suspect = suspect;
  attempt.version = components_.upstreams->VersionOf(choice.upstream);
  const int number = request.next_attempt++;
  request.attempts.emplace(number, attempt);
  request.phase = Request::Phase::kRunning;
  attempt_owners_[attempt.id] = {request.info.id, number};

  routing::SentAttempt sent;
  sent.attempt = attempt.id;
  sent.upstream = choice.upstream;
  sent.prompt_tokens = request.info.prompt_tokens;
  sent.predicted_output_tokens =
      static_cast<uint32_t>(request.predicted_tokens);
  sent.prefix_blocks = request.info.prefix_hashes;
  sent.resumable = request.info.idempotent;
  sent.suspect = suspect;
  components_.upstreams->OnAttemptSent(sent, now);
  const retry::CrashActions started = components_.crashes->OnAttemptStarted(
      attempt.id, request.info.fingerprint, choice.upstream, now);
  if (!started.message.empty()) {
    fleet_.BroadcastCrashSuspicion(started.message);
    fleet_.BroadcastUpstreamSends();
  }
  if (request.has_claim_entry)
    components_.claims->OnDispatchDecided(request.info.id);
  if (!hedge)
    components_.admission->OnAttemptSent(request.info.id, now);

  AttemptCommand command;
  command.request = request.info.id;
  command.attempt = number;
  command.upstream = choice.upstream;
  const auto assignment = view_->assignments.find(choice.upstream);
  assert(assignment != view_->assignments.end() &&
         "an upstream in the table has no assignment");
  command.url = assignment->second.assignment->url;
  command.resume_offset = request.delivered_tokens;
  command.engine_priority = request.request_class.tier;
  command.replaces = FindPausedAttempt(request);
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("routing", request.info)
          .Field("upstream", choice.upstream)
          .Field("reason", routing::ChoiceReasonName(choice.reason))
          .Field("attempt", number)
          .Field("hedge", hedge)
          .Field("isolated", suspect)
          .Field("resume_offset", request.delivered_tokens)
          .Field("eligible", choice.eligible)
          .RawField("candidates", CandidatesJson(choice)));
  metrics_.CountAttempt(hedge                          ? "hedge"
                        : number == 0                  ? "first"
                        : request.delivered_tokens > 0 ? "resume"
                                                       : "retry");
  traffic_.StartAttempt(request.info.worker, command);
}

void RequestCoordinator::OnFirstToken(RequestId id, int number, TimePoint now) {
  Request* request = FindRequest(id);
  if (!request)
    return;
  const auto found = request->attempts.find(number);
  if (found == request->attempts.end())
    return;
  ActiveAttempt& attempt = found->second;
  attempt.last_progress_at = now;
  if (request->delivered_tokens == 0)
    request->answer_version = attempt.version;
  components_.upstreams->OnFirstToken(attempt.id, now);
  components_.hedges->OnFirstTokenLatency(request->info.model,
                                          now - attempt.sent_at);
  if (!request->first_token_at) {
    request->first_token_at = now;
    metrics_.ObserveFirstToken(request->info.class_name,
                               now - request->arrival);
  }
  components_.hedges->OnFirstToken(attempt.id);
  // The token was on its way while the attempt was replaced.
  if (attempt.paused_until)
    return;
  CancelOtherAttempts(*request, number, now);
}

void RequestCoordinator::EndAttempt(Request& request,
                                    int number,
                                    routing::EndKind kind,
                                    TimePoint now) {
  const auto found = request.attempts.find(number);
  if (found == request.attempts.end())
    return;
  const routing::AttemptId id = found->second.id;
  request.attempts.erase(found);
  attempt_owners_.erase(id);
  if (id == 0)
    return;
  components_.upstreams->OnAttemptEnded(id, kind, now);
  if (kind == routing::EndKind::kStreamBroken) {
    const retry::CrashActions actions =
        components_.crashes->OnStreamBroken(id, now);
    ApplyCrashActions(actions, now);
    return;
  }
  if (kind == routing::EndKind::kCompleted) {
    ApplyCrashActions(components_.crashes->OnAttemptCompleted(id, now), now);
    return;
  }
  ApplyCrashActions(components_.crashes->OnAttemptEnded(id, now), now);
}

void RequestCoordinator::OnProgress(const std::vector<TokenProgress>& progress,
                                    TimePoint now) {
  for (const TokenProgress& report : progress) {
    Request* request = FindRequest(report.request);
    if (!request)
      continue;
    const auto found = request->attempts.find(report.attempt);
    if (found == request->attempts.end())
      continue;
    ActiveAttempt& attempt = found->second;
    attempt.tokens += report.tokens;
    attempt.last_progress_at = now;
    request->delivered_tokens += report.tokens;
    components_.upstreams->OnProgress(
        attempt.id, static_cast<uint32_t>(attempt.tokens), now);
    if (request->admitted)
      components_.admission->OnProgress(report.request,
                                        request->delivered_tokens, now);
  }
}

void RequestCoordinator::OnAttemptEnded(
    const AttemptEnd& end,
    const std::shared_ptr<const StoredAnswer>& answer,
    TimePoint now) {
  Request* request = FindRequest(end.request);
  if (!request)
    return;
  request->delivered_tokens = end.delivered_tokens;
  if (end.complete) {
    // A complete answer is final even if the attempt was cancelled while its
    // end was being reported, because the answer was already written to the
    // caller.
    CompleteRequest(*request, end.attempt, end, answer, now);
    StartQueuedRequests(now);
    return;
  }
  if (request->attempts.count(end.attempt) == 0)
    return;
  OnAttemptFailed(*request, end, now);
  StartQueuedRequests(now);
}

void RequestCoordinator::CompleteRequest(
    Request& request,
    int number,
    const AttemptEnd& end,
    const std::shared_ptr<const StoredAnswer>& answer,
    TimePoint now) {
  const RequestId id = request.info.id;
  const auto found = request.attempts.find(number);
  const std::string upstream =
      found == request.attempts.end() ? "" : found->second.upstream;
  EndAttempt(request, number, routing::EndKind::kCompleted, now);
  CancelOtherAttempts(request, number, now);
  const Duration total = now - request.arrival;
  const bool forwarded = request.phase == Request::Phase::kForwarded;
  const Duration target = request.request_class.target_total;
  const Duration first_target = request.request_class.target_first_token;
  const bool within_target =
      (target <= Duration::zero() || total <= target) &&
      (first_target <= Duration::zero() || !request.first_token_at ||
       *request.first_token_at - request.arrival <= first_target);
  decision_log_.AddLine(
      request.info, DecisionLog::MakeLine("outcome", request.info)
                        .Field("outcome", forwarded ? "forwarded" : "answered")
                        .Field("upstream", upstream)
                        .Field("class", request.info.class_name)
                        .Field("tokens", end.delivered_tokens)
                        .Field("total_ms", total)
                        .Field("within_target", within_target));
  if (!forwarded) {
    metrics_.CountOutcome(request.info.customer, request.info.class_name,
                          ResultCode::kOk);
    metrics_.ObserveAnswer(request.info.class_name, total, within_target);
    metrics_.CountTokens(request.info.class_name, end.delivered_tokens);
    components_.budget->OnSuccess(request.info.customer, upstream, now);
    components_.hedges->OnWorkDone(request.info.prompt_tokens +
                                   end.delivered_tokens);
  }
  if (request.admitted) {
    components_.admission->OnFinished(id, end.delivered_tokens, true, now);
    request.admitted = false;
  }
  std::vector<claims::ClaimAction> actions;
  if (request.has_claim_entry) {
    request.has_claim_entry = false;
    actions = components_.claims->OnFinished(id, claims::FinishKind::kAnswered,
                                             ToClaimAnswer(answer), now);
  }
  EraseRequest(id, end.delivered_tokens, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::LogFailedAttempt(const Request& request,
                                          const AttemptEnd& end) {
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("attempt_failed", request.info)
          .Field("upstream", request.attempts.at(end.attempt).upstream)
          .Field("attempt", end.attempt)
          .Field("code", static_cast<int>(end.code))
          .Field("status", end.status)
          .Field("may_have_been_sent", end.may_have_been_sent)
          .Field("tokens", end.tokens)
          .Field("detail", end.detail));
}

void RequestCoordinator::OnAttemptFailed(Request& request,
                                         const AttemptEnd& end,
                                         TimePoint now) {
  const ActiveAttempt attempt = request.attempts.at(end.attempt);
  routing::EndKind kind = ToEndKind(end);
  // A failure is no sign that the upstream refuses all requests.
  if (kind == routing::EndKind::kRefused && !SaysNotRun(end.status))
    kind = routing::EndKind::kTimeout;
  const RequestId id = request.info.id;
  LogFailedAttempt(request, end);
  const bool forwarded = request.phase == Request::Phase::kForwarded;
  const bool is_invalid =
      kind == routing::EndKind::kRefused && IsInvalidRequestStatus(end.status);
  // An engine that refuses an invalid request serves others.
  EndAttempt(request, end.attempt,
             is_invalid ? routing::EndKind::kCancelled : kind, now);
  // EndAttempt() may have quarantined this request and failed it.
  if (!FindRequest(id))
    return;
  if (forwarded)
    return FailRequest(request, {ResultCode::kHolderUnreachable, end.detail},
                       std::chrono::seconds(1), now);
  if (kind == routing::EndKind::kRefused && end.status == 503) {
    components_.upstreams->MarkLeaving(attempt.upstream,
                                       routing::LeavingSource::kRefusal, now);
    fleet_.BroadcastUpstreamLeaving(
        components_.upstreams->MakeLeavingMessage(now));
  }
  if (is_invalid && !request.history.may_have_run) {
    if (request.has_claim_entry)
      components_.claims->OnNotRun(id);
    return AbandonRequest(request, {ResultCode::kUpstreamRefused, end.detail},
                          Duration::zero(), now);
  }
  if (components_.hedges->OnEndedBeforeFirstToken(attempt.id) &&
      !request.attempts.empty())
    return;
  request.excluded_upstreams[attempt.upstream] = now;
  if (attempt.paused_until)
    return;
  if (const std::optional<int> paused = FindPausedAttempt(request)) {
    if (kind == routing::EndKind::kRefused || !end.may_have_been_sent)
      return ResumePausedAttempt(request, now);
    // The replacement may have run, so the paused attempt must not go on.
    EndPausedAttempt(request, *paused, now);
    if (!FindRequest(id))
      return;
  }
  request.history.delivered_tokens =
      static_cast<uint32_t>(request.delivered_tokens);
  request.history.quarantined =
      components_.crashes->Advise(request.info.fingerprint, now).precaution ==
      retry::CrashPrecaution::kRefuse;
  retry::AttemptEnd ended;
  ended.kind = ToRetryKind(kind);
  ended.upstream = attempt.upstream;
  ended.bytes_may_have_reached = end.may_have_been_sent;
  if (end.retry_after > Duration::zero())
    ended.retry_after = end.retry_after;
  ApplyAttemptPlan(
      request, components_.planner->OnAttemptEnded(request.history, ended, now),
      now);
}

void RequestCoordinator::ApplyAttemptPlan(Request& request,
                                          const retry::AttemptPlan& plan,
                                          TimePoint now) {
  if (const auto* give_up = std::get_if<retry::AbandonNotRun>(&plan)) {
    if (request.has_claim_entry)
      components_.claims->OnNotRun(request.info.id);
    return AbandonRequest(request, {give_up->code, ""}, give_up->retry_after,
                          now);
  }
  if (const auto* unknown = std::get_if<retry::AbandonMayHaveRun>(&plan))
    return FailRequest(request, {unknown->code, ""}, std::chrono::seconds(1),
                       now);
  if (request.has_claim_entry)
    components_.claims->OnNotRun(request.info.id);
  // If the request has failed on every upstream that serves its target, all of
  // them may be tried again.
  const auto& serving =
      request.info.model.empty()
          ? components_.upstreams->ServingService(request.info.service)
          : components_.upstreams->ServingModel(request.info.model);
  if (request.excluded_upstreams.size() >= serving.size())
    request.excluded_upstreams.clear();
  if (IsStuckAtVersion(request, now))
    return FailRequest(request,
                       {ResultCode::kUpstreamLost,
                        "no other upstream has the software version that "
                        "began the answer"},
                       std::chrono::seconds(1), now);
  request.phase = Request::Phase::kQueued;
  components_.admission->Requeue(request.info.id, now);
}

void RequestCoordinator::OnSuspicion(const retry::CrashSuspicion& message,
                                     TimePoint now) {
  ApplyCrashActions(components_.crashes->OnMessage(message, now), now);
}

void RequestCoordinator::ApplyCrashActions(const retry::CrashActions& actions,
                                           TimePoint now) {
  if (!actions.message.empty())
    fleet_.BroadcastCrashSuspicion(actions.message);
  for (const retry::CrashReport& crash : actions.message.crashes)
    decision_log_.WriteLine(
        LogLine(LogLevel::kWarning, "upstream_crash")
            .Field("upstream", crash.upstream)
            .Field("suspects", static_cast<uint64_t>(crash.suspects.size())));
  for (const retry::AttemptId id : actions.attempts_to_cancel) {
    const auto found = attempt_owners_.find(id);
    if (found == attempt_owners_.end())
      continue;
    Request* request = FindRequest(found->second.first);
    if (!request)
      continue;
    // The request is running on an upstream, so its outcome is unknown.
    FailRequest(*request,
                {ResultCode::kUpstreamLost,
                 "the request was quarantined while it was running"},
                std::chrono::minutes(10), now);
  }
}

}  // namespace teaselhill::router
