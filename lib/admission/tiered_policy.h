/// \file
/// Admission policy `tiered`: tiers in order of urgency, weighted fair queueing
/// inside a tier, and guaranteed starts for classes that waited too long.

#ifndef TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_
#define TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "fair_queue.h"
#include "queue_entry.h"
#include "service_rate.h"
#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/admission/length_predictor.h"

namespace teaselhill::admission {

/// Queued requests of one model and tier.
struct TierQueue {
  FairQueue fair_queue;
  std::map<std::pair<TimePoint, uint64_t>, QueueEntry*> by_latest_start;
};

/// Classes of one model that have queued requests, in order of their last
/// start: the class that has gone longest without a start is first.
using ClassesByLastStart =
    std::map<std::tuple<TimePoint, config::Tier, uint64_t>, FairNode*>;

/// Requests of one model, with its measured rates.
struct ModelQueue {
  std::map<config::Tier, TierQueue> tiers;
  ClassesByLastStart classes_by_last_start;
  ServiceRate service_rate;
  /// Service time per token of work, smoothed over finished requests; zero
  /// while unknown.
  double seconds_per_token = 0;
  size_t queued_count = 0;
  size_t running_count = 0;
  uint64_t last_pick_number = 0;  ///< sequence number of the model's last pick
  /// Whether the model's last pick was a guaranteed start.
  bool last_pick_guaranteed = false;
  TimePoint last_used_at{};
};

/// Returns the time to serve `work_tokens` at `tokens_per_second`, or zero
/// while the rate is unknown. The time is limited to one day, so that sums of
/// times cannot overflow.
Duration ServiceTime(double work_tokens, double tokens_per_second);

/// Returns the node of the entry's class in its fair queue.
FairNode* ClassNodeOf(const QueueEntry& entry);

/// Returns the key of a class of `tier` in ClassesByLastStart.
ClassesByLastStart::key_type LastStartKey(const FairNode& class_node,
                                          config::Tier tier);

/// The plug-in `tiered`. Each model has its own queues. To decide which
/// requests to shed, the queued work of each customer is also summed over all
/// models.
class TieredPolicy : public AdmissionPolicy {
 public:
  explicit TieredPolicy(const AdmissionOptions& options);

  OfferResult Offer(const QueuedRequest& request, TimePoint now) override;
  std::optional<PickedRequest> PickNext(const PlacementProbe& probe,
                                        TimePoint now) override;
  void Requeue(RequestId id, TimePoint now) override;
  std::vector<RemovedRequest> RemoveExpired(TimePoint now) override;
  TimePoint NextExpiryTime() const override;
  void RemoveQueued(RequestId id) override;
  void OnAttemptSent(RequestId id, TimePoint now) override;
  void OnProgress(RequestId id, uint64_t output_tokens, TimePoint now) override;
  void OnFinished(RequestId id,
                  uint64_t output_tokens,
                  bool complete,
                  TimePoint now) override;
  uint64_t PredictRemainingTokens(RequestId id) const override;
  QueueStats Stats(TimePoint now) const override;

 private:
  /// Queued requests of one customer in one tier, over all models.
  struct CustomerBacklog {
    double weight = 1;
    double queued_work_tokens = 0;
    std::map<uint64_t, QueueEntry*> entries;  // by sequence number
  };
  using TierBacklog = std::map<std::string, CustomerBacklog>;

  /// The next request of a model and the reason for its choice. `entry` is null
  /// if there is no such request.
  struct Candidate {
    QueueEntry* entry = nullptr;
    DecisionReason reason = DecisionReason::kTierOrder;
  };

  ModelQueue& GetOrCreateModel(const std::string& name, TimePoint now);
  uint64_t PredictOutputTokens(const QueuedRequest& request,
                               double quantile) const;
  Duration EstimateWait(const ModelQueue& model,
                        const QueuedRequest& request,
                        TimePoint now) const;
  DecisionDetails MakeDecisionDetails(const ModelQueue& model,
                                      const QueueEntry& entry,
                                      TimePoint now) const;
  static double QueuedWorkUpToTier(const ModelQueue& model, config::Tier tier);

  /// Returns the latest time at which `request` can start and still be expected
  /// to meet its deadline.
  TimePoint LatestStart(const QueuedRequest& request,
                        const ModelQueue& model) const;

  RejectedOffer MakeRejection(const QueueEntry& entry,
                              ResultCode code,
                              DecisionReason reason,
                              Duration retry_after,
                              TimePoint now) const;
  RemovedRequest RemoveFromQueue(QueueEntry* entry,
                                 ResultCode code,
                                 DecisionReason reason,
                                 TimePoint now);

  /// Sheds less urgent requests, and requests of the same tier from customers
  /// with more queued work per weight, until `entry` fits within the bounds.
  /// Returns false if `entry` does not fit and there are no more requests to
  /// shed.
  bool MakeRoom(const QueueEntry& entry,
                DecisionReason reason,
                TimePoint now,
                std::vector<RemovedRequest>* shed);
  bool ExceedsMemoryBound(size_t added_bytes) const;
  bool ExceedsUnmeasuredWorkBound(const QueueEntry& entry, TimePoint now) const;
  QueueEntry* FindRequestToShed(const QueueEntry& entry);

  /// Moves requests whose latest start time has passed to
  /// `unreported_removals_`.
  void CollectExpired(TimePoint now);
  Candidate FindGuaranteedStart(const ModelQueue& model, TimePoint now) const;
  static Candidate FindStartInTierOrder(const ModelQueue& model);
  bool UrgentTierHasSlack(const ModelQueue& model, TimePoint now) const;
  PickedRequest StartRequest(const Candidate& candidate, TimePoint now);

  void Enqueue(QueueEntry* entry, TimePoint now);
  void Dequeue(QueueEntry* entry);
  void EndRunning(QueueEntry* entry);
  void RemoveFromIndexes(QueueEntry* entry);
  void RemoveIdleModels(TimePoint now);

  AdmissionOptions options_;
  LengthPredictor predictor_;
  std::unordered_map<RequestId, QueueEntry> entries_;
  std::map<std::string, ModelQueue> models_;
  std::map<config::Tier, TierBacklog> backlog_by_tier_;
  std::vector<RemovedRequest> unreported_removals_;
  std::vector<ModelQueue*> pick_order_;  // scratch space of PickNext
  uint64_t next_sequence_ = 0;
  uint64_t next_pick_number_ = 1;
  uint64_t finished_count_ = 0;
  size_t queued_count_ = 0;
  size_t queued_bytes_ = 0;
  double queued_work_tokens_ = 0;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_
