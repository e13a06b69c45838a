/// \file
/// Admission and start of requests: limits, queue and upstream selection.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "request_state.h"

namespace teaselhill::router {

namespace {

/// A host's share of a limit follows its demand within about 2 s. A request
/// within the contract waits for the larger share instead of being rejected on
/// a host that was idle until then. Only `kMaxLimitWaiters` requests of a
/// customer may wait, so that the further requests of a customer above its
/// limit are rejected at once.
constexpr std::chrono::milliseconds kLimitWaitTimeout{1500};
constexpr std::chrono::milliseconds kLimitRetryInterval{40};
constexpr int kMaxLimitWaiters = 16;

/// Time for which a retry avoids an upstream that failed the request. Without
/// this bound the request could wait forever for the only upstream that it has
/// not tried.
constexpr std::chrono::seconds kFailedUpstreamExclusion{2};

}  // namespace

/// Determines whether a request can start by choosing an upstream for it. Keeps
/// the choices, so that the routing policy does not have to run again for the
/// request that the admission policy picks.
class RequestCoordinator::RoutingProbe : public admission::PlacementProbe {
 public:
  RoutingProbe(RequestCoordinator& coordinator, TimePoint now)
      : coordinator_(coordinator), now_(now) {}

  bool CanPlace(const admission::QueuedRequest& queued) const override {
    Request* request = coordinator_.FindRequest(queued.id);
    if (!request || blocked_models_.count(queued.model))
      return false;
    routing::RouteResult result = coordinator_.components_.routing->Choose(
        coordinator_.MakeRouteRequest(*request, now_),
        *coordinator_.components_.upstreams, *coordinator_.components_.rng,
        now_);
    if (std::holds_alternative<routing::NoUpstream>(result))
      coordinator_.no_upstream_since_.emplace(queued.model, now_);
    else
      coordinator_.no_upstream_since_.erase(queued.model);
    auto* choice = std::get_if<routing::Choice>(&result);
    if (!choice)
      return false;
    if (!coordinator_.CanEndBeforeStop(*choice, now_)) {
      too_late_.insert(queued.id);
      return false;
    }
    choices_[queued.id] = std::move(*choice);
    return true;
  }

  std::optional<routing::Choice> TakeChoice(RequestId id) {
    const auto found = choices_.find(id);
    if (found == choices_.end())
      return std::nullopt;
    routing::Choice choice = std::move(found->second);
    choices_.clear();
    return choice;
  }

  /// Requests that could start now, but not end before the host stops.
  const std::set<RequestId>& too_late() const { return too_late_; }

  /// Excludes the model for the rest of this StartQueuedRequests() call.
  void BlockModel(const std::string& model) { blocked_models_.insert(model); }

 private:
  RequestCoordinator& coordinator_;
  TimePoint now_;
  mutable std::unordered_map<RequestId, routing::Choice> choices_;
  mutable std::set<RequestId> too_late_;
  std::set<std::string> blocked_models_;
};

bool RequestCoordinator::CheckCrashAdvice(Request& request, TimePoint now) {
  const retry::CrashAdvice advice =
      components_.crashes->Advise(request.info.fingerprint, now);
  if (advice.precaution == retry::CrashPrecaution::kSuspend) {
    SuspendRequest(request, now);
    return false;
  }
  if (advice.precaution != retry::CrashPrecaution::kRefuse)
    return true;
  decision_log_.AddLine(
      request.info, DecisionLog::MakeLine("quarantined", request.info)
                        .Field("fingerprint", ToHex(request.info.fingerprint))
                        .Field("crashes", advice.crashes)
                        .Field("retry_after_ms", advice.retry_after));
  AbandonRequest(request, {ResultCode::kQuarantined, ""}, advice.retry_after,
                 now);
  return false;
}

void RequestCoordinator::SuspendRequest(Request& request, TimePoint now) {
  suspended_.insert(request.info.id);
  if (request.phase == Request::Phase::kSuspended)
    return;
  request.phase = Request::Phase::kSuspended;
  if (request.admitted)
    components_.admission->OnFinished(request.info.id, 0, false, now);
  request.admitted = false;
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("parked", request.info)
          .Field("reason", "a crash suspect runs only one attempt at a time"));
}

void RequestCoordinator::ResumeSuspended(TimePoint now) {
  // A crash suspect may start only within a short time slot, so this runs on
  // each tick.
  const std::set<RequestId> suspended = std::exchange(suspended_, {});
  for (RequestId id : suspended) {
    Request* request = FindRequest(id);
    if (!request)
      continue;
    if (request->phase != Request::Phase::kSuspended)
      continue;
    if (now < request->resume_at) {
      suspended_.insert(id);
      continue;
    }
    if (now >= request->deadline)
      AbandonRequest(*request, {ResultCode::kDeadlineUnreachable, ""},
                     std::chrono::seconds(1), now);
    else
      AdmitRequest(*request, now);
  }
}

