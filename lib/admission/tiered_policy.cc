/// \file
/// Admission policy `tiered`: tiers in order of urgency, weighted fair queueing
/// inside a tier, and guaranteed starts for classes that waited too long.

#include "tiered_policy.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace teaselhill::admission {
namespace {

/// Work of a prompt token relative to that of an output token. A prompt token
/// is cheaper because an engine processes the tokens of a prompt in parallel.
constexpr double kOutputTokensPerPromptToken = 1.0 / 8;
/// Quantile of the output length that is taken as a short answer. The time for
/// a short answer is always reserved, so a request is rejected when the time to
/// its deadline is too short for a short answer.
constexpr double kShortAnswerQuantile = 0.1;
/// Upper bound on the reserved service time, as a fraction of the time from
/// arrival to deadline, so that requests with tight deadlines may still wait.
/// The time for a short answer is reserved even if it exceeds this bound.
constexpr double kMaxReservedFraction = 0.75;
constexpr double kMedianQuantile = 0.5;
constexpr double kPaceSampleWeight = 0.1;
constexpr size_t kMaxSketches = 4096;
constexpr size_t kMaxIdleModels = 64;
/// Unused nodes of a fair queue are removed when the queue becomes idle.
/// Requests that finish while their queue is not idle are counted over all
/// queues. Whenever this many of them have finished, the queue of the last of
/// them is cleaned up, so that queues that are never idle are cleaned up as
/// well.
constexpr uint64_t kCleanupIntervalRequests = 4096;
/// Memory of an entry's nodes in the indexes, in addition to the entry itself
/// and its strings.
constexpr size_t kIndexBytesPerEntry = 512;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

size_t EstimateBytes(const QueuedRequest& request) {
  return sizeof(QueueEntry) + kIndexBytesPerEntry + request.customer.size() +
         request.team.size() + request.class_name.size() + request.model.size();
}

double PromptWork(const QueuedRequest& request) {
  return static_cast<double>(request.prompt_tokens) *
         kOutputTokensPerPromptToken;
}

Duration ClampRetryAfter(Duration retry_after) {
  return std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
}

const AdmissionRegistration kRegistration(
    "tiered",
    [](const AdmissionOptions& options) {
      return std::make_unique<TieredPolicy>(options);
    });

}  // namespace

Duration ServiceTime(double work_tokens, double tokens_per_second) {
  constexpr double kMaxSeconds = 86400;
  return tokens_per_second > 0
             ? FromSeconds(
                   std::min(work_tokens / tokens_per_second, kMaxSeconds))
             : Duration::zero();
}

FairNode* ClassNodeOf(const QueueEntry& entry) {
  return entry.team_node->parent->parent;
}

ClassesByLastStart::key_type LastStartKey(const FairNode& class_node,
                                          config::Tier tier) {
  return {class_node.last_started_at, tier, class_node.creation_index};
}

TieredPolicy::TieredPolicy(const AdmissionOptions& options)
    : options_(options), predictor_(kMaxSketches) {}

ModelQueue& TieredPolicy::GetOrCreateModel(const std::string& name,
                                           TimePoint now) {
  ModelQueue& model = models_[name];
  model.last_used_at = now;
  return model;
}

uint64_t TieredPolicy::PredictOutputTokens(const QueuedRequest& request,
                                           double quantile) const {
  const uint64_t predicted =
      predictor_.Predict(request.customer, request.class_name, quantile);
  return request.max_output_tokens > 0
             ? std::min(predicted, request.max_output_tokens)
             : predicted;
}

double TieredPolicy::QueuedWorkUpToTier(const ModelQueue& model,
                                        config::Tier tier) {
  double work = 0;
  for (const auto& [queue_tier, queue] : model.tiers) {
    if (queue_tier <= tier)
      work += queue.fair_queue.root().queued_work_tokens;
  }
  return work;
}

Duration TieredPolicy::EstimateWait(const ModelQueue& model,
                                    const QueuedRequest& request,
                                    TimePoint now) const {
  double work = QueuedWorkUpToTier(model, request.tier - 1);
  const auto same_tier = model.tiers.find(request.tier);
  if (same_tier != model.tiers.end()) {
    work += same_tier->second.fair_queue.EstimateWorkAhead(
        request.class_name, request.customer, request.customer_weight,
        request.team, request.team_weight);
  }
  return ServiceTime(work, model.service_rate.TokensPerSecond(now));
}

