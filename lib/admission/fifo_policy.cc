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
      return Refused{Error{ResultCode::kDeadlineUnreachable,
                           "deadline passed before the request was queued"},
                     kRetryAfter,
                     Describe(DecisionReason::kDeadlineUnreachable, request)};
    }
    if (waiting_.size() >= options_.max_queued_requests) {
      return Refused{Error{ResultCode::kQueueFull, "queue is full"},
                     kRetryAfter,
                     Describe(DecisionReason::kMemoryBound, request)};
    }
    QueuedRequest queued = request;
    if (queued.predicted_output_tokens == 0)
      queued.predicted_output_tokens = kAssumedOutputTokens;
    Insert(next_sequence_++, queued);
    return Admitted{queued.predicted_output_tokens,
                    Describe(DecisionReason::kQueued, queued),
                    {}};
  }

  std::optional<Picked> PickNext(const PlacementProbe& probe,
                                 TimePoint now) override {
    // The oldest request of each model, in order of arrival.
    std::map<uint64_t, const QueuedRequest*> heads;
    for (const auto& [model, queue] : by_model_)
      heads.emplace(queue.begin()->first, &queue.begin()->second);
    for (const auto& [sequence, request] : heads) {
      if (!probe.CanPlace(*request))
        continue;
      Picked picked{*request,
                    Describe(DecisionReason::kArrivalOrder, *request)};
      Erase(request->id);
      running_.emplace(picked.request.id, Running{sequence, picked.request});
      return picked;
    }
    return std::nullopt;
  }

  void Requeue(RequestId id, TimePoint now) override {
    const auto found = running_.find(id);
    if (found == running_.end())
      return;
    Insert(found->second.sequence, found->second.request);
    running_.erase(found);
  }

  std::vector<Expiry> Expire(TimePoint now) override {
    std::vector<Expiry> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first.first < now) {
      const RequestId id = deadlines_.begin()->second;
      const Position& position = waiting_.at(id);
      Expiry& expiry = expired.emplace_back();
      expiry.request = by_model_[position.model].at(position.sequence);
      expiry.error = {ResultCode::kDeadlineUnreachable,
                      "deadline passed while the request was queued"};
      expiry.retry_after = kRetryAfter;
      expiry.decision =
          Describe(DecisionReason::kDeadlinePassing, expiry.request);
      Erase(id);
    }
    return expired;
  }

  TimePoint NextExpiry() const override {
    return deadlines_.empty() ? TimePoint::max()
                              : deadlines_.begin()->first.first + Duration(1);
  }

  void Remove(RequestId id) override {
    if (waiting_.count(id) > 0)
      Erase(id);
  }

  void OnStarted(RequestId id, TimePoint now) override {}
  void OnProgress(RequestId id,
                  uint64_t output_tokens,
                  TimePoint now) override {}
  void OnFinished(RequestId id,
                  uint64_t output_tokens,
                  bool complete,
                  TimePoint now) override {
    running_.erase(id);
  }
  uint64_t PredictRemaining(RequestId id) const override {
    const auto found = running_.find(id);
    return found == running_.end()
               ? 0
               : found->second.request.predicted_output_tokens;
  }

  QueueStats Stats(TimePoint now) const override {
    QueueStats stats;
    stats.queued = waiting_.size();
    stats.running = running_.size();
    std::map<config::Tier, TierStats> tiers;
    for (const auto& [model, queue] : by_model_) {
      for (const auto& [sequence, request] : queue) {
        TierStats& row = tiers[request.tier];
        row.tier = request.tier;
        ++row.queued;
        row.queued_work += static_cast<double>(request.predicted_output_tokens);
        row.oldest_wait = std::max(row.oldest_wait, now - request.arrival);
      }
    }
    for (const auto& [tier, row] : tiers) {
      stats.queued_work += row.queued_work;
      stats.tiers.push_back(row);
    }
    return stats;
  }

 private:
  static constexpr uint64_t kAssumedOutputTokens = 256;

  struct Position {
    std::string model;
    uint64_t sequence;
  };
  struct Running {
    uint64_t sequence;
    QueuedRequest request;
  };

  Decision Describe(DecisionReason reason, const QueuedRequest& request) const {
    Decision decision;
    decision.reason = reason;
    decision.figures.predicted_output_tokens = request.predicted_output_tokens;
    decision.figures.queued_requests = waiting_.size();
    return decision;
  }

  void Insert(uint64_t sequence, const QueuedRequest& request) {
    by_model_[request.model].emplace(sequence, request);
    waiting_.emplace(request.id, Position{request.model, sequence});
    if (request.deadline != kNoDeadline)
      deadlines_.emplace(std::make_pair(request.deadline, sequence),
                         request.id);
  }

  void Erase(RequestId id) {
    const auto found = waiting_.find(id);
    const auto queue = by_model_.find(found->second.model);
    const uint64_t sequence = found->second.sequence;
    deadlines_.erase({queue->second.at(sequence).deadline, sequence});
    queue->second.erase(sequence);
    if (queue->second.empty())
      by_model_.erase(queue);
    waiting_.erase(found);
  }

  AdmissionOptions options_;
  std::map<std::string, std::map<uint64_t, QueuedRequest>> by_model_;
  std::unordered_map<RequestId, Position> waiting_;
  std::unordered_map<RequestId, Running> running_;
  std::map<std::pair<TimePoint, uint64_t>, RequestId> deadlines_;
  uint64_t next_sequence_ = 0;
};

const AdmissionRegistration kRegistration("fifo",
                                          [](const AdmissionOptions& options) {
                                            return std::make_unique<FifoPolicy>(
                                                options);
                                          });

}  // namespace
}  // namespace teaselhill::admission
