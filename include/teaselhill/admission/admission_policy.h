/// \file
/// Plug-in interface of admission policies, which bound and order the request
/// queue, and its value types.

#ifndef TEASELHILL_ADMISSION_ADMISSION_POLICY_H_
#define TEASELHILL_ADMISSION_ADMISSION_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/kernel/registry.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::admission {

/// Value of `QueuedRequest::deadline` for a request that has no deadline.
constexpr TimePoint kNoDeadline = TimePoint::max();

/// The properties of a request that an admission policy uses.
struct QueuedRequest {
  RequestId id = 0;
  std::string customer;
  std::string team;
  std::string class_name;
  config::Tier tier = config::kMaxTier;
  double customer_weight = 1;  ///< weight of the customer, from its contract
  double team_weight = 1;      ///< weight of the team within the customer
  /// Model, or the service name of a call to a plain service. A policy may
  /// assume that at any time either all queued requests of a model can be
  /// placed or none of them.
  std::string model;
  uint64_t prompt_tokens = 0;
  /// Upper bound on the output that the caller set; zero means none.
  uint64_t max_output_tokens = 0;
  /// If zero, the policy predicts the value. `Offer` and `PickNext` return the
  /// predicted value.
  uint64_t predicted_output_tokens = 0;
  TimePoint arrival{};
  TimePoint deadline = kNoDeadline;
  bool idempotent = true;
};

/// Reason for an admission decision.
enum class DecisionReason {
  kQueued,               ///< admitted to the queue
  kTierOrder,            ///< picked: fair order within the most urgent tier
  kGuaranteedStart,      ///< picked: no start in its class for too long
  kArrivalOrder,         ///< picked: oldest request (fifo)
  kDeadlineUnreachable,  ///< rejected: not expected to meet its deadline
  kDeadlinePassing,      ///< expired: its latest start time has passed
  kWorkBound,            ///< rejected or shed: too much queued work
  kMemoryBound,          ///< rejected or shed: too many requests or bytes
};

/// Returns the name of the reason in log lines, in snake_case.
std::string_view ReasonName(DecisionReason reason);

/// Values that explain a decision in its log line.
struct DecisionDetails {
  /// Queued work of the same model in the request's tier and in more urgent
  /// tiers, in tokens.
  double work_ahead_tokens = 0;
  /// Measured service rate of the model; zero if unknown.
  double service_tokens_per_second = 0;
  Duration estimated_wait{};
  Duration estimated_service{};
  uint64_t predicted_output_tokens = 0;
  size_t queued_requests = 0;
};

struct Decision {
  DecisionReason reason = DecisionReason::kQueued;
  DecisionDetails details;
};

/// A request that was removed from the queue without being run, because it
/// expired or was shed. The caller gets `error`, which is kDeadlineUnreachable
/// or kQueueFull; both have the outcome not-run.
struct RemovedRequest {
  QueuedRequest request;
  Error error;
  Duration retry_after{};
  Decision decision;
};

/// The offered request was admitted. `shed_requests` were removed to make room
/// for it; none of them belongs to a more urgent tier than the offered request.
struct AdmittedOffer {
  uint64_t predicted_output_tokens = 0;
  Decision decision;
  std::vector<RemovedRequest> shed_requests;
};

/// The offered request was rejected without being run.
struct RejectedOffer {
  Error error;
  Duration retry_after{};
  Decision decision;
};

using OfferResult = std::variant<AdmittedOffer, RejectedOffer>;

/// A request to start now.
struct PickedRequest {
  QueuedRequest request;
  Decision decision;
};

/// Answers whether a request can start now. Implemented by the router.
class PlacementProbe {
 public:
  virtual ~PlacementProbe() = default;
  virtual bool CanPlace(const QueuedRequest& request) const = 0;
};

struct TierStats {
  config::Tier tier = 0;
  size_t queued_count = 0;
  double queued_work_tokens = 0;
  Duration oldest_wait{};
};

