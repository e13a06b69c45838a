/// \file
/// Arrival and final answer of requests.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>
#include <utility>

#include "request_state.h"

namespace teaselhill::router {

namespace {

constexpr std::chrono::seconds kMinClaimRetryAfter{2};

std::shared_ptr<const StoredAnswer> ToStoredAnswer(
    const claims::Answer& answer) {
  auto stored = std::make_shared<StoredAnswer>();
  stored->status = answer.http_status;
  for (const auto& [name, value] : answer.headers)
    stored->headers.push_back({name, value});
  stored->body = answer.body;
  return stored;
}

}  // namespace

RequestCoordinator::RequestCoordinator(HostIncarnation self,
                                       CoordinatorOptions options,
                                       DecisionComponents components,
                                       TrafficPort& traffic,
                                       FleetPort& fleet,
                                       DecisionLog& decision_log,
                                       Metrics& metrics)
    : self_(std::move(self)),
      options_(std::move(options)),
      components_(components),
      traffic_(traffic),
      fleet_(fleet),
      decision_log_(decision_log),
      metrics_(metrics) {}

RequestCoordinator::~RequestCoordinator() = default;

void RequestCoordinator::ApplyConfig(
    std::shared_ptr<const config::ConfigView> view,
    TimePoint now) {
  view_ = std::move(view);
  StartQueuedRequests(now);
}

RequestCoordinator::Request* RequestCoordinator::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

void RequestCoordinator::OnArrived(RequestInfo info, TimePoint now) {
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.info = std::move(info);
  request.arrival = now;
  requests_.emplace(request.info.id, std::move(owned));
  if (request.info.deadline > Duration::zero())
    request.deadline = now + request.info.deadline;
  const config::ContractEntry* entry =
      view_ ? view_->FindContract(request.info.customer) : nullptr;
  request.arrived_while_draining = draining_;
  if (!entry || !entry->contract)
    return FailRequest(request, {ResultCode::kNoConfiguration, ""},
                       std::chrono::seconds(1), now);
  const config::ClassPolicy* request_class =
      entry->contract->FindClass(request.info.class_name);
  if (!request_class)
    return FailRequest(request,
                       {ResultCode::kUnknownClass, request.info.class_name},
                       Duration::zero(), now);
  request.request_class = *request_class;
  request.customer_weight = entry->contract->weight;
  for (const config::Team& team : entry->contract->teams) {
    if (team.name == request.info.team)
      request.team_weight = team.weight;
  }
  request.history.customer = request.info.customer;
  request.history.idempotent = request.info.idempotent;
  request.history.resumable = !request.info.model.empty();
  if (request.deadline != admission::kNoDeadline)
    request.history.deadline = request.deadline;
  CapDeadline(request);
  if (!request.keyed())
    return AdmitRequest(request, now);
  const Result<claims::Key> key =
      claims::ParseKey(request.info.customer, request.info.idempotency_key,
                       options_.peer_secret);
  if (!key)
    return FailRequest(request, key.error(), Duration::zero(), now);
  request.has_claim_entry = true;
  ApplyClaimDecision(request,
                     components_.claims->OnRequest(request.info.id, *key,
                                                   request.info.body_hash,
                                                   request.info.forwarded, now),
                     now);
}

void RequestCoordinator::OnIdempotencyTokenRequested(
    int worker,
    RequestId request,
    const std::string& customer) {
  traffic_.SendIdempotencyToken(
      worker, request,
      claims::FormatToken(customer, self_, components_.claims->IssueToken(),
                          options_.peer_secret));
}

void RequestCoordinator::ApplyClaimDecision(
    Request& request,
    const claims::ClaimDecision& decision,
    TimePoint now) {
  if (std::holds_alternative<claims::WaitForAction>(decision))
    return;
  if (std::holds_alternative<claims::RunRequest>(decision))
    return AdmitRequest(request, now);
  if (const auto* forward = std::get_if<claims::ForwardToHolder>(&decision))
    return ForwardRequest(request, forward->holder, now);
  request.has_claim_entry = false;
  if (const auto* replay = std::get_if<claims::ReplayAnswer>(&decision)) {
    if (replay->answer.code != ResultCode::kOk)
      return FailRequest(request, {replay->answer.code, ""},
                         std::chrono::seconds(1), now);
    traffic_.ReplayAnswer(request.info.worker, request.info.id,
                          ToStoredAnswer(replay->answer));
    decision_log_.AddLine(request.info,
                          DecisionLog::MakeLine("outcome", request.info)
                              .Field("outcome", "answered")
                              .Field("reason", "replayed")
                              .Field("total_ms", now - request.arrival));
    metrics_.CountOutcome(request.info.customer, request.info.class_name,
                          ResultCode::kOk);
    return EraseRequest(request.info.id, 0, now);
  }
  FailRequest(request, {std::get<claims::RefuseRequest>(decision).code, ""},
              std::chrono::seconds(1), now);
}

void RequestCoordinator::OnClaimActions(
    const std::vector<claims::ClaimAction>& actions,
    TimePoint now) {
  for (const claims::ClaimAction& action : actions) {
    if (Request* request = FindRequest(action.request))
      ApplyClaimDecision(*request, action.decision, now);
  }
  StartQueuedRequests(now);
}

void RequestCoordinator::ForwardRequest(Request& request,
                                        const HostIncarnation& holder,
                                        TimePoint now) {
  request.has_claim_entry = false;
  const std::optional<std::string> url = fleet_.UrlOf(holder);
  if (!url || !CanForwardBeforeStop(now))
    return FailRequest(request, {ResultCode::kHolderUnreachable, ""},
                       std::chrono::seconds(1), now);
  request.phase = Request::Phase::kForwarded;
  ActiveAttempt attempt;
  attempt.upstream = holder.host;
  attempt.sent_at = attempt.last_progress_at = now;
  const int number = request.next_attempt++;
  request.attempts.emplace(number, attempt);
  AttemptCommand command;
  command.request = request.info.id;
  command.attempt = number;
  command.upstream = holder.host;
  command.url = *url;
  command.to_host = true;
  decision_log_.AddLine(request.info,
                        DecisionLog::MakeLine("forward", request.info)
                            .Field("holder", holder.host)
                            .Field("reason", "holds_idempotency_key"));
  traffic_.StartAttempt(request.info.worker, command);
}

void RequestCoordinator::AbandonRequest(Request& request,
                                        Error error,
                                        Duration retry_after,
                                        TimePoint now) {
  const RequestId id = request.info.id;
  if (request.history.may_have_run) {
    const retry::AttemptPlan plan =
        components_.planner->Abandon(request.history, error.code, retry_after);
    if (const auto* unknown = std::get_if<retry::AbandonMayHaveRun>(&plan))
      return FailRequest(request, {unknown->code, error.message}, retry_after,
                         now);
  }
  if (!request.has_claim_entry)
    return FailRequest(request, std::move(error), retry_after, now);
  // The claim is released 1 s after this error is sent. An earlier retry would
  // find the claim still held.
  retry_after = std::max<Duration>(retry_after, kMinClaimRetryAfter);
  request.has_claim_entry = false;
  std::vector<claims::ClaimAction> actions;
  const ResultCode code =
      components_.claims->OnAbandoned(id, error.code, now, &actions);
  if (code != error.code)
    error = {code, ""};
  FailRequest(request, std::move(error), retry_after, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::FailRequest(Request& request,
                                     Error error,
                                     Duration retry_after,
                                     TimePoint now) {
  const RequestId id = request.info.id;
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("outcome", request.info)
          .Field("outcome", OutcomeName(Describe(error.code).outcome))
          .Field("code", static_cast<int>(error.code))
          .Field("reason", Describe(error.code).name)
          .Field("class", request.info.class_name)
          .Field("retry_after_ms", retry_after)
          .Field("total_ms", now - request.arrival));
  metrics_.CountOutcome(request.info.customer, request.info.class_name,
                        error.code);
  // `delivered_tokens` includes the tokens of earlier attempts.
  metrics_.CountWastedTokens("not_completed", request.delivered_tokens);
  while (!request.attempts.empty())
    EndAttempt(request, request.attempts.begin()->first,
               routing::EndKind::kCancelled, now);
  traffic_.FailRequest(request.info.worker, id, error, retry_after);
  std::vector<claims::ClaimAction> actions;
  if (request.has_claim_entry) {
    request.has_claim_entry = false;
    claims::Answer answer;
    answer.code = error.code;
    actions = components_.claims->OnFinished(
        id, claims::FinishKind::kOutcomeUnknown, std::move(answer), now);
  }
  EraseRequest(id, request.delivered_tokens, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::EraseRequest(RequestId id,
                                      uint64_t tokens,
                                      TimePoint now) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  Request& request = *found->second;
  EndLimitWait(request);
  if (request.admitted) {
    if (request.phase == Request::Phase::kQueued)
      components_.admission->RemoveQueued(id);
    components_.admission->OnFinished(id, tokens, false, now);
  }
  if (request.quota_acquired)
    components_.limits->Release(request.info.customer, request.cost,
                                quota::RequestCost{static_cast<double>(tokens)},
                                now);
  requests_.erase(found);
}

void RequestCoordinator::OnCallerDisconnected(RequestId id, TimePoint now) {
  Request* request = FindRequest(id);
  if (!request)
    return;
  request->caller_disconnected = true;
  const bool running = request->phase == Request::Phase::kRunning;
  // A running request with a claim continues, because its answer is stored for
  // the caller's retry.
  if (running && request->has_claim_entry)
    return;
  if (request->phase == Request::Phase::kForwarded || running) {
    decision_log_.AddLine(request->info,
                          DecisionLog::MakeLine("outcome", request->info)
                              .Field("outcome", "unknown")
                              .Field("reason", "CallerGone")
                              .Field("tokens", request->delivered_tokens));
    metrics_.CountOutcome(request->info.customer, request->info.class_name,
                          ResultCode::kCallerGone);
    metrics_.CountWastedTokens("caller_gone", request->delivered_tokens);
    while (!request->attempts.empty())
      EndAttempt(*request, request->attempts.begin()->first,
                 routing::EndKind::kCancelled, now);
    traffic_.CancelRequest(request->info.worker, id);
    EraseRequest(id, request->delivered_tokens, now);
    StartQueuedRequests(now);
    return;
  }
  AbandonRequest(*request, {ResultCode::kCallerGone, ""}, Duration::zero(),
                 now);
}

}  // namespace teaselhill::router
