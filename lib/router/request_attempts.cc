/// \file
/// Attempts of requests: start, progress, end, retries, hedges and crashes.

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

/// A refusal that says the request itself is at fault; no other upstream will
/// take it either.
bool IsFaultOfRequest(int status) {
  return status >= 400 && status < 500 && status != 404 && status != 408 &&
         status != 409 && status != 429;
}

claims::Answer ToAnswer(const std::shared_ptr<const KeptAnswer>& kept) {
  claims::Answer answer;
  if (!kept) {
    // Too large to keep: a resend is told that the answer is gone.
    answer.code = ResultCode::kAnswerNotKept;
    return answer;
  }
  answer.http_status = kept->status;
  for (const net::Header& header : kept->headers)
    answer.headers.emplace_back(header.name, header.value);
  answer.body = kept->body;
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

void RequestCoordinator::Start(Request& request,
                               const routing::Choice& choice,
                               bool hedge,
                               TimePoint now) {
  const routing::Upstream* upstream = parts_.upstreams->Find(choice.upstream);
  assert(upstream && "the policy chose an unknown upstream");
  const bool suspect =
      parts_.crashes->Advise(request.info.fingerprint, now).precaution !=
      retry::CrashPrecaution::kNone;
  ActiveAttempt attempt;
  attempt.id = ++last_attempt_;
  attempt.upstream = choice.upstream;
  attempt.sent_at = attempt.progress_at = now;
  attempt.hedge = hedge;
  attempt.suspect = suspect;
  const int number = request.next_attempt++;
  request.attempts.emplace(number, attempt);
  request.phase = Request::Phase::kRunning;
  attempts_[attempt.id] = {request.info.id, number};

  routing::SentAttempt sent;
  sent.attempt = attempt.id;
  sent.upstream = choice.upstream;
  sent.prompt_tokens = request.info.prompt_tokens;
  sent.predicted_output_tokens =
      static_cast<uint32_t>(request.predicted_tokens);
  sent.prefix_blocks = request.info.prefix_hashes;
  sent.resumable = request.info.idempotent;
  sent.suspect = suspect;
  parts_.upstreams->OnAttemptSent(sent, now);
  const retry::CrashActions started = parts_.crashes->OnAttemptStarted(
      attempt.id, request.info.fingerprint, choice.upstream, now);
  if (!started.message.empty()) {
    hosts_.SpreadSuspicion(started.message);
    hosts_.SpreadSends();
  }
  if (request.claimed)
    parts_.claims->OnDispatchDecided(request.info.id);
  if (!hedge)
    parts_.admission->OnStarted(request.info.id, now);

  AttemptOrder order;
  order.request = request.info.id;
  order.attempt = number;
  order.upstream = choice.upstream;
  const auto assignment = view_->assignments.find(choice.upstream);
  assert(assignment != view_->assignments.end() &&
         "an upstream in the table has no assignment");
  order.url = assignment->second.assignment->url;
  order.resume_offset = request.delivered_tokens;
  order.fresh_connection = !request.info.idempotent;
  order.engine_priority = request.request_class.tier;
  log_.Add(request.info,
           DecisionLog::Line("routing", request.info)
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
  traffic_.StartAttempt(request.info.worker, order);
}

void RequestCoordinator::OnFirstToken(RequestId id, int number, TimePoint now) {
  Request* request = Find(id);
  if (!request)
    return;
  const auto found = request->attempts.find(number);
  if (found == request->attempts.end())
    return;
  ActiveAttempt& attempt = found->second;
  attempt.progress_at = now;
  parts_.upstreams->OnFirstToken(attempt.id, now);
  parts_.hedges->OnFirstTokenLatency(request->info.model,
                                     now - attempt.sent_at);
  if (!request->first_token_at) {
    request->first_token_at = now;
    metrics_.ObserveFirstToken(request->info.class_name,
                               now - request->arrival);
  }
  parts_.hedges->OnFirstToken(attempt.id);
  CancelOthers(*request, number, now);
}

void RequestCoordinator::CancelOthers(Request& request,
                                      int kept,
                                      TimePoint now) {
  std::vector<int> others;
  for (const auto& [number, attempt] : request.attempts) {
    if (number != kept)
      others.push_back(number);
  }
  for (int number : others) {
    const ActiveAttempt attempt = request.attempts.at(number);
    traffic_.CancelAttempt(request.info.worker, request.info.id, number);
    EndAttempt(request, number, routing::EndKind::kCancelled, now);
    parts_.hedges->OnLoserSettled(attempt.id,
                                  request.info.prompt_tokens + attempt.tokens);
    metrics_.CountWastedTokens("hedge_lost", attempt.tokens);
  }
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
  attempts_.erase(id);
  if (id == 0)
    return;
  parts_.upstreams->OnAttemptEnded(id, kind, now);
  if (kind == routing::EndKind::kStreamBroken) {
    const retry::CrashActions actions = parts_.crashes->OnStreamBroken(id, now);
    FollowCrashActions(actions, now);
    return;
  }
  if (kind == routing::EndKind::kCompleted) {
    FollowCrashActions(parts_.crashes->OnAttemptCompleted(id, now), now);
    return;
  }
  FollowCrashActions(parts_.crashes->OnAttemptEnded(id, now), now);
}

void RequestCoordinator::OnProgress(const std::vector<TokenProgress>& progress,
                                    TimePoint now) {
  for (const TokenProgress& report : progress) {
    Request* request = Find(report.request);
    if (!request)
      continue;
    const auto found = request->attempts.find(report.attempt);
    if (found == request->attempts.end())
      continue;
    ActiveAttempt& attempt = found->second;
    attempt.tokens += report.tokens;
    attempt.progress_at = now;
    request->delivered_tokens += report.tokens;
    parts_.upstreams->OnProgress(attempt.id,
                                 static_cast<uint32_t>(attempt.tokens), now);
    if (request->admitted)
      parts_.admission->OnProgress(report.request, request->delivered_tokens,
                                   now);
  }
}

void RequestCoordinator::OnAttemptEnded(
    const AttemptEnd& end,
    const std::shared_ptr<const KeptAnswer>& answer,
    TimePoint now) {
  Request* request = Find(end.request);
  if (!request)
    return;
  request->delivered_tokens = end.delivered_tokens;
  if (end.complete) {
    // Also when the attempt was cancelled while its end was on the way: the
    // caller has the whole answer.
    FinishComplete(*request, end.attempt, end, answer, now);
    Pump(now);
    return;
  }
  if (request->attempts.count(end.attempt) == 0)
    return;
  OnAttemptFailed(*request, end, now);
  Pump(now);
}

void RequestCoordinator::FinishComplete(
    Request& request,
    int number,
    const AttemptEnd& end,
    const std::shared_ptr<const KeptAnswer>& answer,
    TimePoint now) {
  const RequestId id = request.info.id;
  const auto found = request.attempts.find(number);
  const std::string upstream =
      found == request.attempts.end() ? "" : found->second.upstream;
  EndAttempt(request, number, routing::EndKind::kCompleted, now);
  CancelOthers(request, number, now);
  const Duration total = now - request.arrival;
  const bool forwarded = request.phase == Request::Phase::kForwarded;
  const Duration target = request.request_class.target_total;
  const Duration first_target = request.request_class.target_first_token;
  const bool within_target =
      (target <= Duration::zero() || total <= target) &&
      (first_target <= Duration::zero() || !request.first_token_at ||
       *request.first_token_at - request.arrival <= first_target);
  log_.Add(request.info,
           DecisionLog::Line("outcome", request.info)
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
    parts_.budget->OnSuccess(request.info.customer, upstream, now);
    parts_.hedges->OnWorkDone(request.info.prompt_tokens +
                              end.delivered_tokens);
  }
  if (request.admitted) {
    parts_.admission->OnFinished(id, end.delivered_tokens, true, now);
    request.admitted = false;
  }
  std::vector<claims::Action> actions;
  if (request.claimed) {
    request.claimed = false;
    actions = parts_.claims->OnFinished(id, claims::FinishKind::kAnswered,
                                        ToAnswer(answer), now);
  }
  Erase(id, end.delivered_tokens, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::OnAttemptFailed(Request& request,
                                         const AttemptEnd& end,
                                         TimePoint now) {
  const ActiveAttempt attempt = request.attempts.at(end.attempt);
  const routing::EndKind kind = ToEndKind(end);
  const RequestId id = request.info.id;
  log_.Add(request.info,
           DecisionLog::Line("attempt_failed", request.info)
               .Field("upstream", attempt.upstream)
               .Field("attempt", end.attempt)
               .Field("code", static_cast<int>(end.code))
               .Field("status", end.status)
               .Field("may_have_been_sent", end.may_have_been_sent)
               .Field("tokens", end.tokens)
               .Field("detail", end.detail));
  const bool forwarded = request.phase == Request::Phase::kForwarded;
  EndAttempt(request, end.attempt, kind, now);
  // New evidence about a crash may have ended this very request.
  if (!Find(id))
    return;
  if (forwarded)
    return Fail(request, {ResultCode::kHolderUnreachable, end.detail},
                std::chrono::seconds(1), now);
  if (kind == routing::EndKind::kRefused && end.status == 503) {
    parts_.upstreams->MarkLeaving(attempt.upstream,
                                  routing::LeavingSource::kRefusal, now);
    hosts_.SpreadLeaving(parts_.upstreams->MakeLeavingMessage(now));
  }
  if (kind == routing::EndKind::kRefused && IsFaultOfRequest(end.status) &&
      !request.history.may_have_run) {
    if (request.claimed)
      parts_.claims->OnNotDelivered(id);
    return GiveUp(request, {ResultCode::kUpstreamRefused, end.detail},
                  Duration::zero(), now);
  }
  if (parts_.hedges->OnEndedBeforeFirstToken(attempt.id) &&
      !request.attempts.empty())
    return;
  request.excluded[attempt.upstream] = now;
  request.history.delivered_tokens =
      static_cast<uint32_t>(request.delivered_tokens);
  request.history.quarantined =
      parts_.crashes->Advise(request.info.fingerprint, now).precaution ==
      retry::CrashPrecaution::kRefuse;
  retry::AttemptEnd ended;
  ended.kind = ToRetryKind(kind);
  ended.upstream = attempt.upstream;
  ended.bytes_may_have_reached = end.may_have_been_sent;
  if (end.retry_after > Duration::zero())
    ended.retry_after = end.retry_after;
  FollowPlan(request,
             parts_.planner->OnAttemptEnded(request.history, ended, now), now);
}

void RequestCoordinator::FollowPlan(Request& request,
                                    const retry::AttemptPlan& plan,
                                    TimePoint now) {
  if (const auto* give_up = std::get_if<retry::AbandonNotRun>(&plan)) {
    if (request.claimed)
      parts_.claims->OnNotDelivered(request.info.id);
    return GiveUp(request, {give_up->code, ""}, give_up->retry_after, now);
  }
  if (const auto* unknown = std::get_if<retry::AbandonMayHaveRun>(&plan))
    return Fail(request, {unknown->code, ""}, std::chrono::seconds(1), now);
  if (request.claimed)
    parts_.claims->OnNotDelivered(request.info.id);
  // Every upstream that serves the target may have been tried; then the
  // first ones get another chance.
  const auto& serving =
      request.info.model.empty()
          ? parts_.upstreams->ServingService(request.info.service)
          : parts_.upstreams->ServingModel(request.info.model);
  if (request.excluded.size() >= serving.size())
    request.excluded.clear();
  request.phase = Request::Phase::kQueued;
  parts_.admission->Requeue(request.info.id, now);
}

void RequestCoordinator::OnSuspicion(const retry::CrashSuspicion& message,
                                     TimePoint now) {
  FollowCrashActions(parts_.crashes->OnMessage(message, now), now);
}

void RequestCoordinator::FollowCrashActions(const retry::CrashActions& actions,
                                            TimePoint now) {
  if (!actions.message.empty())
    hosts_.SpreadSuspicion(actions.message);
  for (const retry::CrashReport& crash : actions.message.crashes)
    log_.Write(
        LogLine(LogLevel::kWarning, "upstream_crash")
            .Field("upstream", crash.upstream)
            .Field("suspects", static_cast<uint64_t>(crash.suspects.size())));
  for (const retry::AttemptId id : actions.attempts_to_cancel) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
      continue;
    Request* request = Find(found->second.first);
    if (!request)
      continue;
    // It runs on an upstream now, so its outcome is unknown.
    Fail(*request, {ResultCode::kUpstreamLost, "request is quarantined"},
         std::chrono::minutes(10), now);
  }
}

void RequestCoordinator::StartHedges(TimePoint now) {
  std::vector<std::pair<RequestId, retry::HedgeCandidate>> due;
  for (const auto& [id, request] : requests_) {
    if (request->phase != Request::Phase::kRunning ||
        request->request_class.tier != config::kUrgentTier ||
        request->first_token_at || request->attempts.size() != 1 ||
        request->info.model.empty())
      continue;
    const ActiveAttempt& attempt = request->attempts.begin()->second;
    retry::HedgeCandidate candidate;
    candidate.request = id;
    candidate.attempt = attempt.id;
    candidate.model = request->info.model;
    candidate.urgent = true;
    candidate.idempotent = request->info.idempotent;
    candidate.suspect = attempt.suspect;
    candidate.sent_at = attempt.sent_at;
    candidate.prompt_tokens = request->info.prompt_tokens;
    candidate.predicted_output_tokens =
        static_cast<uint32_t>(request->predicted_tokens);
    if (parts_.hedges->ShouldHedge(candidate, now))
      due.emplace_back(id, candidate);
  }
  for (const auto& [id, candidate] : due) {
    Request* request = Find(id);
    if (!request || !parts_.hedges->ShouldHedge(candidate, now))
      continue;
    const routing::RouteResult result = parts_.routing->Choose(
        ToRoute(*request, now), *parts_.upstreams, *parts_.rng, now);
    const auto* choice = std::get_if<routing::Choice>(&result);
    if (!choice)
      continue;
    Start(*request, *choice, /*hedge=*/true, now);
    parts_.hedges->OnHedgeStarted(candidate, last_attempt_);
  }
}

}  // namespace teaselhill::router
