/// \file
/// Admission and queueing order of requests: the plug-in interface and its
/// value types.

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

/// Deadline of a request that has none.
constexpr TimePoint kNoDeadline = TimePoint::max();

/// A request as the queue sees it.
struct QueuedRequest {
  RequestId id = 0;
  std::string customer;
  std::string team;
  std::string class_name;
  config::Tier tier = config::kMaxTier;
  double weight = 1;       ///< contract weight of the customer
  double team_weight = 1;  ///< weight of the team inside the customer
  /// Model, or the service name of a call to a plain service. Requests of one
  /// model are taken to be placeable together or not at all.
  std::string model;
  uint64_t prompt_tokens = 0;
  /// Upper bound the caller set on the output; zero means none.
  uint64_t max_output_tokens = 0;
  /// Zero lets the policy predict it; `Offer` and `PickNext` return the value.
  uint64_t predicted_output_tokens = 0;
  TimePoint arrival{};
  TimePoint deadline = kNoDeadline;
  bool idempotent = true;
};

/// Why a decision was taken.
enum class DecisionReason {
  kQueued,               ///< admitted to the queue
  kTierOrder,            ///< picked: most urgent tier, fair order inside it
  kGuaranteedStart,      ///< picked: its class had no start for too long
  kArrivalOrder,         ///< picked: oldest request (fifo)
  kDeadlineUnreachable,  ///< refused: backlog ahead exceeds the deadline
  kDeadlinePassing,      ///< expired: a start now would end too late
  kWorkBound,            ///< refused or shed: queued work exceeds its bound
  kMemoryBound,          ///< refused or shed: queue memory is used up
};

/// Returns the reason in snake_case for a log line.
std::string_view ReasonName(DecisionReason reason);

/// Figures behind a decision, for the decision log line.
struct DecisionFigures {
  /// Queued work of the same model in tiers at least as urgent, in tokens.
  double work_ahead = 0;
  /// Measured service rate of the model in tokens/s; zero while unknown.
  double service_rate = 0;
  Duration estimated_wait{};
  Duration estimated_service{};
  uint64_t predicted_output_tokens = 0;
  size_t queued_requests = 0;
};

struct Decision {
  DecisionReason reason = DecisionReason::kQueued;
  DecisionFigures figures;
};

/// A request that left the queue without being run. The caller gets `error`
/// (kDeadlineUnreachable or kQueueFull, both of outcome not-run).
struct Expiry {
  QueuedRequest request;
  Error error;
  Duration retry_after{};
  Decision decision;
};

/// A request that was accepted, with those shed to make room for it. Shed
/// requests are never of a more urgent tier than the one admitted.
struct Admitted {
  uint64_t predicted_output_tokens = 0;
  Decision decision;
  std::vector<Expiry> shed;
};

/// The new request was refused and not run.
struct Refused {
  Error error;
  Duration retry_after{};
  Decision decision;
};

using OfferResult = std::variant<Admitted, Refused>;

/// A request to start now.
struct Picked {
  QueuedRequest request;
  Decision decision;
};

/// Tells whether a request could start now. Implemented by the router.
class PlacementProbe {
 public:
  virtual ~PlacementProbe() = default;
  virtual bool CanPlace(const QueuedRequest& request) const = 0;
};

struct TierStats {
  config::Tier tier = 0;
  size_t queued = 0;
  double queued_work = 0;  ///< tokens
  Duration oldest_wait{};
};

struct QueueStats {
  size_t queued = 0;
  size_t running = 0;
  size_t queued_bytes = 0;  ///< memory bound accounting
  double queued_work = 0;   ///< tokens
  std::vector<TierStats> tiers;
};

/// Bounds and constants of a policy.
struct AdmissionOptions {
  size_t max_queued_requests = 40000;
  size_t max_queued_bytes = 32u << 20;
  /// Bound on queued work of requests without a deadline, as time to serve it.
  Duration max_backlog = std::chrono::seconds(120);
  /// Bound on queued work while no service rate is known, in tokens.
  double max_unmeasured_work = 20e6;
  /// A waiting class without a start for this long may go before others.
  Duration guarantee_after = std::chrono::seconds(4);
  /// The same, even when an urgent request has no slack left.
  Duration guarantee_latest = std::chrono::seconds(6);
  /// Quantile of the output length that is charged as predicted work.
  double predicted_quantile = 0.5;
  /// Quantile of the output length for which time is kept before a deadline.
  double service_quantile = 0.75;
};

/// Decides which requests wait, in which order they start and which are
/// refused. A deterministic state machine: calls come from one thread with
/// times that never decrease.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// Queues `request` or refuses it. `request.id` must not be queued or
  /// running.
  virtual OfferResult Offer(const QueuedRequest& request, TimePoint now) = 0;

  /// Takes the next request to start off the queue and counts it as running.
  /// Returns nothing when no waiting request can be placed.
  virtual std::optional<Picked> PickNext(const PlacementProbe& probe,
                                         TimePoint now) = 0;

  /// Puts a running request that could not be sent back in front of its queue
  /// under its first arrival time; a request already given up is ignored.
  virtual void Requeue(RequestId id, TimePoint now) = 0;

  /// Removes and returns all waiting requests that cannot meet their deadline
  /// any more.
  virtual std::vector<Expiry> Expire(TimePoint now) = 0;

  /// Earliest time at which `Expire` has something to return, or
  /// `TimePoint::max()`.
  virtual TimePoint NextExpiry() const = 0;

  /// Removes a waiting request whose caller is gone; unknown ids are ignored.
  virtual void Remove(RequestId id) = 0;

  /// The running request's first byte was sent to an upstream.
  virtual void OnStarted(RequestId id, TimePoint now) = 0;

  /// `output_tokens` were produced so far, over all attempts.
  virtual void OnProgress(RequestId id,
                          uint64_t output_tokens,
                          TimePoint now) = 0;

  /// The running request ended. Its length trains the predictor when
  /// `complete` is true.
  virtual void OnFinished(RequestId id,
                          uint64_t output_tokens,
                          bool complete,
                          TimePoint now) = 0;

  /// Expected output tokens still to come of a running request, given those
  /// produced; zero for an unknown id.
  virtual uint64_t PredictRemaining(RequestId id) const = 0;

  virtual QueueStats Stats(TimePoint now) const = 0;
};

/// Plug-ins: `tiered` and the baseline `fifo`.
using AdmissionRegistry =
    kernel::Registry<AdmissionPolicy, const AdmissionOptions&>;
using AdmissionRegistration =
    kernel::Registration<AdmissionPolicy, const AdmissionOptions&>;

}  // namespace teaselhill::admission

#endif  // TEASELHILL_ADMISSION_ADMISSION_POLICY_H_
