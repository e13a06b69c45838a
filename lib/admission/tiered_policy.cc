/// \file
/// Admission policy `tiered`: tiers in order of urgency, weighted fair queueing
/// inside a tier, and guaranteed starts for classes that waited too long.

#include "tiered_policy.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace teaselhill::admission {
namespace {

/// Work of a prompt token relative to an output token. A prompt token is
/// cheaper because an engine processes the tokens of a prompt in parallel.
constexpr double kPromptTokenWork = 1.0 / 8;
/// Quantile of the output length that counts as a short answer. The time for a
/// short answer is always reserved, so a request is rejected when its deadline
/// leaves no time for one.
constexpr double kShortAnswerQuantile = 0.1;
/// Upper bound on the reserved service time, as a fraction of the time from
/// arrival to deadline, so that requests with tight deadlines may still wait.
/// The time for a short answer is reserved even when it is longer.
constexpr double kMostServiceShare = 0.75;
constexpr double kMedian = 0.5;
constexpr double kPaceSmoothing = 0.1;
constexpr size_t kMaxSketches = 4096;
constexpr size_t kMaxIdleModels = 64;
/// Unused nodes of a fair queue are removed when the queue becomes idle. A
/// queue that is never idle is cleaned up once in this many finished requests.
constexpr uint64_t kSweepInterval = 4096;
/// Memory of an entry's nodes in the indexes, in addition to the entry itself
/// and its strings.
constexpr size_t kIndexBytes = 512;
constexpr Duration kShortestRetry = std::chrono::seconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(60);

size_t BytesOf(const QueuedRequest& request) {
  return sizeof(Entry) + kIndexBytes + request.customer.size() +
         request.team.size() + request.class_name.size() + request.model.size();
}

double PromptWork(const QueuedRequest& request) {
  return static_cast<double>(request.prompt_tokens) * kPromptTokenWork;
}

Duration ClampRetry(Duration retry) {
  return std::clamp(retry, kShortestRetry, kLongestRetry);
}

/// Returns the time to serve `work` tokens at `rate` tokens/s, or zero while
/// the rate is unknown. The time is at most a day, so that sums cannot
/// overflow.
Duration TimeFor(double work, double rate) {
  constexpr double kDaySeconds = 86400;
  return rate > 0 ? FromSeconds(std::min(work / rate, kDaySeconds))
                  : Duration::zero();
}

FairNode* ClassOf(const Entry& entry) {
  return entry.team->parent->parent;
}

StarvedOrder::key_type StarvedKey(const FairNode& class_node,
                                  config::Tier tier) {
  return {class_node.last_start, tier, class_node.order};
}

const AdmissionRegistration kRegistration(
    "tiered",
    [](const AdmissionOptions& options) {
      return std::make_unique<TieredPolicy>(options);
    });

}  // namespace

TieredPolicy::TieredPolicy(const AdmissionOptions& options)
    : options_(options), predictor_(kMaxSketches) {}

ModelQueue& TieredPolicy::Model(const std::string& name, TimePoint now) {
  ModelQueue& model = models_[name];
  model.last_used = now;
  return model;
}

uint64_t TieredPolicy::PredictOutput(const QueuedRequest& request,
                                     double quantile) const {
  const uint64_t predicted =
      predictor_.Predict(request.customer, request.class_name, quantile);
  return request.max_output_tokens > 0
             ? std::min(predicted, request.max_output_tokens)
             : predicted;
}

double TieredPolicy::WorkUpTo(const ModelQueue& model, config::Tier tier) {
  double work = 0;
  for (const auto& [queue_tier, queue] : model.tiers) {
    if (queue_tier <= tier)
      work += queue.fair.root().work;
  }
  return work;
}

Duration TieredPolicy::EstimateWait(const ModelQueue& model,
                                    const QueuedRequest& request,
                                    TimePoint now) const {
  double work = WorkUpTo(model, request.tier - 1);
  const auto same = model.tiers.find(request.tier);
  if (same != model.tiers.end()) {
    work += same->second.fair.WorkAhead(request.class_name, request.customer,
                                        request.weight, request.team,
                                        request.team_weight);
  }
  return TimeFor(work, model.rate.Get(now));
}