DecisionDetails TieredPolicy::MakeDecisionDetails(const ModelQueue& model,
                                                  const QueueEntry& entry,
                                                  TimePoint now) const {
  DecisionDetails details;
  details.work_ahead_tokens = QueuedWorkUpToTier(model, entry.request.tier);
  details.service_tokens_per_second = model.service_rate.TokensPerSecond(now);
  details.estimated_wait = EstimateWait(model, entry.request, now);
  details.estimated_service =
      FromSeconds(entry.predicted_work_tokens * model.seconds_per_token);
  details.predicted_output_tokens = entry.request.predicted_output_tokens;
  details.queued_requests = queued_count_;
  return details;
}

RejectedOffer TieredPolicy::MakeRejection(const QueueEntry& entry,
                                          ResultCode code,
                                          DecisionReason reason,
                                          Duration retry_after,
                                          TimePoint now) const {
  return {Error{code, "request of class " + entry.request.class_name +
                          " refused: " + std::string(ReasonName(reason))},
          ClampRetryAfter(retry_after),
          {reason, MakeDecisionDetails(*entry.model_queue, entry, now)}};
}

RemovedRequest TieredPolicy::RemoveFromQueue(QueueEntry* entry,
                                             ResultCode code,
                                             DecisionReason reason,
                                             TimePoint now) {
  const ModelQueue& model = *entry->model_queue;
  RemovedRequest removed;
  removed.error = Error{
      code, "request of class " + entry->request.class_name +
                " removed from the queue: " + std::string(ReasonName(reason))};
  removed.decision = {reason, MakeDecisionDetails(model, *entry, now)};
  removed.retry_after =
      ClampRetryAfter(ServiceTime(removed.decision.details.work_ahead_tokens,
                                  model.service_rate.TokensPerSecond(now)));
  Dequeue(entry);
  removed.request = std::move(entry->request);
  entries_.erase(removed.request.id);
  return removed;
}

TimePoint TieredPolicy::LatestStart(const QueuedRequest& request,
                                    const ModelQueue& model) const {
  const auto service_time = [&](double quantile) {
    const double work =
        static_cast<double>(PredictOutputTokens(request, quantile)) +
        PromptWork(request);
    return FromSeconds(work * model.seconds_per_token);
  };
  const Duration time_to_deadline = request.deadline - request.arrival;
  const Duration max_reserved =
      FromSeconds(ToSeconds(time_to_deadline) * kMaxReservedFraction);
  const Duration reserved =
      std::min(service_time(options_.reserved_time_quantile), max_reserved);
  return request.deadline -
         std::max(reserved, service_time(kShortAnswerQuantile));
}

OfferResult TieredPolicy::Offer(const QueuedRequest& request, TimePoint now) {
  assert(entries_.count(request.id) == 0 && "request id offered twice");
  assert(request.customer_weight > 0 && request.team_weight > 0 &&
         "weights must be positive");
  CollectExpired(now);
  QueueEntry entry;
  entry.request = request;
  if (request.predicted_output_tokens == 0) {
    entry.request.predicted_output_tokens =
        PredictOutputTokens(request, options_.predicted_work_quantile);
  }
  ModelQueue& model = GetOrCreateModel(request.model, now);
  model.service_rate.Update(model.queued_count > 0, now);
  entry.model_queue = &model;
  entry.memory_bytes = EstimateBytes(request);
  entry.predicted_work_tokens =
      static_cast<double>(entry.request.predicted_output_tokens) +
      PromptWork(request);
  const Duration estimated_wait = EstimateWait(model, request, now);
  if (request.deadline != kNoDeadline) {
    entry.latest_start = LatestStart(request, model);
    if (now + estimated_wait > entry.latest_start) {
      return MakeRejection(entry, ResultCode::kDeadlineUnreachable,
                           DecisionReason::kDeadlineUnreachable,
                           now + estimated_wait - entry.latest_start, now);
    }
  } else if (estimated_wait > options_.max_backlog) {
    return MakeRejection(entry, ResultCode::kQueueFull,
                         DecisionReason::kWorkBound,
                         estimated_wait - options_.max_backlog, now);
  }

  AdmittedOffer admitted;
  const DecisionReason bound_reason = ExceedsMemoryBound(entry.memory_bytes)
                                          ? DecisionReason::kMemoryBound
                                          : DecisionReason::kWorkBound;
  if (!MakeRoom(entry, bound_reason, now, &admitted.shed_requests)) {
    // Requests that were already shed are not queued again, although shedding
    // them did not make enough room. `RemoveExpired` returns them.
    std::move(admitted.shed_requests.begin(), admitted.shed_requests.end(),
              std::back_inserter(unreported_removals_));
    return MakeRejection(entry, ResultCode::kQueueFull, bound_reason,
                         estimated_wait, now);
  }
  admitted.predicted_output_tokens = entry.request.predicted_output_tokens;
  QueueEntry& queued_entry =
      entries_.emplace(request.id, std::move(entry)).first->second;
  queued_entry.sequence = next_sequence_++;
  Enqueue(&queued_entry, now);
  admitted.decision = {DecisionReason::kQueued,
                       MakeDecisionDetails(model, queued_entry, now)};
  return admitted;
}