bool RequestCoordinator::ShedLessUrgentRequest(
    const Request& urgent,
    const quota::LimitRefusal& refusal,
    TimePoint now) {
  Request* victim = nullptr;
  const auto shed_order = [](const Request& request) {
    return std::make_tuple(request.request_class.tier, request.arrival,
                           request.info.id);
  };
  for (const auto& [id, other] : requests_) {
    const bool sheddable =
        other->phase == Request::Phase::kQueued && other->quota_acquired &&
        other->info.customer == urgent.info.customer &&
        other->request_class.tier > urgent.request_class.tier &&
        !other->history.may_have_run;
    if (sheddable && (!victim || shed_order(*victim) < shed_order(*other)))
      victim = other.get();
  }
  if (!victim)
    return false;
  decision_log_.AddLine(victim->info,
                        DecisionLog::MakeLine("limit", victim->info)
                            .Field("customer", victim->info.customer)
                            .Field("limit", quota::LimitName(refusal.limit))
                            .Field("reason", "shed for a more urgent request")
                            .Field("urgent", urgent.info.external_id));
  AbandonRequest(*victim, refusal.error, refusal.retry_after, now);
  return true;
}

bool RequestCoordinator::AcquireQuota(Request& request, TimePoint now) {
  if (request.quota_acquired)
    return true;
  request.cost.tokens = static_cast<double>(request.predicted_tokens);
  const quota::AcquireAttempt attempt = request.limit_wait_deadline
                                            ? quota::AcquireAttempt::kRepeated
                                            : quota::AcquireAttempt::kFirst;
  quota::AcquireResult result = components_.limits->TryAcquire(
      request.info.customer, request.cost, now, attempt);
  const auto* refusal = std::get_if<quota::LimitRefusal>(&result);
  // Queued requests count towards the concurrency limit too, and must not block
  // a more urgent request. More than one has to be shed if this host's share of
  // the limit has shrunk below the number of its open requests.
  while (refusal && refusal->limit == quota::LimitKind::kConcurrency &&
         ShedLessUrgentRequest(request, *refusal, now)) {
    result =
        components_.limits->TryAcquire(request.info.customer, request.cost, now,
                                       quota::AcquireAttempt::kRepeated);
    refusal = std::get_if<quota::LimitRefusal>(&result);
  }
  if (!refusal) {
    EndLimitWait(request);
    request.quota_acquired = true;
    return true;
  }
  // Requests wait only for the concurrency limit. When they waited for rate
  // limits too, the hosts together admitted 6% more than the limit.
  if (refusal->limit == quota::LimitKind::kConcurrency &&
      WaitForLimit(request, now))
    return false;
  decision_log_.AddLine(request.info,
                        DecisionLog::MakeLine("limit", request.info)
                            .Field("limit", quota::LimitName(refusal->limit))
                            .Field("share", refusal->share)
                            .Field("retry_after_ms", refusal->retry_after));
  AbandonRequest(request, refusal->error, refusal->retry_after, now);
  return false;
}

bool RequestCoordinator::WaitForLimit(Request& request, TimePoint now) {
  if (!request.limit_wait_deadline) {
    int& waiting = limit_waiters_[request.info.customer];
    if (waiting >= kMaxLimitWaiters)
      return false;
    ++waiting;
    request.limit_wait_deadline = now + kLimitWaitTimeout;
    decision_log_.AddLine(
        request.info,
        DecisionLog::MakeLine("parked", request.info)
            .Field("reason", "waiting for a larger share of a limit"));
  }
  if (now >= std::min(*request.limit_wait_deadline, request.deadline))
    return false;
  request.phase = Request::Phase::kSuspended;
  request.resume_at = now + kLimitRetryInterval;
  suspended_.insert(request.info.id);
  return true;
}

void RequestCoordinator::EndLimitWait(Request& request) {
  if (!request.limit_wait_deadline)
    return;
  request.limit_wait_deadline.reset();
  const auto waiting = limit_waiters_.find(request.info.customer);
  if (--waiting->second == 0)
    limit_waiters_.erase(waiting);
}

