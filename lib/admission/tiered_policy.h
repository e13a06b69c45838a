/// \file
/// Admission by tier with guaranteed progress and weighted fair shares.

#ifndef TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_
#define TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "entry.h"
#include "fair_queue.h"
#include "service_rate.h"
#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/admission/length_predictor.h"

namespace teaselhill::admission {

/// Requests of one model and tier.
struct TierQueue {
  FairQueue fair;
  std::map<std::pair<TimePoint, uint64_t>, Entry*> by_latest_start;
};

/// Waiting classes of one model, longest without a start first.
using StarvedOrder =
    std::map<std::tuple<TimePoint, config::Tier, uint64_t>, FairNode*>;

struct ModelQueue {
  std::map<config::Tier, TierQueue> tiers;
  StarvedOrder starved;
  ServiceRate rate;
  double seconds_per_token = 0;  ///< of finished requests; zero while unknown
  size_t queued = 0;
  size_t running = 0;
  uint64_t last_pick = 0;        ///< number of the last pick from this model
  bool last_guaranteed = false;  ///< whether that pick was a guaranteed start
  TimePoint last_used{};
};

class TieredPolicy : public AdmissionPolicy {
 public:
  explicit TieredPolicy(const AdmissionOptions& options);

  OfferResult Offer(const QueuedRequest& request, TimePoint now) override;
  std::optional<Picked> PickNext(const PlacementProbe& probe,
                                 TimePoint now) override;
  void Requeue(RequestId id, TimePoint now) override;
  std::vector<Expiry> Expire(TimePoint now) override;
  TimePoint NextExpiry() const override;
  void Remove(RequestId id) override;
  void OnStarted(RequestId id, TimePoint now) override;
  void OnProgress(RequestId id, uint64_t output_tokens, TimePoint now) override;
  void OnFinished(RequestId id,
                  uint64_t output_tokens,
                  bool complete,
                  TimePoint now) override;
  uint64_t PredictRemaining(RequestId id) const override;
  QueueStats Stats(TimePoint now) const override;

 private:
  /// Queued requests of one customer in one tier, over all models.
  struct CustomerBacklog {
    double weight = 1;
    double work = 0;
    std::map<uint64_t, Entry*> entries;  // by sequence number
  };
  using TierBacklog = std::map<std::string, CustomerBacklog>;

  /// A model's next request and how it was found.
  struct Candidate {
    Entry* entry = nullptr;
    DecisionReason reason = DecisionReason::kTierOrder;
  };

  ModelQueue& Model(const std::string& name, TimePoint now);
  uint64_t PredictOutput(const QueuedRequest& request, double quantile) const;
  Duration EstimateWait(const ModelQueue& model,
                        const QueuedRequest& request,
                        TimePoint now) const;
  DecisionFigures Figures(const ModelQueue& model,
                          const Entry& entry,
                          TimePoint now) const;
  static double WorkUpTo(const ModelQueue& model, config::Tier tier);

  /// A later start is likely to miss the deadline.
  TimePoint LatestStart(const QueuedRequest& request,
                        const ModelQueue& model) const;

  Refused Refuse(const Entry& entry,
                 ResultCode code,
                 DecisionReason reason,
                 Duration retry_after,
                 TimePoint now) const;
  Expiry Shed(Entry* entry,
              ResultCode code,
              DecisionReason reason,
              TimePoint now);

  /// Sheds requests that give way to `entry` until the bounds hold. Returns
  /// false when `entry` itself has to give way.
  bool MakeRoom(const Entry& entry,
                DecisionReason reason,
                TimePoint now,
                std::vector<Expiry>* shed);
  bool OverMemory(size_t bytes) const;
  bool OverUnmeasuredWork(const Entry& entry, TimePoint now) const;
  Entry* Victim(const Entry& entry);

  /// Moves requests whose latest start has passed to `expired_`.
  void CollectExpired(TimePoint now);
  Candidate Guaranteed(const ModelQueue& model, TimePoint now) const;
  static Candidate InTierOrder(const ModelQueue& model);
  bool UrgentHasSlack(const ModelQueue& model, TimePoint now) const;
  Picked Start(const Candidate& candidate, TimePoint now);

  void Enqueue(Entry* entry, TimePoint now);
  void Dequeue(Entry* entry);
  void EndRunning(Entry* entry);
  void LeaveIndexes(Entry* entry);
  void DropIdleModels(TimePoint now);

  AdmissionOptions options_;
  LengthPredictor predictor_;
  std::unordered_map<RequestId, Entry> entries_;
  std::map<std::string, ModelQueue> models_;
  std::map<config::Tier, TierBacklog> backlog_;
  std::vector<Expiry> expired_;
  std::vector<ModelQueue*> pick_order_;  // reused by PickNext
  uint64_t next_sequence_ = 0;
  uint64_t next_pick_ = 1;
  uint64_t finished_ = 0;
  size_t queued_ = 0;
  size_t queued_bytes_ = 0;
  double queued_work_ = 0;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_TIERED_POLICY_H_
