/// \file
/// Admission policy `fifo`, a baseline: one queue in order of arrival, bounded
/// by the number of requests.

#include <algorithm>
#include <map>
#include <unordered_map>

#include "teaselhill/admission/admission_policy.h"

namespace teaselhill::admission {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Starts the oldest request that can be placed, regardless of its tier and
/// customer.
class FifoPolicy : public AdmissionPolicy {
 public:
  explicit FifoPolicy(const AdmissionOptions& options) : options_(options) {}

  OfferResult Offer(const QueuedRequest& request, TimePoint now) override {
    if (request.deadline < now) {
      return RejectedOffer{
          Error{ResultCode::kDeadlineUnreachable,
                "deadline passed before the request was queued"},
          kRetryAfter,
          MakeDecision(DecisionReason::kDeadlineUnreachable, request)};
    }
    if (queued_.size() >= options_.max_queued_requests) {
      return RejectedOffer{Error{ResultCode::kQueueFull, "queue is full"},
                           kRetryAfter,
                           MakeDecision(DecisionReason::kMemoryBound, request)};
    }
    QueuedRequest queued = request;
    if (queued.predicted_output_tokens == 0)
      queued.predicted_output_tokens = kAssumedOutputTokens;
    Enqueue(next_sequence_++, queued);
    return AdmittedOffer{queued.predicted_output_tokens,
                         MakeDecision(DecisionReason::kQueued, queued),
                         {}};
  }

  std::optional<PickedRequest> PickNext(const PlacementProbe& probe,
                                        TimePoint now) override {
    // The oldest request of each model, in order of arrival.
    std::map<uint64_t, const QueuedRequest*> oldest_requests;
    for (const auto& [model, queue] : queue_by_model_)
      oldest_requests.emplace(queue.begin()->first, &queue.begin()->second);
    for (const auto& [sequence, request] : oldest_requests) {
      if (!probe.CanPlace(*request))
        continue;
      PickedRequest picked{
          *request, MakeDecision(DecisionReason::kArrivalOrder, *request)};
      Dequeue(request->id);
      running_.emplace(picked.request.id,
                       RunningRequest{sequence, picked.request});
      return picked;
    }
    return std::nullopt;
  }

  void Requeue(RequestId id, TimePoint now) override {
    const auto found = running_.find(id);
    if (found == running_.end())
      return;
    Enqueue(found->second.sequence, found->second.request);
    running_.erase(found);
  }

  std::vector<RemovedRequest> RemoveExpired(TimePoint now) override {
    std::vector<RemovedRequest> expired;
    while (!ids_by_deadline_.empty() &&
           ids_by_deadline_.begin()->first.first < now) {
      const RequestId id = ids_by_deadline_.begin()->second;
      const QueuePosition& position = queued_.at(id);
      RemovedRequest& removed = expired.emplace_back();
      removed.request = queue_by_model_[position.model].at(position.sequence);
      removed.error = {ResultCode::kDeadlineUnreachable,
                       "deadline passed while the request was queued"};
      removed.retry_after = kRetryAfter;
      removed.decision =
          MakeDecision(DecisionReason::kDeadlinePassing, removed.request);
      Dequeue(id);
    }
    return expired;
  }

  TimePoint NextExpiryTime() const override {
    return ids_by_deadline_.empty()
               ? TimePoint::max()
               : ids_by_deadline_.begin()->first.first + Duration(1);
  }

  void RemoveQueued(RequestId id) override {
    if (queued_.count(id) > 0)
      Dequeue(id);
  }

  void OnAttemptSent(RequestId id, TimePoint now) override {}
  void OnProgress(RequestId id,
                  uint64_t output_tokens,
                  TimePoint now) override {}
  void OnFinished(RequestId id,
                  uint64_t output_tokens,
                  bool complete,
                  TimePoint now) override {
    running_.erase(id);
  }
  uint64_t PredictRemainingTokens(RequestId id) const override {
    const auto found = running_.find(id);
    return found == running_.end()
               ? 0
               : found->second.request.predicted_output_tokens;
  }

  QueueStats Stats(TimePoint now) const override {
    QueueStats stats;
    stats.queued_count = queued_.size();
    stats.running_count = running_.size();
    std::map<config::Tier, TierStats> tiers;
    for (const auto& [model, queue] : queue_by_model_) {
      for (const auto& [sequence, request] : queue) {
        TierStats& tier_stats = tiers[request.tier];
        tier_stats.tier = request.tier;
        ++tier_stats.queued_count;
        tier_stats.queued_work_tokens +=
            static_cast<double>(request.predicted_output_tokens);
        tier_stats.oldest_wait =
            std::max(tier_stats.oldest_wait, now - request.arrival);
      }
    }
    for (const auto& [tier, tier_stats] : tiers) {
      stats.queued_work_tokens += tier_stats.queued_work_tokens;
      stats.tiers.push_back(tier_stats);
    }
    return stats;
  }

 private:
  static constexpr uint64_t kAssumedOutputTokens = 256;

  struct QueuePosition {
    std::string model;
    uint64_t sequence;
  };
  struct RunningRequest {
    uint64_t sequence;
    QueuedRequest request;
  };

  Decision MakeDecision(DecisionReason reason,
                        const QueuedRequest& request) const {
    Decision decision;
    decision.reason = reason;
    decision.details.predicted_output_tokens = request.predicted_output_tokens;
    decision.details.queued_requests = queued_.size();
    return decision;
  }

  void Enqueue(uint64_t sequence, const QueuedRequest& request) {
    queue_by_model_[request.model].emplace(sequence, request);
    queued_.emplace(request.id, QueuePosition{request.model, sequence});
    if (request.deadline != kNoDeadline)
      ids_by_deadline_.emplace(std::make_pair(request.deadline, sequence),
                               request.id);
  }

  void Dequeue(RequestId id) {
    const auto found = queued_.find(id);
    const auto queue = queue_by_model_.find(found->second.model);
    const uint64_t sequence = found->second.sequence;
    ids_by_deadline_.erase({queue->second.at(sequence).deadline, sequence});
    queue->second.erase(sequence);
    if (queue->second.empty())
      queue_by_model_.erase(queue);
    queued_.erase(found);
  }

  AdmissionOptions options_;
  std::map<std::string, std::map<uint64_t, QueuedRequest>> queue_by_model_;
  std::unordered_map<RequestId, QueuePosition> queued_;
  std::unordered_map<RequestId, RunningRequest> running_;
  std::map<std::pair<TimePoint, uint64_t>, RequestId> ids_by_deadline_;
  uint64_t next_sequence_ = 0;
};

const AdmissionRegistration kRegistration("fifo",
                                          [](const AdmissionOptions& options) {
                                            return std::make_unique<FifoPolicy>(
                                                options);
                                          });

}  // namespace
}  // namespace teaselhill::admission
