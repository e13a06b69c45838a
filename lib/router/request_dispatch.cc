/// \file
/// Admission and start of requests: limits, queue and choice of upstream.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "request_state.h"

namespace teaselhill::router {

namespace {

/// A host's share of a limit follows its demand within about 2 s. A request
/// within the contract waits for it, instead of being refused on a host that
/// was idle a moment ago. Only a few may wait, so a customer above its limit is
/// still told at once.
constexpr std::chrono::milliseconds kLimitPatience{1500};
constexpr std::chrono::milliseconds kLimitRetry{40};
constexpr int kMaxLimitWaiters = 16;

/// A retry avoids the upstreams that failed the request for this long. Without
/// an end it could wait for ever for the one upstream it has not tried.
constexpr std::chrono::seconds kExclusion{2};

}  // namespace

/// Answers whether a request could start by choosing for it. The choices are
/// kept, so that the request which is then picked is not chosen for twice.
class RequestCoordinator::Probe : public admission::PlacementProbe {
 public:
  Probe(RequestCoordinator& coordinator, TimePoint now)
      : coordinator_(coordinator), now_(now) {}

  bool CanPlace(const admission::QueuedRequest& queued) const override {
    Request* request = coordinator_.Find(queued.id);
    if (!request || blocked_.count(queued.model))
      return false;
    routing::RouteResult result = coordinator_.parts_.routing->Choose(
        coordinator_.ToRoute(*request, now_), *coordinator_.parts_.upstreams,
        *coordinator_.parts_.rng, now_);
    if (std::holds_alternative<routing::NoUpstream>(result))
      coordinator_.without_upstream_.emplace(queued.model, now_);
    else
      coordinator_.without_upstream_.erase(queued.model);
    auto* choice = std::get_if<routing::Choice>(&result);
    if (!choice)
      return false;
    choices_[queued.id] = std::move(*choice);
    return true;
  }

  std::optional<routing::Choice> Take(RequestId id) {
    const auto found = choices_.find(id);
    if (found == choices_.end())
      return std::nullopt;
    routing::Choice choice = std::move(found->second);
    choices_.clear();
    return choice;
  }

  /// Leaves the model out for the rest of this pump.
  void Block(const std::string& model) { blocked_.insert(model); }

