/// \file
/// Hedges of urgent requests.

#include "request_state.h"
#include "teaselhill/router/request_coordinator.h"

namespace teaselhill::router {

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
    if (components_.hedges->ShouldHedge(candidate, now))
      due.emplace_back(id, candidate);
  }
  for (const auto& [id, candidate] : due) {
    Request* request = FindRequest(id);
    if (!request || !components_.hedges->ShouldHedge(candidate, now))
      continue;
    const routing::RouteResult result = components_.routing->Choose(
        MakeRouteRequest(*request, now), *components_.upstreams,
        *components_.rng, now);
    const auto* choice = std::get_if<routing::Choice>(&result);
    if (!choice || !CanEndBeforeStop(*choice, now))
      continue;
    StartAttempt(*request, *choice, /*hedge=*/true, now);
    components_.hedges->OnHedgeStarted(candidate, last_attempt_);
  }
}

void RequestCoordinator::CancelOtherAttempts(Request& request,
                                             int kept_attempt,
                                             TimePoint now) {
  std::vector<int> others;
  for (const auto& [number, attempt] : request.attempts) {
    if (number != kept_attempt)
      others.push_back(number);
  }
  for (int number : others) {
    const ActiveAttempt attempt = request.attempts.at(number);
    if (attempt.paused_until) {
      EndPausedAttempt(request, number, now);
      continue;
    }
    traffic_.CancelAttempt(request.info.worker, request.info.id, number);
    EndAttempt(request, number, routing::EndKind::kCancelled, now);
    components_.hedges->OnLoserSettled(
        attempt.id, request.info.prompt_tokens + attempt.tokens);
    metrics_.CountWastedTokens("hedge_lost", attempt.tokens);
  }
}

}  // namespace teaselhill::router
