/// \file
/// Decides how a request goes on when an attempt has ended.

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
  kFailureAnswer,  ///< a complete answer with a failure status
  kNotRun,         ///< the upstream states that it did not run it
  kNotSent,        ///< no byte of the request can have been received
  kBroken,         ///< lost, corrupted or incomplete; it may have run
  kSilent,         ///< cancelled because no data arrived in time
};
std::string_view OutcomeName(AttemptOutcome outcome);

/// State of a request across its attempts.
struct ExchangeState {
  bool repeatable = false;
  bool resumable = false;
  int max_attempts = 1;
  int sends = 0;           ///< attempts started
  int runs = 0;            ///< attempts that the upstream may have run
  bool head_sent = false;  ///< the response head was sent to the caller
  TimePoint end{};         ///< deadline or timeout, whichever is earlier
};

/// Forwards the upstream's failure response to the caller.
struct PassFailure {};
/// Rejects the request; no upstream has run it or will run it.
struct Refuse {
  ResultCode code = ResultCode::kNoUpstream;
};
/// Fails the request with an unknown outcome: it may have run.
struct FailUnknown {
  ResultCode code = ResultCode::kUpstreamLost;
};
/// Closes the connection to the caller in the middle of the answer.
struct CutShort {
  ResultCode code = ResultCode::kAnswerCutShort;
};

/// Final step of a request that is not retried.
using NextStep = std::variant<PassFailure, Refuse, FailUnknown, CutShort>;

struct ExchangeLimits {
  /// Maximum number of sends of one request, including refused ones.
  int max_sends = 4;
  /// Time that must remain before the end of the request for a retry.
  Duration least_time = std::chrono::milliseconds(30);
};

/// Whether the request itself permits a retry. The retry budget is checked only
/// if it does.
bool MaySendAgain(const ExchangeState& state,
                  const ExchangeLimits& limits,
                  TimePoint now);

/// Returns the final step after an attempt without a complete, successful
/// answer, for a request that is not retried.
NextStep Decide(const ExchangeState& state, AttemptOutcome outcome);

/// Returns the final step for a request that has timed out. `not_run_code` is
/// the error if no upstream can have run it.
NextStep GiveUp(const ExchangeState& state, ResultCode not_run_code);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EXCHANGE_POLICY_H_