 private:
  RequestCoordinator& coordinator_;
  TimePoint now_;
  mutable std::unordered_map<RequestId, routing::Choice> choices_;
  std::set<std::string> blocked_;
};

bool RequestCoordinator::CheckCare(Request& request, TimePoint now) {
  const retry::CareAdvice advice =
      parts_.crashes->Advise(request.info.fingerprint, now);
  if (advice.care == retry::Care::kWait) {
    Park(request, now);
    return false;
  }
  if (advice.care != retry::Care::kRefuse)
    return true;
  log_.Add(request.info,
           DecisionLog::Line("quarantined", request.info)
               .Field("fingerprint", ToHex(request.info.fingerprint))
               .Field("crashes", advice.crashes)
               .Field("retry_after_ms", advice.retry_after));
  GiveUp(request, {ResultCode::kQuarantined, ""}, advice.retry_after, now);
  return false;
}

void RequestCoordinator::Park(Request& request, TimePoint now) {
  parked_.insert(request.info.id);
  if (request.phase == Request::Phase::kParked)
    return;
  request.phase = Request::Phase::kParked;
  if (request.admitted)
    parts_.admission->OnFinished(request.info.id, 0, false, now);
  request.admitted = false;
  log_.Add(request.info,
           DecisionLog::Line("parked", request.info)
               .Field("reason", "a suspect of a crash runs one at a time"));
}

void RequestCoordinator::ResumeParked(TimePoint now) {
  // A suspect may start only in a short slot, so this runs at each tick.
  const std::set<RequestId> parked = std::exchange(parked_, {});
  for (RequestId id : parked) {
    Request* request = Find(id);
    if (!request)
      continue;
    if (request->phase != Request::Phase::kParked)
      continue;
    if (now < request->retry_at) {
      parked_.insert(id);
      continue;
    }
    if (now >= request->deadline)
      GiveUp(*request, {ResultCode::kDeadlineUnreachable, ""},
             std::chrono::seconds(1), now);
    else
      Admit(*request, now);
  }
}

bool RequestCoordinator::ShedForUrgency(const Request& urgent,
                                        const quota::LimitRefusal& refusal,
                                        TimePoint now) {
  Request* victim = nullptr;
  const auto place = [](const Request& request) {
    return std::make_tuple(request.request_class.tier, request.arrival,
                           request.info.id);
  };
  for (const auto& [id, other] : requests_) {
    const bool lower = other->phase == Request::Phase::kQueued &&
                       other->quota_taken &&
                       other->info.customer == urgent.info.customer &&
                       other->request_class.tier > urgent.request_class.tier &&
                       !other->history.may_have_run;
    if (lower && (!victim || place(*victim) < place(*other)))
      victim = other.get();
  }
  if (!victim)
    return false;
  log_.Add(victim->info,
           DecisionLog::Line("limit", victim->info)
               .Field("customer", victim->info.customer)
               .Field("limit", quota::LimitName(refusal.limit))
               .Field("reason", "made room for a more urgent request")
               .Field("urgent", urgent.info.external_id));
  GiveUp(*victim, refusal.error, refusal.retry_after, now);
  return true;
}

bool RequestCoordinator::TakeQuota(Request& request, TimePoint now) {
  if (request.quota_taken)
    return true;
  request.cost.tokens = static_cast<double>(request.predicted_tokens);
  const quota::AcquireAttempt attempt = request.limit_wait_end
                                            ? quota::AcquireAttempt::kRepeated
                                            : quota::AcquireAttempt::kFirst;
  quota::AcquireResult taken = parts_.limits->TryAcquire(
      request.info.customer, request.cost, now, attempt);
  const auto* refusal = std::get_if<quota::LimitRefusal>(&taken);
  // Requests that only wait count towards the concurrency limit as well; they
  // must not keep out a more urgent one. More than one has to go when the share
  // shrank below what is open.
  while (refusal && refusal->limit == quota::LimitKind::kConcurrency &&
         ShedForUrgency(request, *refusal, now)) {
    taken = parts_.limits->TryAcquire(request.info.customer, request.cost, now,
                                      quota::AcquireAttempt::kRepeated);
    refusal = std::get_if<quota::LimitRefusal>(&taken);
  }
  if (!refusal) {
    StopLimitWait(request);
    request.quota_taken = true;
    return true;
  }
  // Not for rate limits: with waiting requests the hosts together admitted 6%
  // more than the limit.
  if (refusal->limit == quota::LimitKind::kConcurrency &&
      WaitForLimit(request, now))
    return false;
  log_.Add(request.info, DecisionLog::Line("limit", request.info)
                             .Field("limit", quota::LimitName(refusal->limit))
                             .Field("share", refusal->share)
                             .Field("retry_after_ms", refusal->retry_after));
  GiveUp(request, refusal->error, refusal->retry_after, now);
  return false;
}

bool RequestCoordinator::WaitForLimit(Request& request, TimePoint now) {
  if (!request.limit_wait_end) {
    int& waiting = limit_waiters_[request.info.customer];
    if (waiting >= kMaxLimitWaiters)
      return false;
    ++waiting;
    request.limit_wait_end = now + kLimitPatience;
    log_.Add(request.info,
             DecisionLog::Line("parked", request.info)
                 .Field("reason", "this host's share of a limit may grow"));
  }
  if (now >= std::min(*request.limit_wait_end, request.deadline))
    return false;
  request.phase = Request::Phase::kParked;
  request.retry_at = now + kLimitRetry;
  parked_.insert(request.info.id);
  return true;
}

void RequestCoordinator::StopLimitWait(Request& request) {
  if (!request.limit_wait_end)
    return;
  request.limit_wait_end.reset();
  const auto waiting = limit_waiters_.find(request.info.customer);
  if (--waiting->second == 0)
    limit_waiters_.erase(waiting);
}

void RequestCoordinator::Admit(Request& request, TimePoint now) {
  // Not earlier: only the claim table knows what the caller of a keyed request
  // may be told.
  if (request.late)
    return GiveUp(request, {ResultCode::kDraining, ""}, std::chrono::seconds(1),
                  now);
  if (request.info.max_tokens > 0)
    request.predicted_tokens =
        std::min<uint64_t>(request.predicted_tokens, request.info.max_tokens);
  if (!CheckCare(request, now) || !TakeQuota(request, now))
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
  admission::OfferResult result = parts_.admission->Offer(queued, now);
  const bool admitted =
      std::holds_alternative<admission::AdmittedOffer>(result);
  const admission::Decision& decision =
      admitted ? std::get<admission::AdmittedOffer>(result).decision
               : std::get<admission::RejectedOffer>(result).decision;
  log_.Add(
      request.info,
      DecisionLog::Line("admission", request.info)
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
    return GiveUp(request, refused.error, refused.retry_after, now);
  }
  const auto& accepted = std::get<admission::AdmittedOffer>(result);
  request.admitted = true;
  request.phase = Request::Phase::kQueued;
  if (accepted.predicted_output_tokens > 0)
    request.predicted_tokens = accepted.predicted_output_tokens;
  for (const admission::RemovedRequest& shed : accepted.shed_requests) {
    if (Request* other = Find(shed.request.id)) {
      other->admitted = false;
      GiveUp(*other, shed.error, shed.retry_after, now);
    }
  }
  Pump(now);
}

routing::RouteRequest RequestCoordinator::ToRoute(const Request& request,
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
  for (const auto& [upstream, failed_at] : request.excluded) {
    if (now - failed_at < kExclusion)
      route.excluded.push_back(upstream);
  }
  for (const auto& [number, attempt] : request.attempts)
    route.excluded.push_back(attempt.upstream);
  route.isolated = parts_.crashes->Advise(request.info.fingerprint, now).care ==
                   retry::Care::kIsolate;
  return route;
}

void RequestCoordinator::Pump(TimePoint now) {
  Probe probe(*this, now);
  while (std::optional<admission::PickedRequest> picked =
             parts_.admission->PickNext(probe, now)) {
    Request* request = Find(picked->request.id);
    if (!request) {
      parts_.admission->OnFinished(picked->request.id, 0, false, now);
      continue;
    }
    // Advice may have changed while the request waited.
    if (!CheckCare(*request, now))
      continue;
    std::optional<routing::Choice> choice = probe.Take(picked->request.id);
    if (!choice) {
      parts_.admission->Requeue(picked->request.id, now);
      probe.Block(picked->request.model);
      continue;
    }
    log_.Add(
        request->info,
        DecisionLog::Line("pick", request->info)
            .Field("reason", admission::ReasonName(picked->decision.reason))
            .Field("waited_ms", now - request->arrival));
    Start(*request, *choice, /*hedge=*/false, now);
  }
}

}  // namespace teaselhill::router
