/// \file
/// Decides what follows when an attempt of a request has ended without a
/// complete answer.

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
  kStreamBroken,  ///< after `tokens_received`
  kTimeout,
  kUpstreamLeaving,  ///< taken back from an upstream that leaves
};

struct AttemptEnd {
  AttemptEndKind kind = AttemptEndKind::kConnectFailed;
  std::string upstream;
  /// Whether any byte of the request may have reached the upstream. Ignored
  /// for kRefused, by which the upstream says that it has not run it.
  bool bytes_may_have_reached = false;
  std::optional<Duration> retry_after;  ///< from a refusal
};

/// State of one request over all its attempts; kept by the router.
struct RequestAttempts {
  std::string customer;
  bool idempotent = false;
  bool streamable = true;  ///< an engine request that can be resumed
  std::optional<TimePoint> deadline;
  int attempts = 0;  ///< ended so far; kept by the planner
  /// Whether any attempt may have been run; kept by the planner.
  bool may_have_run = false;
  /// Whole tokens that were passed to the caller or are kept for it. The relay
  /// passes on whole events only, so this is the offset to resume from.
  uint32_t tokens_kept = 0;
  /// Least time that the rest of the answer is expected to take.
  Duration least_remaining{};
  bool quarantined = false;  ///< by the crash tracker
};

struct RetryElsewhere {};

/// Send again with `X-Resume-Offset: offset`.
struct ResumeAt {
  uint32_t offset = 0;
};

/// No upstream can have run the request.
struct GiveUpNotRun {
  ResultCode code = ResultCode::kNoUpstream;
  Duration retry_after{};
};

/// It may have run and will not be sent again.
struct GiveUpUnknown {
  ResultCode code = ResultCode::kUpstreamLost;
};

using AttemptPlan =
    std::variant<RetryElsewhere, ResumeAt, GiveUpNotRun, GiveUpUnknown>;

struct AttemptPlannerOptions {
  int max_attempts = 4;
  Duration default_retry_after = std::chrono::seconds(1);
  /// A quarantined fingerprint is not worth sending again before this.
  Duration quarantine_retry_after = std::chrono::minutes(10);
};

class AttemptPlanner {
 public:
  AttemptPlanner(RetryBudget& budget, AttemptPlannerOptions options = {})
      : budget_(budget), options_(options) {}

  /// `end` is the end of an attempt of `request` that delivered no complete
  /// answer; updates `request`.
  AttemptPlan OnAttemptEnded(RequestAttempts& request,
                             const AttemptEnd& end,
                             TimePoint now);

  /// The answer for a request that is given up between attempts, for example
  /// because its deadline passed while it waited for an upstream.
  AttemptPlan GiveUp(const RequestAttempts& request,
                     ResultCode not_run_code,
                     std::optional<Duration> retry_after = {}) const;

 private:
  RetryBudget& budget_;
  AttemptPlannerOptions options_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_ATTEMPT_PLANNER_H_