void TieredPolicy::Enqueue(QueueEntry* entry, TimePoint now) {
  const QueuedRequest& request = entry->request;
  ModelQueue& model = *entry->model_queue;
  TierQueue& tier = model.tiers[request.tier];
  entry->team_node = tier.fair_queue.GetOrCreateTeam(
      request.class_name, request.customer, request.customer_weight,
      request.team, request.team_weight);
  tier.fair_queue.Insert(entry->team_node, entry);
  FairNode* class_node = ClassNodeOf(*entry);
  if (class_node->queued_count == 1) {
    class_node->last_started_at = now;
    model.classes_by_last_start.emplace(LastStartKey(*class_node, request.tier),
                                        class_node);
  }
  if (entry->latest_start != kNoDeadline) {
    tier.by_latest_start.emplace(
        std::make_pair(entry->latest_start, entry->sequence), entry);
  }
  CustomerBacklog& backlog = backlog_by_tier_[request.tier][request.customer];
  backlog.weight = request.customer_weight;
  backlog.queued_work_tokens += entry->predicted_work_tokens;
  backlog.entries.emplace(entry->sequence, entry);
  ++model.queued_count;
  ++queued_count_;
  queued_bytes_ += entry->memory_bytes;
  queued_work_tokens_ += entry->predicted_work_tokens;
  model.service_rate.Update(true, now);
}

/// Removes `entry` from all indexes and sums except its fair queue and the
/// model's order of waiting classes.
void TieredPolicy::RemoveFromIndexes(QueueEntry* entry) {
  const QueuedRequest& request = entry->request;
  entry->model_queue->tiers[request.tier].by_latest_start.erase(
      {entry->latest_start, entry->sequence});
  TierBacklog& tier_backlog = backlog_by_tier_[request.tier];
  CustomerBacklog& backlog = tier_backlog[request.customer];
  backlog.queued_work_tokens -= entry->predicted_work_tokens;
  backlog.entries.erase(entry->sequence);
  if (backlog.entries.empty())
    tier_backlog.erase(request.customer);
  if (tier_backlog.empty())
    backlog_by_tier_.erase(request.tier);
  --entry->model_queue->queued_count;
  --queued_count_;
  queued_bytes_ -= entry->memory_bytes;
  queued_work_tokens_ =
      queued_count_ == 0 ? 0
                         : queued_work_tokens_ - entry->predicted_work_tokens;
}

void TieredPolicy::Dequeue(QueueEntry* entry) {
  RemoveFromIndexes(entry);
  ModelQueue& model = *entry->model_queue;
  FairNode* class_node = ClassNodeOf(*entry);
  model.tiers[entry->request.tier].fair_queue.Erase(entry->team_node, entry);
  if (class_node->queued_count == 0)
    model.classes_by_last_start.erase(
        LastStartKey(*class_node, entry->request.tier));
}

void TieredPolicy::CollectExpired(TimePoint now) {
  for (auto& [name, model] : models_) {
    for (auto& [tier, queue] : model.tiers) {
      auto& by_latest_start = queue.by_latest_start;
      while (!by_latest_start.empty() &&
             by_latest_start.begin()->first.first < now) {
        model.service_rate.Update(true, now);
        unreported_removals_.push_back(RemoveFromQueue(
            by_latest_start.begin()->second, ResultCode::kDeadlineUnreachable,
            DecisionReason::kDeadlinePassing, now));
      }
    }
    model.service_rate.Update(model.queued_count > 0, now);
  }
}

std::vector<RemovedRequest> TieredPolicy::RemoveExpired(TimePoint now) {
  CollectExpired(now);
  RemoveIdleModels(now);
  std::vector<RemovedRequest> expired;
  expired.swap(unreported_removals_);
  return expired;
}

TimePoint TieredPolicy::NextExpiryTime() const {
  TimePoint next = TimePoint::max();
  if (!unreported_removals_.empty())
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

void TieredPolicy::EndRunning(QueueEntry* entry) {
  entry->is_running = false;
  --entry->model_queue->running_count;
  entry->model_queue->tiers[entry->request.tier].fair_queue.FinishEntry(
      entry->team_node);
}

void TieredPolicy::Requeue(RequestId id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_running)
    return;
  QueueEntry& entry = found->second;
  FairQueue::ChargeTokens(entry.team_node, -entry.charged_work_tokens);
  entry.charged_work_tokens = 0;
  entry.produced_tokens = 0;
  EndRunning(&entry);
  Enqueue(&entry, now);
}