DecisionFigures TieredPolicy::Figures(const ModelQueue& model,
                                      const Entry& entry,
                                      TimePoint now) const {
  DecisionFigures figures;
  figures.work_ahead = WorkUpTo(model, entry.request.tier);
  figures.service_rate = model.rate.Get(now);
  figures.estimated_wait = EstimateWait(model, entry.request, now);
  figures.estimated_service = FromSeconds(entry.work * model.seconds_per_token);
  figures.predicted_output_tokens = entry.request.predicted_output_tokens;
  figures.queued_requests = queued_;
  return figures;
}

Refused TieredPolicy::Refuse(const Entry& entry,
                             ResultCode code,
                             DecisionReason reason,
                             Duration retry_after,
                             TimePoint now) const {
  return {Error{code, "request of class " + entry.request.class_name +
                          " refused: " + std::string(ReasonName(reason))},
          ClampRetry(retry_after),
          {reason, Figures(*entry.model, entry, now)}};
}

Expiry TieredPolicy::Shed(Entry* entry,
                          ResultCode code,
                          DecisionReason reason,
                          TimePoint now) {
  const ModelQueue& model = *entry->model;
  Expiry expiry;
  expiry.error = Error{
      code, "request of class " + entry->request.class_name +
                " removed from the queue: " + std::string(ReasonName(reason))};
  expiry.decision = {reason, Figures(model, *entry, now)};
  expiry.retry_after = ClampRetry(
      TimeFor(expiry.decision.figures.work_ahead, model.rate.Get(now)));
  Dequeue(entry);
  expiry.request = std::move(entry->request);
  entries_.erase(expiry.request.id);
  return expiry;
}

TimePoint TieredPolicy::LatestStart(const QueuedRequest& request,
                                    const ModelQueue& model) const {
  const auto service = [&](double quantile) {
    const double work = static_cast<double>(PredictOutput(request, quantile)) +
                        PromptWork(request);
    return FromSeconds(work * model.seconds_per_token);
  };
  const Duration whole = request.deadline - request.arrival;
  const Duration longest = FromSeconds(ToSeconds(whole) * kMostServiceShare);
  const Duration reserved =
      std::min(service(options_.service_quantile), longest);
  return request.deadline - std::max(reserved, service(kShortAnswerQuantile));
}

OfferResult TieredPolicy::Offer(const QueuedRequest& request, TimePoint now) {
  assert(entries_.count(request.id) == 0 && "request id offered twice");
  assert(request.weight > 0 && request.team_weight > 0 &&
         "weights must be positive");
  CollectExpired(now);
  Entry entry;
  entry.request = request;
  if (request.predicted_output_tokens == 0) {
    entry.request.predicted_output_tokens =
        PredictOutput(request, options_.predicted_quantile);
  }
  ModelQueue& model = Model(request.model, now);
  model.rate.Update(model.queued > 0, now);
  entry.model = &model;
  entry.bytes = BytesOf(request);
  entry.work = static_cast<double>(entry.request.predicted_output_tokens) +
               PromptWork(request);
  const Duration wait = EstimateWait(model, request, now);
  if (request.deadline != kNoDeadline) {
    entry.latest_start = LatestStart(request, model);
    if (now + wait > entry.latest_start) {
      return Refuse(entry, ResultCode::kDeadlineUnreachable,
                    DecisionReason::kDeadlineUnreachable,
                    now + wait - entry.latest_start, now);
    }
  } else if (wait > options_.max_backlog) {
    return Refuse(entry, ResultCode::kQueueFull, DecisionReason::kWorkBound,
                  wait - options_.max_backlog, now);
  }

  Admitted admitted;
  const DecisionReason bound = OverMemory(entry.bytes)
                                   ? DecisionReason::kMemoryBound
                                   : DecisionReason::kWorkBound;
  if (!MakeRoom(entry, bound, now, &admitted.shed)) {
    // Requests that were already shed are not put back, although they did not
    // make enough room. `Expire` returns them.
    std::move(admitted.shed.begin(), admitted.shed.end(),
              std::back_inserter(expired_));
    return Refuse(entry, ResultCode::kQueueFull, bound, wait, now);
  }
  admitted.predicted_output_tokens = entry.request.predicted_output_tokens;
  Entry& stored = entries_.emplace(request.id, std::move(entry)).first->second;
  stored.sequence = next_sequence_++;
  Enqueue(&stored, now);
  admitted.decision = {DecisionReason::kQueued, Figures(model, stored, now)};
  return admitted;
}

bool TieredPolicy::OverMemory(size_t bytes) const {
  return queued_ + 1 > options_.max_queued_requests ||
         queued_bytes_ + bytes > options_.max_queued_bytes;
}

