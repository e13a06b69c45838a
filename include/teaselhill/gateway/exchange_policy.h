/// \file
/// Decides what follows when an attempt of a request has ended.

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
  kComplete,       ///< the whole answer arrived
  kFailureAnswer,  ///< a whole answer with a status of failure
  kNotRun,         ///< the upstream says that it did not run the request
  kNotSent,        ///< no byte of the request can have arrived
  kBroken,         ///< lost, spoiled or cut short after it may have run
  kSilent,         ///< ended here because nothing came in time
};
std::string_view OutcomeName(AttemptOutcome outcome);

/// State of a request over its attempts.
struct ExchangeState {
  bool repeatable = false;
  bool resumable = false;
  int max_attempts = 1;
  int sends = 0;           ///< attempts started
  int runs = 0;            ///< attempts that may have run
  bool head_sent = false;  ///< the caller has the head of the answer
  TimePoint end{};         ///< deadline or timeout, whichever is earlier
};

/// Passes the upstream's failure on.
struct PassFailure {};
/// Refuses; no upstream has run the request or will.
struct Refuse {
  ResultCode code = ResultCode::kNoUpstream;
};
/// Fails; the request may have run.
struct FailUnknown {
  ResultCode code = ResultCode::kUpstreamLost;
};
/// Closes the connection in the middle of the answer.
struct CutShort {
  ResultCode code = ResultCode::kAnswerCutShort;
};

/// The end of a request that is not sent again.
using NextStep = std::variant<PassFailure, Refuse, FailUnknown, CutShort>;

struct ExchangeLimits {
  /// Sends of one request at most, also of those that were refused.
  int max_sends = 4;
  /// Time that must be left for another send to be worth it.
  Duration least_time = std::chrono::milliseconds(30);
};

/// Whether another send is allowed by the request itself. The repeat budget is
/// asked only then.
bool MaySendAgain(const ExchangeState& state,
                  const ExchangeLimits& limits,
                  TimePoint now);

/// The step after an attempt that did not end in a whole good answer, when the
/// request is not sent again.
NextStep Decide(const ExchangeState& state, AttemptOutcome outcome);

/// The step for a request whose time is over, or that is given up.
NextStep GiveUp(const ExchangeState& state, ResultCode not_run_code);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EXCHANGE_POLICY_H_
