/// \file
/// Decides whether a request is retried, resumed or abandoned after an attempt
/// that ended without a complete answer.

#ifndef TEASELHILL_RETRY_ATTEMPT_PLANNER_H_
#define TEASELHILL_RETRY_ATTEMPT_PLANNER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "teaselhill/retry/retry_budget.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::retry {

/// How an attempt ended.
enum class AttemptEndKind {
  kConnectFailed,
  kRefused,       ///< 503 before running
  kStreamBroken,  ///< connection lost before the answer was complete
  kTimeout,
  kUpstreamLeaving,  ///< cancelled because the upstream is leaving
};

struct AttemptEnd {
  AttemptEndKind kind = AttemptEndKind::kConnectFailed;
  std::string upstream;
  /// Whether any byte of the request may have reached the upstream. Ignored
  /// for kRefused, because an upstream that refuses a request has not run it.
  bool bytes_may_have_reached = false;
  std::optional<Duration> retry_after;  ///< from the upstream's refusal
};

/// State of one request over all its attempts; owned by the router.
struct RequestAttempts {
  std::string customer;
  bool idempotent = false;
  bool resumable = true;  ///< an engine request that can be resumed
  std::optional<TimePoint> deadline;
  int attempts = 0;  ///< attempts that ended; updated by the planner
  /// Whether any attempt may have run; updated by the planner.
  bool may_have_run = false;
  /// Number of tokens that were sent to the caller or are stored for the
  /// caller. The relay forwards whole events only, so a resumed attempt starts
  /// at this offset.
  uint32_t delivered_tokens = 0;
  /// Minimum expected time for the rest of the answer.
  Duration min_remaining_time{};
  bool quarantined = false;  ///< the crash tracker refuses the request
};

/// Retry from the first token.
struct RetryFromStart {};

/// Retry with `X-Resume-Offset: offset`.
struct ResumeAt {
  uint32_t offset = 0;
};

/// Abandon the request; no upstream can have run it.
struct AbandonNotRun {
  ResultCode code = ResultCode::kNoUpstream;
  Duration retry_after{};
};

/// Abandon the request, which may have run.
struct AbandonMayHaveRun {
  ResultCode code = ResultCode::kUpstreamLost;
};

using AttemptPlan =
    std::variant<RetryFromStart, ResumeAt, AbandonNotRun, AbandonMayHaveRun>;

struct AttemptPlannerOptions {
  int max_attempts = 4;
  Duration default_retry_after = std::chrono::seconds(1);
  /// Retry-After delay for a quarantined fingerprint.
  Duration quarantine_retry_after = std::chrono::minutes(10);
};

class AttemptPlanner {
 public:
  AttemptPlanner(RetryBudget& budget, AttemptPlannerOptions options = {})
      : budget_(budget), options_(options) {}

  /// Decides what follows `end`, the end of an attempt of `request` that
  /// delivered no complete answer. Updates `request`.
  AttemptPlan OnAttemptEnded(RequestAttempts& request,
                             const AttemptEnd& end,
                             TimePoint now);

  /// Returns the failure of a request that is abandoned between attempts, for
  /// example because its deadline passed while it waited for an upstream.
  AttemptPlan Abandon(const RequestAttempts& request,
                      ResultCode not_run_code,
                      std::optional<Duration> retry_after = {}) const;

 private:
  RetryBudget& budget_;
  AttemptPlannerOptions options_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_ATTEMPT_PLANNER_H_