bool TieredPolicy::OverUnmeasuredWork(const Entry& entry, TimePoint now) const {
  return queued_ > 0 && entry.model->rate.Get(now) == 0 &&
         queued_work_ + entry.work > options_.max_unmeasured_work;
}

Entry* TieredPolicy::Victim(const Entry& entry) {
  const auto lowest = backlog_.rbegin();
  if (lowest == backlog_.rend() || lowest->first < entry.request.tier)
    return nullptr;
  const bool same_tier = lowest->first == entry.request.tier;
  CustomerBacklog* most_over = nullptr;
  double most = 0;
  if (same_tier) {
    const auto own = lowest->second.find(entry.request.customer);
    const double own_work = own == lowest->second.end() ? 0 : own->second.work;
    most = (own_work + entry.work) / entry.request.weight;
  }
  for (auto& [customer, backlog] : lowest->second) {
    if (same_tier && customer == entry.request.customer)
      continue;
    if (backlog.work / backlog.weight > most) {
      most = backlog.work / backlog.weight;
      most_over = &backlog;
    }
  }
  return most_over == nullptr ? nullptr : most_over->entries.rbegin()->second;
}

bool TieredPolicy::MakeRoom(const Entry& entry,
                            DecisionReason reason,
                            TimePoint now,
                            std::vector<Expiry>* shed) {
  if (entry.bytes > options_.max_queued_bytes)
    return false;
  while (OverMemory(entry.bytes) || OverUnmeasuredWork(entry, now)) {
    Entry* victim = Victim(entry);
    if (victim == nullptr)
      return false;
    shed->push_back(Shed(victim, ResultCode::kQueueFull, reason, now));
  }
  return true;
}

void TieredPolicy::Enqueue(Entry* entry, TimePoint now) {
  const QueuedRequest& request = entry->request;
  ModelQueue& model = *entry->model;
  TierQueue& tier = model.tiers[request.tier];
  entry->team =
      tier.fair.Team(request.class_name, request.customer, request.weight,
                     request.team, request.team_weight);
  tier.fair.Insert(entry->team, entry);
  FairNode* class_node = ClassOf(*entry);
  if (class_node->queued == 1) {
    class_node->last_start = now;
    model.starved.emplace(StarvedKey(*class_node, request.tier), class_node);
  }
  if (entry->latest_start != kNoDeadline) {
    tier.by_latest_start.emplace(
        std::make_pair(entry->latest_start, entry->sequence), entry);
  }
  CustomerBacklog& backlog = backlog_[request.tier][request.customer];
  backlog.weight = request.weight;
  backlog.work += entry->work;
  backlog.entries.emplace(entry->sequence, entry);
  ++model.queued;
  ++queued_;
  queued_bytes_ += entry->bytes;
  queued_work_ += entry->work;
  model.rate.Update(true, now);
}

/// Removes `entry` from all indexes and sums except its fair queue and the
/// model's order of waiting classes.
void TieredPolicy::LeaveIndexes(Entry* entry) {
  const QueuedRequest& request = entry->request;
  entry->model->tiers[request.tier].by_latest_start.erase(
      {entry->latest_start, entry->sequence});
  TierBacklog& tier_backlog = backlog_[request.tier];
  CustomerBacklog& backlog = tier_backlog[request.customer];
  backlog.work -= entry->work;
  backlog.entries.erase(entry->sequence);
  if (backlog.entries.empty())
    tier_backlog.erase(request.customer);
  if (tier_backlog.empty())
    backlog_.erase(request.tier);
  --entry->model->queued;
  --queued_;
  queued_bytes_ -= entry->bytes;
  queued_work_ = queued_ == 0 ? 0 : queued_work_ - entry->work;
}

void TieredPolicy::Dequeue(Entry* entry) {
  LeaveIndexes(entry);
  ModelQueue& model = *entry->model;
  FairNode* class_node = ClassOf(*entry);
  model.tiers[entry->request.tier].fair.Erase(entry->team, entry);
  if (class_node->queued == 0)
    model.starved.erase(StarvedKey(*class_node, entry->request.tier));
}

void TieredPolicy::CollectExpired(TimePoint now) {
  for (auto& [name, model] : models_) {
    for (auto& [tier, queue] : model.tiers) {
      auto& order = queue.by_latest_start;
      while (!order.empty() && order.begin()->first.first < now) {
        model.rate.Update(true, now);
        expired_.push_back(Shed(order.begin()->second,
                                ResultCode::kDeadlineUnreachable,
                                DecisionReason::kDeadlinePassing, now));
      }
    }
    model.rate.Update(model.queued > 0, now);
  }
}

