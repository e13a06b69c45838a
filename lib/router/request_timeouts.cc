/// \file
/// Timeouts of requests, and the demand that open requests represent.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>

#include "request_state.h"

namespace teaselhill::router {

namespace {

/// Period of the checks for overdue claims, stalled attempts and missing
/// upstreams.
constexpr std::chrono::milliseconds kSlowTickPeriod{100};

/// Maximum time that a request waits for its claim; an earlier deadline applies
/// first.
constexpr std::chrono::seconds kClaimWaitTimeout{10};

/// Maximum time for which a silent attempt is paused beside its replacement.
/// Upstreams refuse within milliseconds, and no more than 400 ms may pass until
/// only one upstream works on the request.
constexpr std::chrono::milliseconds kMaxPauseTime{250};

/// Time within which the remaining tokens of all open requests should be
/// generated; their number divided by this time is the demand.
constexpr double kDemandHorizonSeconds = 5;

}  // namespace

void RequestCoordinator::Tick(TimePoint now) {
  EndOpenRequests(now);
  ExpireQueue(now);
  ResumeSuspended(now);
  StartHedges(now);
  ExpirePausedAttempts(now);
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickPeriod;
    ExpireClaims(now);
    EndStalledAttempts(now);
    AbandonWithoutUpstream(now);
  }
  StartQueuedRequests(now);
}

void RequestCoordinator::ExpireQueue(TimePoint now) {
  for (const admission::RemovedRequest& expiry :
       components_.admission->RemoveExpired(now)) {
    Request* request = FindRequest(expiry.request.id);
    if (!request)
      continue;
    request->admitted = false;
    AbandonRequest(*request, expiry.error, expiry.retry_after, now);
  }
}

void RequestCoordinator::ExpireClaims(TimePoint now) {
  std::vector<RequestId> overdue;
  for (const auto& [id, request] : requests_) {
    if (request->phase != Request::Phase::kClaiming)
      continue;
    // A request that waits for the answer to an earlier request with its key
    // does not depend on the log, so only its deadline applies.
    const TimePoint limit =
        components_.claims->AwaitsAnswer(id)
            ? request->deadline
            : std::min(request->deadline, request->arrival + kClaimWaitTimeout);
    if (now >= limit)
      overdue.push_back(id);
  }
  for (RequestId id : overdue) {
    if (Request* request = FindRequest(id))
      AbandonRequest(*request, {ResultCode::kDeadlineUnreachable, ""},
                     std::chrono::seconds(1), now);
  }
}

Duration RequestCoordinator::SilenceLimit(const Request& request,
                                          const ActiveAttempt& attempt,
                                          TimePoint now) const {
  const Duration limit = request.info.model.empty() ? options_.service_timeout
                         : attempt.tokens == 0
                             ? options_.first_token_timeout
                             : options_.between_tokens_timeout;
  // After the deadline the caller no longer waits for an unresponsive upstream.
  // A request with a claim keeps its full timeout, because its answer is stored
  // for the next request with the same key.
  if (now >= request.deadline && !request.has_claim_entry)
    return std::min(limit, options_.overdue_timeout);
  return limit;
}

void RequestCoordinator::EndStalledAttempts(TimePoint now) {
  std::vector<std::pair<RequestId, int>> stalled;
  for (const auto& [id, request] : requests_) {
    if (request->phase == Request::Phase::kForwarded)
      continue;
    for (const auto& [number, attempt] : request->attempts) {
      if (!attempt.paused_until &&
          now - attempt.last_progress_at > SilenceLimit(*request, attempt, now))
        stalled.emplace_back(id, number);
    }
  }
  for (const auto& [id, number] : stalled) {
    Request* request = FindRequest(id);
    if (!request || request->attempts.count(number) == 0)
      continue;
    if (request->attempts.size() == 1 && now < request->deadline) {
      if (ReplaceStalledAttempt(*request, number, now))
        continue;
      // A sound upstream may be silent for a while and go on.
      ActiveAttempt& attempt = request->attempts.at(number);
      if (request->info.deadline > Duration::zero() ||
          now - attempt.last_progress_at <= options_.unbounded_timeout) {
        LogKeptAttempt(*request, attempt, now);
        continue;
      }
    }
    traffic_.CancelAttempt(request->info.worker, id, number);
    OnAttemptEnded(MakeStalledEnd(*request, number), nullptr, now);
  }
}

AttemptEnd RequestCoordinator::MakeStalledEnd(const Request& request,
                                              int number) {
  AttemptEnd end;
  end.request = request.info.id;
  end.attempt = number;
  end.code = ResultCode::kTimedOut;
  end.detail = "no progress within the timeout";
  end.may_have_been_sent = true;
  end.tokens = request.attempts.at(number).tokens;
  end.delivered_tokens = request.delivered_tokens;
  return end;
}