void TieredPolicy::RemoveQueued(RequestId id) {
  // A request that an earlier call removed as expired or shed may still be in
  // `unreported_removals_`.
  unreported_removals_.erase(
      std::remove_if(unreported_removals_.begin(), unreported_removals_.end(),
                     [&](const RemovedRequest& removed) {
                       return removed.request.id == id;
                     }),
      unreported_removals_.end());
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.is_running)
    return;
  Dequeue(&found->second);
  entries_.erase(found);
}

void TieredPolicy::OnAttemptSent(RequestId id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.is_running)
    found->second.started_at = now;
}

void TieredPolicy::OnProgress(RequestId id,
                              uint64_t output_tokens,
                              TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_running)
    return;
  QueueEntry& entry = found->second;
  entry.produced_tokens = std::max(entry.produced_tokens, output_tokens);
  const double actual_work =
      static_cast<double>(entry.produced_tokens) + PromptWork(entry.request);
  if (actual_work > entry.charged_work_tokens) {
    FairQueue::ChargeTokens(entry.team_node,
                            actual_work - entry.charged_work_tokens);
    entry.charged_work_tokens = actual_work;
  }
}

void TieredPolicy::OnFinished(RequestId id,
                              uint64_t output_tokens,
                              bool complete,
                              TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_running)
    return;
  QueueEntry& entry = found->second;
  ModelQueue& model = *entry.model_queue;
  const double actual_work =
      static_cast<double>(output_tokens) + PromptWork(entry.request);
  FairQueue::ChargeTokens(entry.team_node,
                          actual_work - entry.charged_work_tokens);
  if (complete && output_tokens > 0) {
    predictor_.Add(entry.request.customer, entry.request.class_name,
                   output_tokens);
    const double seconds_per_token =
        ToSeconds(now - entry.started_at) / actual_work;
    double& smoothed_pace = model.seconds_per_token;
    smoothed_pace = smoothed_pace == 0
                        ? seconds_per_token
                        : smoothed_pace * (1 - kPaceSampleWeight) +
                              seconds_per_token * kPaceSampleWeight;
  }
  EndRunning(&entry);
  FairQueue& fair_queue = model.tiers[entry.request.tier].fair_queue;
  entries_.erase(found);
  const bool idle = fair_queue.root().queued_count == 0 &&
                    fair_queue.root().running_count == 0;
  if (idle || ++finished_count_ % kCleanupIntervalRequests == 0)
    fair_queue.RemoveIdleNodes();
}

uint64_t TieredPolicy::PredictRemainingTokens(RequestId id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_running)
    return 0;
  const QueueEntry& entry = found->second;
  uint64_t total_tokens =
      predictor_.Predict(entry.request.customer, entry.request.class_name,
                         kMedianQuantile, entry.produced_tokens);
  if (entry.request.max_output_tokens > 0)
    total_tokens = std::min(total_tokens, entry.request.max_output_tokens);
  return total_tokens > entry.produced_tokens
             ? total_tokens - entry.produced_tokens
             : 0;
}

QueueStats TieredPolicy::Stats(TimePoint now) const {
  QueueStats stats;
  stats.queued_count = queued_count_;
  stats.running_count = entries_.size() - queued_count_;
  stats.queued_bytes = queued_bytes_;
  stats.queued_work_tokens = queued_work_tokens_;
  for (const auto& [tier, customers] : backlog_by_tier_) {
    TierStats& tier_stats = stats.tiers.emplace_back();
    tier_stats.tier = tier;
    for (const auto& [customer, backlog] : customers) {
      tier_stats.queued_count += backlog.entries.size();
      tier_stats.queued_work_tokens += backlog.queued_work_tokens;
      const QueueEntry& oldest = *backlog.entries.begin()->second;
      tier_stats.oldest_wait =
          std::max(tier_stats.oldest_wait, now - oldest.request.arrival);
    }
  }
  return stats;
}

void TieredPolicy::RemoveIdleModels(TimePoint now) {
  if (models_.size() <= kMaxIdleModels)
    return;
  constexpr Duration kIdleModelLifetime = std::chrono::seconds(60);
  for (auto it = models_.begin(); it != models_.end();) {
    const ModelQueue& model = it->second;
    const bool idle = model.queued_count == 0 && model.running_count == 0;
    it = idle && now - model.last_used_at > kIdleModelLifetime
             ? models_.erase(it)
             : std::next(it);
  }
}

}  // namespace teaselhill::admission