std::vector<Expiry> TieredPolicy::Expire(TimePoint now) {
  CollectExpired(now);
  DropIdleModels(now);
  std::vector<Expiry> expired;
  expired.swap(expired_);
  return expired;
}

TimePoint TieredPolicy::NextExpiry() const {
  TimePoint next = TimePoint::max();
  if (!expired_.empty())
    return TimePoint::min();
  for (const auto& [name, model] : models_) {
    for (const auto& [tier, queue] : model.tiers) {
      if (!queue.by_latest_start.empty()) {
        next = std::min(
            next, queue.by_latest_start.begin()->first.first + Duration(1));
      }
    }
  }
  return next;
}

bool TieredPolicy::UrgentHasSlack(const ModelQueue& model,
                                  TimePoint now) const {
  const auto urgent = model.tiers.find(config::kUrgentTier);
  if (urgent == model.tiers.end() || urgent->second.by_latest_start.empty())
    return true;
  const Entry& tightest = *urgent->second.by_latest_start.begin()->second;
  const Duration wait =
      TimeFor(urgent->second.fair.root().work, model.rate.Get(now));
  const Duration one_more =
      FromSeconds(tightest.work * model.seconds_per_token);
  return now + wait + one_more <= tightest.latest_start;
}

TieredPolicy::Candidate TieredPolicy::Guaranteed(const ModelQueue& model,
                                                 TimePoint now) const {
  // A guaranteed start is followed by a start in tier order, so that even a
  // very slow model spends half of its starts on urgent requests.
  if (model.starved.empty() || model.last_guaranteed)
    return {};
  const FairNode& longest = *model.starved.begin()->second;
  const Duration waited = now - longest.last_start;
  const bool due =
      waited >= options_.guarantee_latest ||
      (waited >= options_.guarantee_after && UrgentHasSlack(model, now));
  if (!due)
    return {};
  return {FairQueue::Head(longest), DecisionReason::kGuaranteedStart};
}

TieredPolicy::Candidate TieredPolicy::InTierOrder(const ModelQueue& model) {
  for (const auto& [tier, queue] : model.tiers) {
    if (queue.fair.root().queued > 0)
      return {FairQueue::Head(queue.fair.root()), DecisionReason::kTierOrder};
  }
  return {};
}

std::optional<Picked> TieredPolicy::PickNext(const PlacementProbe& probe,
                                             TimePoint now) {
  CollectExpired(now);
  pick_order_.clear();
  for (auto& [name, model] : models_) {
    if (model.queued > 0)
      pick_order_.push_back(&model);
  }
  // Models usually do not compete for upstreams. Among models whose next
  // requests are equally urgent, the least recently picked one is tried first.
  const auto key = [](const ModelQueue* model) {
    return std::make_pair(InTierOrder(*model).entry->request.tier,
                          model->last_pick);
  };
  std::sort(pick_order_.begin(), pick_order_.end(),
            [&](const ModelQueue* a, const ModelQueue* b) {
              return key(a) < key(b);
            });
  for (ModelQueue* model : pick_order_) {
    const Candidate guaranteed = Guaranteed(*model, now);
    if (guaranteed.entry != nullptr &&
        probe.CanPlace(guaranteed.entry->request))
      return Start(guaranteed, now);
    const Candidate ordered = InTierOrder(*model);
    if (ordered.entry != guaranteed.entry &&
        probe.CanPlace(ordered.entry->request))
      return Start(ordered, now);
  }
  return std::nullopt;
}

Picked TieredPolicy::Start(const Candidate& candidate, TimePoint now) {
  Entry* entry = candidate.entry;
  ModelQueue& model = *entry->model;
  Picked picked{entry->request,
                {candidate.reason, Figures(model, *entry, now)}};
  FairNode* class_node = ClassOf(*entry);
  const config::Tier tier = entry->request.tier;
  LeaveIndexes(entry);
  model.starved.erase(StarvedKey(*class_node, tier));
  model.tiers[tier].fair.Start(entry->team, entry);
  class_node->last_start = now;
  if (class_node->queued > 0)
    model.starved.emplace(StarvedKey(*class_node, tier), class_node);
  entry->running = true;
  entry->charged = entry->work;
  entry->started = now;
  ++model.running;
  model.last_pick = next_pick_++;
  model.last_guaranteed = candidate.reason == DecisionReason::kGuaranteedStart;
  model.last_used = now;
  model.rate.OnStart(entry->work);
  model.rate.Update(model.queued > 0, now);
  return picked;
}