void RequestCoordinator::AdmitRequest(Request& request, TimePoint now) {
  // Draining is checked here and not on arrival, because only the claim table
  // knows which answer the caller of a keyed request may get.
  if (request.arrived_while_draining || !CanForwardBeforeStop(now))
    return AbandonRequest(request, {ResultCode::kDraining, ""},
                          std::chrono::seconds(1), now);
  if (request.info.max_tokens > 0)
    request.predicted_tokens =
        std::min<uint64_t>(request.predicted_tokens, request.info.max_tokens);
  if (!CheckCrashAdvice(request, now) || !AcquireQuota(request, now))
    return;
  admission::QueuedRequest queued;
  queued.id = request.info.id;
  queued.customer = request.info.customer;
  queued.team = request.info.team;
  queued.class_name = request.info.class_name;
  queued.tier = request.request_class.tier;
  queued.customer_weight = request.customer_weight;
  queued.team_weight = request.team_weight;
  queued.model = request.target();
  queued.prompt_tokens = request.info.prompt_tokens;
  queued.max_output_tokens = request.info.max_tokens;
  queued.arrival = request.arrival;
  queued.deadline = request.deadline;
  queued.idempotent = request.info.idempotent;
  admission::OfferResult result = components_.admission->Offer(queued, now);
  const bool admitted =
      std::holds_alternative<admission::AdmittedOffer>(result);
  const admission::Decision& decision =
      admitted ? std::get<admission::AdmittedOffer>(result).decision
               : std::get<admission::RejectedOffer>(result).decision;
  decision_log_.AddLine(
      request.info,
      DecisionLog::MakeLine("admission", request.info)
          .Field("admitted", admitted)
          .Field("reason", admission::ReasonName(decision.reason))
          .Field("class", request.info.class_name)
          .Field("tier", request.request_class.tier)
          .Field("work_ahead_tokens", decision.details.work_ahead_tokens)
          .Field("service_rate", decision.details.service_tokens_per_second)
          .Field("estimated_wait_ms", decision.details.estimated_wait)
          .Field("predicted_tokens", decision.details.predicted_output_tokens)
          .Field("queued",
                 static_cast<uint64_t>(decision.details.queued_requests)));
  if (!admitted) {
    const auto& refused = std::get<admission::RejectedOffer>(result);
    return AbandonRequest(request, refused.error, refused.retry_after, now);
  }
  const auto& accepted = std::get<admission::AdmittedOffer>(result);
  request.admitted = true;
  request.phase = Request::Phase::kQueued;
  if (accepted.predicted_output_tokens > 0)
    request.predicted_tokens = accepted.predicted_output_tokens;
  for (const admission::RemovedRequest& shed : accepted.shed_requests) {
    if (Request* other = FindRequest(shed.request.id)) {
      other->admitted = false;
      AbandonRequest(*other, shed.error, shed.retry_after, now);
    }
  }
  StartQueuedRequests(now);
}

routing::RouteRequest RequestCoordinator::MakeRouteRequest(
    const Request& request,
    TimePoint now) const {
  routing::RouteRequest route;
  route.id = request.info.id;
  route.kind = request.info.model.empty() ? routing::UpstreamKind::kService
                                          : routing::UpstreamKind::kEngine;
  route.target = request.target();
  route.tier = request.request_class.tier;
  route.prompt_tokens = request.info.prompt_tokens;
  route.predicted_output_tokens =
      static_cast<uint32_t>(request.predicted_tokens);
  route.idempotent = request.info.idempotent;
  route.prefix_blocks = request.info.prefix_hashes;
  for (const auto& [upstream, failed_at] : request.excluded_upstreams) {
    if (now - failed_at < kFailedUpstreamExclusion)
      route.excluded.push_back(upstream);
  }
  if (request.delivered_tokens > 0)
    route.required_version = request.answer_version;
  for (const auto& [number, attempt] : request.attempts)
    route.excluded.push_back(attempt.upstream);
  route.isolated =
      components_.crashes->Advise(request.info.fingerprint, now).precaution ==
      retry::CrashPrecaution::kIsolate;
  return route;
}

bool RequestCoordinator::IsStuckAtVersion(const Request& request,
                                          TimePoint now) const {
  if (request.delivered_tokens == 0)
    return false;
  const routing::RouteRequest route = MakeRouteRequest(request, now);
  const routing::UpstreamTable& table = *components_.upstreams;
  const auto& serving = request.info.model.empty()
                            ? table.ServingService(request.info.service)
                            : table.ServingModel(request.info.model);
  bool others_can_start = false;
  for (const uint32_t index : serving) {
    const routing::Upstream& upstream = table.At(index);
    if (table.IsLeaving(upstream, now))
      continue;
    if (!IsExcluded(route, table, upstream))
      return false;
    others_can_start |=
        table.VersionOf(upstream.spec.name) != request.answer_version;
  }
  return others_can_start;
}

void RequestCoordinator::StartQueuedRequests(TimePoint now) {
  RoutingProbe probe(*this, now);
  while (std::optional<admission::PickedRequest> picked =
             components_.admission->PickNext(probe, now)) {
    Request* request = FindRequest(picked->request.id);
    if (!request) {
      components_.admission->OnFinished(picked->request.id, 0, false, now);
      continue;
    }
    // The advice on crash suspects may have changed while the request was
    // queued.
    if (!CheckCrashAdvice(*request, now))
      continue;
    std::optional<routing::Choice> choice =
        probe.TakeChoice(picked->request.id);
    if (!choice) {
      components_.admission->Requeue(picked->request.id, now);
      probe.BlockModel(picked->request.model);
      continue;
    }
    decision_log_.AddLine(
        request->info,
        DecisionLog::MakeLine("pick", request->info)
            .Field("reason", admission::ReasonName(picked->decision.reason))
            .Field("waited_ms", now - request->arrival));
    StartAttempt(*request, *choice, /*hedge=*/false, now);
  }
  for (const RequestId id : probe.too_late()) {
    Request* request = FindRequest(id);
    if (request && request->phase == Request::Phase::kQueued)
      AbandonRequest(*request, {ResultCode::kDraining, ""},
                     std::chrono::seconds(1), now);
  }
}

}  // namespace teaselhill::router
