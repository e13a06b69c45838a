/// \file
/// Decides whether a request is retried after an attempt, and how the request
/// ends if it is not retried.

#ifndef TEASELHILL_GATEWAY_EXCHANGE_POLICY_H_
#define TEASELHILL_GATEWAY_EXCHANGE_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teaselhill/gateway/route_table.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// How an attempt ended.
enum class AttemptOutcome {
  kComplete,       ///< a complete, successful answer
  kErrorResponse,  ///< a complete answer with a failure status
  kNotRun,         ///< the upstream states that it did not run the request
  kNotSent,        ///< no byte of the request can have been received
  /// The answer was lost, corrupted or incomplete; the request may have run.
  kBroken,
  kTimedOut,  ///< cancelled because no data arrived in time
};
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

/// Whether no upstream has worked on the request in the attempt.
bool CannotHaveRun(AttemptOutcome outcome);

/// End of the transfer of an answer whose head has arrived.
struct EndedTransfer {
  ResultCode code = ResultCode::kOk;  ///< net::TransferEnd::code
  /// The answer has a length or comes in chunks. Otherwise its end is that of
  /// the connection.
  bool is_framed = true;
  bool is_event_stream = false;
  bool inside_event = false;
  bool has_events = false;  ///< of the caller's answer, in any attempt
};

enum class TransferVerdict {
  kComplete,
  kBrokenOff,   ///< the upstream may have crashed
  kUnreadable,  ///< bytes that are no answer, from an upstream that lives
};

/// Whether an answer is whole. A stream that ends inside an event, or that has
/// neither a frame nor an event, was broken off, however its connection ended.
TransferVerdict JudgeTransfer(const EndedTransfer& transfer);

/// State of a request across its attempts.
struct ExchangeState {
  bool retryable = false;
  bool resumable = false;
  int max_attempts = 1;
  int sends = 0;           ///< attempts started
  int possible_runs = 0;   ///< attempts that the upstream may have run
  bool head_sent = false;  ///< the response head was sent to the caller
  /// End of the caller's deadline or the route's timeout, whichever is earlier.
  TimePoint deadline{};
};

/// Forwards the upstream's failure response to the caller.
struct ForwardFailureStep {};
/// Rejects the request; no upstream has run it or will run it.
struct RejectStep {
  ResultCode code = ResultCode::kNoUpstream;
};
/// Fails the request with an unknown outcome: an upstream may have run it.
struct FailUnknownStep {
  ResultCode code = ResultCode::kUpstreamLost;
};
/// Closes the connection to the caller in the middle of the answer.
struct AbortAnswerStep {
  ResultCode code = ResultCode::kAnswerCutShort;
};

/// Final step of a request that is not retried.
using FinalStep = std::
    variant<ForwardFailureStep, RejectStep, FailUnknownStep, AbortAnswerStep>;

struct ExchangeLimits {
  /// Maximum number of sends of one request, including sends that an upstream
  /// refused.
  int max_sends = 4;
  /// A retry is sent only if at least this time remains before the deadline of
  /// the request.
  Duration min_retry_time = std::chrono::milliseconds(30);
  /// Bounds on an answer and on a request, where neither the caller nor the
  /// route sets a nearer one: a faulty upstream may send without end.
  size_t max_answer_bytes = 64 << 20;
  Duration max_duration = std::chrono::hours(1);
};

/// Whether the request itself permits a retry. The retry budget is checked only
/// if this function returns true.
bool MayRetry(const ExchangeState& state,
              const ExchangeLimits& limits,
              TimePoint now);

/// Returns the final step after an attempt without a complete, successful
/// answer, for a request that is not retried.
FinalStep DecideFinalStep(const ExchangeState& state, AttemptOutcome outcome);

/// Returns the final step for a request that has timed out. `not_run_code` is
/// the error if no upstream can have run it.
FinalStep FinalStepAfterTimeout(const ExchangeState& state,
                                ResultCode not_run_code);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EXCHANGE_POLICY_H_