void TieredPolicy::EndRunning(Entry* entry) {
  entry->running = false;
  --entry->model->running;
  entry->model->tiers[entry->request.tier].fair.Finish(entry->team);
}

void TieredPolicy::Requeue(RequestId id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.running)
    return;
  Entry& entry = found->second;
  FairQueue::Charge(entry.team, -entry.charged);
  entry.charged = 0;
  entry.produced = 0;
  EndRunning(&entry);
  Enqueue(&entry, now);
}

void TieredPolicy::Remove(RequestId id) {
  // A request that expired during an earlier call may still be in `expired_`.
  expired_.erase(std::remove_if(expired_.begin(), expired_.end(),
                                [&](const Expiry& expiry) {
                                  return expiry.request.id == id;
                                }),
                 expired_.end());
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.running)
    return;
  Dequeue(&found->second);
  entries_.erase(found);
}

void TieredPolicy::OnStarted(RequestId id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.running)
    found->second.started = now;
}

void TieredPolicy::OnProgress(RequestId id,
                              uint64_t output_tokens,
                              TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.running)
    return;
  Entry& entry = found->second;
  entry.produced = std::max(entry.produced, output_tokens);
  const double used =
      static_cast<double>(entry.produced) + PromptWork(entry.request);
  if (used > entry.charged) {
    FairQueue::Charge(entry.team, used - entry.charged);
    entry.charged = used;
  }
}

void TieredPolicy::OnFinished(RequestId id,
                              uint64_t output_tokens,
                              bool complete,
                              TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.running)
    return;
  Entry& entry = found->second;
  ModelQueue& model = *entry.model;
  const double used =
      static_cast<double>(output_tokens) + PromptWork(entry.request);
  FairQueue::Charge(entry.team, used - entry.charged);
  if (complete && output_tokens > 0) {
    predictor_.Add(entry.request.customer, entry.request.class_name,
                   output_tokens);
    const double pace = ToSeconds(now - entry.started) / used;
    double& known = model.seconds_per_token;
    known = known == 0 ? pace
                       : known * (1 - kPaceSmoothing) + pace * kPaceSmoothing;
  }
  EndRunning(&entry);
  FairQueue& fair = model.tiers[entry.request.tier].fair;
  entries_.erase(found);
  const bool idle = fair.root().queued == 0 && fair.root().running == 0;
  if (idle || ++finished_ % kSweepInterval == 0)
    fair.DropIdleNodes();
}

uint64_t TieredPolicy::PredictRemaining(RequestId id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.running)
    return 0;
  const Entry& entry = found->second;
  uint64_t whole =
      predictor_.Predict(entry.request.customer, entry.request.class_name,
                         kMedian, entry.produced);
  if (entry.request.max_output_tokens > 0)
    whole = std::min(whole, entry.request.max_output_tokens);
  return whole > entry.produced ? whole - entry.produced : 0;
}

QueueStats TieredPolicy::Stats(TimePoint now) const {
  QueueStats stats;
  stats.queued = queued_;
  stats.running = entries_.size() - queued_;
  stats.queued_bytes = queued_bytes_;
  stats.queued_work = queued_work_;
  for (const auto& [tier, customers] : backlog_) {
    TierStats& row = stats.tiers.emplace_back();
    row.tier = tier;
    for (const auto& [customer, backlog] : customers) {
      row.queued += backlog.entries.size();
      row.queued_work += backlog.work;
      const Entry& oldest = *backlog.entries.begin()->second;
      row.oldest_wait = std::max(row.oldest_wait, now - oldest.request.arrival);
    }
  }
  return stats;
}

void TieredPolicy::DropIdleModels(TimePoint now) {
  if (models_.size() <= kMaxIdleModels)
    return;
  constexpr Duration kKeepIdle = std::chrono::seconds(60);
  for (auto it = models_.begin(); it != models_.end();) {
    const ModelQueue& model = it->second;
    const bool idle = model.queued == 0 && model.running == 0;
    it = idle && now - model.last_used > kKeepIdle ? models_.erase(it)
                                                   : std::next(it);
  }
}

}  // namespace teaselhill::admission