bool RequestCoordinator::ReplaceStalledAttempt(Request& request,
                                               int number,
                                               TimePoint now) {
  const ActiveAttempt stalled = request.attempts.at(number);
  // While a crash suspect runs, it may not run a second time.
  if (components_.crashes->Advise(request.info.fingerprint, now).precaution !=
      retry::CrashPrecaution::kNone)
    return false;
  const routing::RouteResult route = components_.routing->Choose(
      MakeRouteRequest(request, now), *components_.upstreams, *components_.rng,
      now);
  const auto* choice = std::get_if<routing::Choice>(&route);
  if (!choice || !CanEndBeforeStop(*choice, now))
    return false;
  // The planner comes last, because a retry that it permits is charged to the
  // retry budget.
  retry::RequestAttempts history = request.history;
  history.delivered_tokens = static_cast<uint32_t>(request.delivered_tokens);
  history.quarantined = false;
  retry::AttemptEnd ended;
  ended.kind = retry::AttemptEndKind::kTimeout;
  ended.upstream = stalled.upstream;
  ended.bytes_may_have_reached = true;
  const retry::AttemptPlan plan =
      components_.planner->OnAttemptEnded(history, ended, now);
  if (!std::holds_alternative<retry::RetryFromStart>(plan) &&
      !std::holds_alternative<retry::ResumeAt>(plan))
    return false;
  request.history = history;
  LogFailedAttempt(request, MakeStalledEnd(request, number));
  request.attempts.at(number).paused_until = now + kMaxPauseTime;
  // The request keeps its place among the running ones: in the queue it could
  // wait until its deadline.
  StartAttempt(request, *choice, /*hedge=*/false, now);
  return true;
}

std::optional<int> RequestCoordinator::FindPausedAttempt(
    const Request& request) {
  for (const auto& [number, attempt] : request.attempts) {
    if (attempt.paused_until)
      return number;
  }
  return std::nullopt;
}

void RequestCoordinator::ResumePausedAttempt(Request& request, TimePoint now) {
  const int number = *FindPausedAttempt(request);
  ActiveAttempt& attempt = request.attempts.at(number);
  attempt.paused_until.reset();
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("silent_attempt_resumed", request.info)
          .Field("upstream", attempt.upstream)
          .Field("attempt", number)
          .Field("tokens", attempt.tokens)
          .Field("silent_ms", now - attempt.last_progress_at));
  traffic_.ResumeAttempt(request.info.worker, request.info.id, number);
}

void RequestCoordinator::EndPausedAttempt(Request& request,
                                          int number,
                                          TimePoint now) {
  const ActiveAttempt& attempt = request.attempts.at(number);
  components_.hedges->OnEndedBeforeFirstToken(attempt.id);
  request.excluded_upstreams[attempt.upstream] = now;
  traffic_.CancelAttempt(request.info.worker, request.info.id, number);
  EndAttempt(request, number, routing::EndKind::kTimeout, now);
}

void RequestCoordinator::ExpirePausedAttempts(TimePoint now) {
  std::vector<std::pair<RequestId, int>> expired;
  for (const auto& [id, request] : requests_) {
    const std::optional<int> paused = FindPausedAttempt(*request);
    if (paused && now >= *request->attempts.at(*paused).paused_until)
      expired.emplace_back(id, *paused);
  }
  for (const auto& [id, number] : expired) {
    if (Request* request = FindRequest(id))
      EndPausedAttempt(*request, number, now);
  }
}

void RequestCoordinator::LogKeptAttempt(const Request& request,
                                        ActiveAttempt& attempt,
                                        TimePoint now) {
  if (attempt.kept)
    return;
  attempt.kept = true;
  decision_log_.AddLine(
      request.info, DecisionLog::MakeLine("silent_attempt_kept", request.info)
                        .Field("upstream", attempt.upstream)
                        .Field("tokens", attempt.tokens)
                        .Field("silent_ms", now - attempt.last_progress_at)
                        .Field("reason", "no other attempt can begin"));
}

void RequestCoordinator::AbandonWithoutUpstream(TimePoint now) {
  std::vector<RequestId> unserved;
  for (const auto& [target, since] : no_upstream_since_) {
    if (now - since < options_.no_upstream_timeout)
      continue;
    for (const auto& [id, request] : requests_) {
      if (request->phase == Request::Phase::kQueued &&
          request->target() == target)
        unserved.push_back(id);
    }
  }
  for (RequestId id : unserved) {
    if (Request* request = FindRequest(id))
      AbandonRequest(*request,
                     {ResultCode::kNoUpstream,
                      "no upstream serves '" + request->target() + "'"},
                     std::chrono::seconds(2), now);
  }
  // Without queued requests nothing else would remove an outdated entry.
  if (unserved.empty()) {
    for (auto entry = no_upstream_since_.begin();
         entry != no_upstream_since_.end();) {
      const bool outdated =
          now - entry->second >= 2 * options_.no_upstream_timeout;
      entry = outdated ? no_upstream_since_.erase(entry) : std::next(entry);
    }
  }
}

std::map<std::string, double> RequestCoordinator::DemandTokensPerSecond()
    const {
  std::map<std::string, double> demand;
  for (const auto& [id, request] : requests_) {
    if (request->info.model.empty())
      continue;
    const uint64_t remaining_tokens =
        request->predicted_tokens > request->delivered_tokens
            ? request->predicted_tokens - request->delivered_tokens
            : 1;
    demand[request->info.model] +=
        static_cast<double>(remaining_tokens) / kDemandHorizonSeconds;
  }
  return demand;
}

}  // namespace teaselhill::router
