/// \file
/// Request life cycle.

#include "teaselhill/router/request_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselhill::router {

namespace {

/// Waiting requests are checked for missing upstreams and stalls this often.
constexpr std::chrono::milliseconds kSlowTick{100};

/// Time that a request may wait for its claim when it has no deadline.
constexpr std::chrono::seconds kClaimPatience{10};

constexpr std::chrono::seconds kKeyedRetryAfter{2};

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

constexpr uint32_t kDefaultPredictedTokens = 256;

/// Backlog is turned into a rate as if it had to be served in this time.
constexpr double kDemandHorizonSeconds = 5;

routing::EndKind ToEndKind(const AttemptEnd& end) {
  if (end.complete)
    return routing::EndKind::kCompleted;
  if (end.code == ResultCode::kUpstreamRefused)
    return routing::EndKind::kRefused;
  if (!end.may_have_been_sent || end.code == ResultCode::kConnectFailed)
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

std::shared_ptr<const KeptAnswer> ToKept(const claims::Answer& answer) {
  auto kept = std::make_shared<KeptAnswer>();
  kept->status = answer.http_status;
  for (const auto& [name, value] : answer.headers)
    kept->headers.push_back({name, value});
  kept->body = answer.body;
  return kept;
}

std::string CandidatesJson(const routing::Choice& choice) {
  std::string json = "[";
  for (const routing::CandidateFigures& candidate : choice.candidates) {
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

struct RequestCoordinator::ActiveAttempt {
  routing::AttemptId id = 0;
  std::string upstream;
  TimePoint sent_at{};
  TimePoint progress_at{};
  uint64_t tokens = 0;
  bool hedge = false;
  bool suspect = false;
};

struct RequestCoordinator::Request {
  enum class Phase {
    kClaiming,
    kParked,  ///< a suspect that waits for its other run to end
    kQueued,
    kRunning,
    kForwarded
  };

  RequestInfo info;
  Phase phase = Phase::kClaiming;
  config::ClassPolicy request_class;
  double customer_weight = 1;
  double team_weight = 1;
  TimePoint arrival{};
  TimePoint deadline = admission::kNoDeadline;
  retry::RequestAttempts history;
  std::map<int, ActiveAttempt> attempts;
  int next_attempt = 0;
  std::map<std::string, TimePoint> excluded;  ///< upstreams that failed it
  uint64_t delivered_tokens = 0;
  uint64_t predicted_tokens = kDefaultPredictedTokens;
  quota::Cost cost;
  bool quota_taken = false;
  bool admitted = false;  ///< known to the admission policy
  bool claimed = false;   ///< has an entry in the claim table
  bool caller_gone = false;
  std::optional<TimePoint> limit_wait_end;  ///< set while it waits for a limit
  TimePoint retry_at{};  ///< a parked request is looked at again
  bool late = false;     ///< arrived while the host was draining
  std::optional<TimePoint> first_token_at;

  bool keyed() const {
    return !info.idempotent && !info.idempotency_key.empty();
  }
  const std::string& target() const {
    return info.model.empty() ? info.service : info.model;
  }
};

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

RequestCoordinator::RequestCoordinator(HostIncarnation self,
                                       CoordinatorOptions options,
                                       DecisionParts parts,
                                       TrafficPort& traffic,
                                       HostDirectory& hosts,
                                       DecisionLog& log,
                                       Metrics& metrics)
    : self_(std::move(self)),
      options_(std::move(options)),
      parts_(parts),
      traffic_(traffic),
      hosts_(hosts),
      log_(log),
      metrics_(metrics) {}

RequestCoordinator::~RequestCoordinator() = default;

void RequestCoordinator::ApplyConfig(
    std::shared_ptr<const config::ConfigView> view,
    TimePoint now) {
  view_ = std::move(view);
  Pump(now);
}

RequestCoordinator::Request* RequestCoordinator::Find(RequestId id) {
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
  request.late = draining_;
  if (!entry || !entry->contract)
    return Fail(request, {ResultCode::kNoConfiguration, ""},
                std::chrono::seconds(1), now);
  const config::ClassPolicy* request_class =
      entry->contract->FindClass(request.info.class_name);
  if (!request_class)
    return Fail(request, {ResultCode::kUnknownClass, request.info.class_name},
                Duration::zero(), now);
  request.request_class = *request_class;
  request.customer_weight = entry->contract->weight;
  for (const config::Team& team : entry->contract->teams) {
    if (team.name == request.info.team)
      request.team_weight = team.weight;
  }
  request.history.customer = request.info.customer;
  request.history.idempotent = request.info.idempotent;
  request.history.streamable = !request.info.model.empty();
  if (request.deadline != admission::kNoDeadline)
    request.history.deadline = request.deadline;
  if (!request.keyed())
    return Admit(request, now);
  const Result<claims::Key> key =
      claims::ParseKey(request.info.customer, request.info.idempotency_key,
                       options_.peer_secret);
  if (!key)
    return Fail(request, key.error(), Duration::zero(), now);
  request.claimed = true;
  Act(request,
      parts_.claims->OnRequest(request.info.id, *key, request.info.body_hash,
                               request.info.forwarded, now),
      now);
}

void RequestCoordinator::OnTokenWanted(int worker,
                                       RequestId request,
                                       const std::string& customer) {
  traffic_.GiveToken(
      worker, request,
      claims::FormatToken(customer, self_, parts_.claims->IssueToken(),
                          options_.peer_secret));
}

void RequestCoordinator::Act(Request& request,
                             const claims::Decision& decision,
                             TimePoint now) {
  if (std::holds_alternative<claims::Wait>(decision))
    return;
  if (std::holds_alternative<claims::RunNow>(decision))
    return Admit(request, now);
  if (const auto* forward = std::get_if<claims::ForwardToHolder>(&decision))
    return Forward(request, forward->holder, now);
  request.claimed = false;
  if (const auto* replay = std::get_if<claims::Replay>(&decision)) {
    if (replay->answer.code != ResultCode::kOk)
      return Fail(request, {replay->answer.code, ""}, std::chrono::seconds(1),
                  now);
    traffic_.Replay(request.info.worker, request.info.id,
                    ToKept(replay->answer));
    log_.Add(request.info, DecisionLog::Line("outcome", request.info)
                               .Field("outcome", "answered")
                               .Field("reason", "replayed")
                               .Field("total_ms", now - request.arrival));
    metrics_.CountOutcome(request.info.customer, request.info.class_name,
                          ResultCode::kOk);
    return Erase(request.info.id, 0, now);
  }
  Fail(request, {std::get<claims::Refuse>(decision).code, ""},
       std::chrono::seconds(1), now);
}

void RequestCoordinator::OnClaimActions(
    const std::vector<claims::Action>& actions,
    TimePoint now) {
  for (const claims::Action& action : actions) {
    if (Request* request = Find(action.request))
      Act(*request, action.decision, now);
  }
  Pump(now);
}

void RequestCoordinator::Forward(Request& request,
                                 const HostIncarnation& holder,
                                 TimePoint now) {
  request.claimed = false;
  const std::optional<std::string> url = hosts_.UrlOf(holder);
  if (!url)
    return Fail(request, {ResultCode::kHolderUnreachable, ""},
                std::chrono::seconds(1), now);
  request.phase = Request::Phase::kForwarded;
  ActiveAttempt attempt;
  attempt.upstream = holder.host;
  attempt.sent_at = attempt.progress_at = now;
  const int number = request.next_attempt++;
  request.attempts.emplace(number, attempt);
  AttemptOrder order;
  order.request = request.info.id;
  order.attempt = number;
  order.upstream = holder.host;
  order.url = *url;
  order.fresh_connection = true;
  order.to_host = true;
  log_.Add(request.info, DecisionLog::Line("forward", request.info)
                             .Field("holder", holder.host)
                             .Field("reason", "holds_idempotency_key"));
  traffic_.StartAttempt(request.info.worker, order);
}

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
  quota::TakeResult taken =
      parts_.limits->TryTake(request.info.customer, request.cost, now);
  const auto* refusal = std::get_if<quota::LimitRefusal>(&taken);
  // Requests that only wait count towards the concurrency limit as well; they
  // must not keep out a more urgent one. More than one has to go when the share
  // shrank below what is open.
  while (refusal && refusal->limit == quota::LimitKind::kConcurrency &&
         ShedForUrgency(request, *refusal, now)) {
    taken = parts_.limits->TryTake(request.info.customer, request.cost, now);
    refusal = std::get_if<quota::LimitRefusal>(&taken);
  }
  if (!refusal) {
    StopLimitWait(request);
    request.quota_taken = true;
    return true;
  }
  if (WaitForLimit(request, now))
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
  queued.weight = request.customer_weight;
  queued.team_weight = request.team_weight;
  queued.model = request.target();
  queued.prompt_tokens = request.info.prompt_tokens;
  queued.max_output_tokens = request.info.max_tokens;
  queued.arrival = request.arrival;
  queued.deadline = request.deadline;
  queued.idempotent = request.info.idempotent;
  admission::OfferResult result = parts_.admission->Offer(queued, now);
  const bool admitted = std::holds_alternative<admission::Admitted>(result);
  const admission::Decision& decision =
      admitted ? std::get<admission::Admitted>(result).decision
               : std::get<admission::Refused>(result).decision;
  log_.Add(
      request.info,
      DecisionLog::Line("admission", request.info)
          .Field("admitted", admitted)
          .Field("reason", admission::ReasonName(decision.reason))
          .Field("class", request.info.class_name)
          .Field("tier", request.request_class.tier)
          .Field("work_ahead_tokens", decision.figures.work_ahead)
          .Field("service_rate", decision.figures.service_rate)
          .Field("estimated_wait_ms", decision.figures.estimated_wait)
          .Field("predicted_tokens", decision.figures.predicted_output_tokens)
          .Field("queued",
                 static_cast<uint64_t>(decision.figures.queued_requests)));
  if (!admitted) {
    const auto& refused = std::get<admission::Refused>(result);
    return GiveUp(request, refused.error, refused.retry_after, now);
  }
  const auto& accepted = std::get<admission::Admitted>(result);
  request.admitted = true;
  request.phase = Request::Phase::kQueued;
  if (accepted.predicted_output_tokens > 0)
    request.predicted_tokens = accepted.predicted_output_tokens;
  for (const admission::Expiry& shed : accepted.shed) {
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
  while (std::optional<admission::Picked> picked =
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

void RequestCoordinator::Start(Request& request,
                               const routing::Choice& choice,
                               bool hedge,
                               TimePoint now) {
  const routing::Upstream* upstream = parts_.upstreams->Find(choice.upstream);
  assert(upstream && "the policy chose an unknown upstream");
  const bool suspect =
      parts_.crashes->Advise(request.info.fingerprint, now).care !=
      retry::Care::kNone;
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
  parts_.upstreams->OnSent(sent, now);
  const retry::CrashActions started = parts_.crashes->OnStarted(
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
               .Field("reason", routing::ReasonName(choice.reason))
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
  parts_.upstreams->OnEnded(id, kind, now);
  if (kind == routing::EndKind::kStreamBroken) {
    const retry::CrashActions actions = parts_.crashes->OnBroken(id, now);
    Act(actions, now);
    return;
  }
  if (kind == routing::EndKind::kCompleted) {
    Act(parts_.crashes->OnCompleted(id, now), now);
    return;
  }
  Act(parts_.crashes->OnEnded(id, now), now);
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
                                  routing::LeavingSign::kRefusal, now);
    hosts_.SpreadLeaving(parts_.upstreams->MakeLeavingMessage(now));
  }
  if (kind == routing::EndKind::kRefused && IsFaultOfRequest(end.status) &&
      !request.history.may_have_run) {
    if (request.claimed)
      parts_.claims->OnNotDelivered(id);
    return GiveUp(request, {ResultCode::kUpstreamRefused, end.detail},
                  Duration::zero(), now);
  }
  if (parts_.hedges->OnEndedEarly(attempt.id) && !request.attempts.empty())
    return;
  request.excluded[attempt.upstream] = now;
  request.history.tokens_kept = static_cast<uint32_t>(request.delivered_tokens);
  request.history.quarantined =
      parts_.crashes->Advise(request.info.fingerprint, now).care ==
      retry::Care::kRefuse;
  retry::AttemptEnd ended;
  ended.kind = ToRetryKind(kind);
  ended.upstream = attempt.upstream;
  ended.bytes_may_have_reached = end.may_have_been_sent;
  if (end.retry_after > Duration::zero())
    ended.retry_after = end.retry_after;
  Apply(request, parts_.planner->OnAttemptEnded(request.history, ended, now),
        now);
}

void RequestCoordinator::Apply(Request& request,
                               const retry::AttemptPlan& plan,
                               TimePoint now) {
  if (const auto* give_up = std::get_if<retry::GiveUpNotRun>(&plan)) {
    if (request.claimed)
      parts_.claims->OnNotDelivered(request.info.id);
    return GiveUp(request, {give_up->code, ""}, give_up->retry_after, now);
  }
  if (const auto* unknown = std::get_if<retry::GiveUpUnknown>(&plan))
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

void RequestCoordinator::GiveUp(Request& request,
                                Error error,
                                Duration retry_after,
                                TimePoint now) {
  const RequestId id = request.info.id;
  if (request.history.may_have_run) {
    const retry::AttemptPlan plan =
        parts_.planner->GiveUp(request.history, error.code, retry_after);
    if (const auto* unknown = std::get_if<retry::GiveUpUnknown>(&plan))
      return Fail(request, {unknown->code, error.message}, retry_after, now);
  }
  if (!request.claimed)
    return Fail(request, std::move(error), retry_after, now);
  // The claim is released a second after the answer; a send that comes back
  // sooner would find the key still held.
  retry_after = std::max<Duration>(retry_after, kKeyedRetryAfter);
  request.claimed = false;
  std::vector<claims::Action> actions;
  const ResultCode code =
      parts_.claims->OnGaveUp(id, error.code, now, &actions);
  if (code != error.code)
    error = {code, ""};
  Fail(request, std::move(error), retry_after, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::Fail(Request& request,
                              Error error,
                              Duration retry_after,
                              TimePoint now) {
  const RequestId id = request.info.id;
  log_.Add(request.info,
           DecisionLog::Line("outcome", request.info)
               .Field("outcome", OutcomeName(Describe(error.code).outcome))
               .Field("code", static_cast<int>(error.code))
               .Field("reason", Describe(error.code).name)
               .Field("class", request.info.class_name)
               .Field("retry_after_ms", retry_after)
               .Field("total_ms", now - request.arrival));
  metrics_.CountOutcome(request.info.customer, request.info.class_name,
                        error.code);
  // Also the tokens of attempts that ended before.
  metrics_.CountWastedTokens("not_completed", request.delivered_tokens);
  while (!request.attempts.empty())
    EndAttempt(request, request.attempts.begin()->first,
               routing::EndKind::kCancelled, now);
  traffic_.Fail(request.info.worker, id, error, retry_after);
  std::vector<claims::Action> actions;
  if (request.claimed) {
    request.claimed = false;
    claims::Answer answer;
    answer.code = error.code;
    actions = parts_.claims->OnFinished(id, claims::FinishKind::kLost,
                                        std::move(answer), now);
  }
  Erase(id, request.delivered_tokens, now);
  if (!actions.empty())
    OnClaimActions(actions, now);
}

void RequestCoordinator::Erase(RequestId id, uint64_t tokens, TimePoint now) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  Request& request = *found->second;
  StopLimitWait(request);
  if (request.admitted) {
    if (request.phase == Request::Phase::kQueued)
      parts_.admission->Remove(id);
    parts_.admission->OnFinished(id, tokens, false, now);
  }
  if (request.quota_taken)
    parts_.limits->Finish(request.info.customer, request.cost,
                          quota::Cost{static_cast<double>(tokens)}, now);
  requests_.erase(found);
}

void RequestCoordinator::OnCallerGone(RequestId id, TimePoint now) {
  Request* request = Find(id);
  if (!request)
    return;
  request->caller_gone = true;
  const bool running = request->phase == Request::Phase::kRunning;
  // The answer of a keyed request is kept for the caller's next send.
  if (running && request->claimed)
    return;
  if (request->phase == Request::Phase::kForwarded || running) {
    log_.Add(request->info, DecisionLog::Line("outcome", request->info)
                                .Field("outcome", "unknown")
                                .Field("reason", "CallerGone")
                                .Field("tokens", request->delivered_tokens));
    metrics_.CountOutcome(request->info.customer, request->info.class_name,
                          ResultCode::kCallerGone);
    metrics_.CountWastedTokens("caller_gone", request->delivered_tokens);
    while (!request->attempts.empty())
      EndAttempt(*request, request->attempts.begin()->first,
                 routing::EndKind::kCancelled, now);
    traffic_.Drop(request->info.worker, id);
    Erase(id, request->delivered_tokens, now);
    Pump(now);
    return;
  }
  GiveUp(*request, {ResultCode::kCallerGone, ""}, Duration::zero(), now);
}

void RequestCoordinator::OnSuspicion(const retry::CrashSuspicion& message,
                                     TimePoint now) {
  Act(parts_.crashes->OnMessage(message, now), now);
}

void RequestCoordinator::Act(const retry::CrashActions& actions,
                             TimePoint now) {
  if (!actions.message.empty())
    hosts_.SpreadSuspicion(actions.message);
  for (const retry::CrashReport& crash : actions.message.crashes)
    log_.Write(
        LogLine(LogLevel::kWarning, "upstream_crash")
            .Field("upstream", crash.upstream)
            .Field("suspects", static_cast<uint64_t>(crash.suspects.size())));
  for (const retry::AttemptId id : actions.cancel) {
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

void RequestCoordinator::Tick(TimePoint now) {
  ExpireQueue(now);
  ResumeParked(now);
  StartHedges(now);
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTick;
    ExpireClaims(now);
    EndStalledAttempts(now);
    GiveUpWithoutUpstream(now);
  }
  Pump(now);
}

void RequestCoordinator::ExpireQueue(TimePoint now) {
  for (const admission::Expiry& expiry : parts_.admission->Expire(now)) {
    Request* request = Find(expiry.request.id);
    if (!request)
      continue;
    request->admitted = false;
    GiveUp(*request, expiry.error, expiry.retry_after, now);
  }
}

void RequestCoordinator::ExpireClaims(TimePoint now) {
  std::vector<RequestId> late;
  for (const auto& [id, request] : requests_) {
    if (request->phase != Request::Phase::kClaiming)
      continue;
    // The answer to the earlier send comes without the log.
    const TimePoint limit =
        parts_.claims->AwaitsAnswer(id)
            ? request->deadline
            : std::min(request->deadline, request->arrival + kClaimPatience);
    if (now >= limit)
      late.push_back(id);
  }
  for (RequestId id : late) {
    if (Request* request = Find(id))
      GiveUp(*request, {ResultCode::kDeadlineUnreachable, ""},
             std::chrono::seconds(1), now);
  }
}

void RequestCoordinator::EndStalledAttempts(TimePoint now) {
  std::vector<AttemptEnd> stalled;
  for (const auto& [id, request] : requests_) {
    for (const auto& [number, attempt] : request->attempts) {
      if (request->phase == Request::Phase::kForwarded)
        continue;
      Duration limit = request->info.model.empty() ? options_.service_timeout
                       : attempt.tokens == 0 ? options_.first_token_timeout
                                             : options_.between_tokens_timeout;
      // A caller is not left waiting beyond its deadline for an upstream that
      // says nothing. The answer to a keyed request is still worth having: it
      // is kept for the next send of the key.
      if (now >= request->deadline && !request->claimed)
        limit = std::min(limit, options_.late_silence);
      if (now - attempt.progress_at <= limit)
        continue;
      AttemptEnd end;
      end.request = id;
      end.attempt = number;
      end.code = ResultCode::kTimedOut;
      end.detail = "no progress";
      end.may_have_been_sent = true;
      end.tokens = attempt.tokens;
      end.delivered_tokens = request->delivered_tokens;
      stalled.push_back(std::move(end));
    }
  }
  for (const AttemptEnd& end : stalled) {
    Request* request = Find(end.request);
    if (!request)
      continue;
    traffic_.CancelAttempt(request->info.worker, end.request, end.attempt);
    OnAttemptEnded(end, nullptr, now);
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

std::map<std::string, double> RequestCoordinator::DemandByModel() const {
  std::map<std::string, double> demand;
  for (const auto& [id, request] : requests_) {
    if (request->info.model.empty())
      continue;
    const uint64_t owed =
        request->predicted_tokens > request->delivered_tokens
            ? request->predicted_tokens - request->delivered_tokens
            : 1;
    demand[request->info.model] +=
        static_cast<double>(owed) / kDemandHorizonSeconds;
  }
  return demand;
}

void RequestCoordinator::GiveUpWithoutUpstream(TimePoint now) {
  std::vector<RequestId> stranded;
  for (const auto& [target, since] : without_upstream_) {
    if (now - since < options_.no_upstream_hold)
      continue;
    for (const auto& [id, request] : requests_) {
      if (request->phase == Request::Phase::kQueued &&
          request->target() == target)
        stranded.push_back(id);
    }
  }
  for (RequestId id : stranded) {
    if (Request* request = Find(id))
      GiveUp(*request,
             {ResultCode::kNoUpstream,
              "no upstream serves '" + request->target() + "'"},
             std::chrono::seconds(2), now);
  }
  // Without waiting requests nothing would clear an old mark.
  if (stranded.empty()) {
    for (auto mark = without_upstream_.begin();
         mark != without_upstream_.end();) {
      const bool old = now - mark->second >= 2 * options_.no_upstream_hold;
      mark = old ? without_upstream_.erase(mark) : std::next(mark);
    }
  }
}

}  // namespace teaselhill::router