struct QueueStats {
  size_t queued_count = 0;
  size_t running_count = 0;
  size_t queued_bytes = 0;  ///< estimate; zero if the policy makes none
  double queued_work_tokens = 0;
  std::vector<TierStats> tiers;
};

/// Bounds and constants of a policy.
struct AdmissionOptions {
  size_t max_queued_requests = 40000;
  size_t max_queued_bytes = 32u << 20;
  /// A request without a deadline is rejected if its estimated wait is longer
  /// than this.
  Duration max_backlog = std::chrono::seconds(120);
  /// Bound on the queued work of all models, which applies to a request of a
  /// model whose service rate is unknown. A request that finds the queue empty
  /// is exempt from this bound.
  double max_unmeasured_work_tokens = 20e6;
  /// A class in which no request was started for this long is served before
  /// more urgent tiers, unless its start would make a request of the most
  /// urgent tier miss its latest start time. A start of this kind is always
  /// followed by a start in tier order of the same model.
  Duration guaranteed_start_after = std::chrono::seconds(4);
  /// A class in which no request was started for this long is served before
  /// more urgent tiers even if a request of the most urgent tier then misses
  /// its latest start time.
  Duration forced_start_after = std::chrono::seconds(6);
  /// Quantile of the output length that is taken as predicted work.
  double predicted_work_quantile = 0.5;
  /// Quantile of the output length for which service time is reserved before a
  /// deadline.
  double reserved_time_quantile = 0.75;
};

/// Decides which requests are queued, in which order they start and which are
/// rejected. A policy is a deterministic state machine: it is called by one
/// thread, with times that never decrease.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// Queues `request` or rejects it. `request.id` must not be queued or
  /// running.
  virtual OfferResult Offer(const QueuedRequest& request, TimePoint now) = 0;

  /// Removes the next request to start from the queue and counts it as running.
  /// Returns nullopt if no queued request can be placed.
  virtual std::optional<PickedRequest> PickNext(const PlacementProbe& probe,
                                                TimePoint now) = 0;

  /// Moves a running request back to the queue because it could not be sent to
  /// an upstream. The request is placed ahead of requests that arrived later.
  /// An id that is not running is ignored.
  virtual void Requeue(RequestId id, TimePoint now) = 0;

  /// Removes and returns the queued requests that can no longer be expected to
  /// meet their deadline. Also returns requests that `Offer` or `PickNext`
  /// removed from the queue but did not return.
  virtual std::vector<RemovedRequest> RemoveExpired(TimePoint now) = 0;

  /// Earliest time at which `RemoveExpired` has something to return, or
  /// `TimePoint::max()` if there is no such time.
  virtual TimePoint NextExpiryTime() const = 0;

  /// Removes a queued request whose caller disconnected. An id that is not
  /// queued is ignored.
  virtual void RemoveQueued(RequestId id) = 0;

  /// Called when an attempt of the running request, other than a hedge, is sent
  /// to an upstream.
  virtual void OnAttemptSent(RequestId id, TimePoint now) = 0;

  /// Called when the running request has produced `output_tokens` in total,
  /// over all attempts.
  virtual void OnProgress(RequestId id,
                          uint64_t output_tokens,
                          TimePoint now) = 0;

  /// Called when the running request ended. If `complete`, a policy that
  /// predicts output lengths adds `output_tokens` to its samples.
  virtual void OnFinished(RequestId id,
                          uint64_t output_tokens,
                          bool complete,
                          TimePoint now) = 0;

  /// Returns the expected number of output tokens that a running request has
  /// yet to produce, or zero if no running request has this id.
  virtual uint64_t PredictRemainingTokens(RequestId id) const = 0;

  virtual QueueStats Stats(TimePoint now) const = 0;
};

/// Registry of the plug-ins: `tiered` and, as a baseline, `fifo`.
using AdmissionRegistry =
    kernel::Registry<AdmissionPolicy, const AdmissionOptions&>;
using AdmissionRegistration =
    kernel::Registration<AdmissionPolicy, const AdmissionOptions&>;

}  // namespace teaselhill::admission

#endif  // TEASELHILL_ADMISSION_ADMISSION_POLICY_H_
