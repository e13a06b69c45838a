/// \file
/// Open-loop arrival times and the requests that arrive.

#ifndef TEASELHILL_LOAD_ARRIVALS_H_
#define TEASELHILL_LOAD_ARRIVALS_H_

#include <string>
#include <vector>

#include "teaselhill/load/plan.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::load {

struct Arrival {
  Duration at{};  ///< after the start
  size_t stream = 0;
};

/// Returns all arrivals in order of time, at most `plan.max_requests`. The same
/// plan and seed give the same arrivals.
std::vector<Arrival> MakeArrivals(const Plan& plan);

/// A request with the answer that is expected for it.
struct Request {
  std::string body;
  std::string expected;        ///< content of the whole answer
  uint32_t answer_tokens = 0;  ///< 0 for a plain service
};

/// Makes request `number`; its prompt occurs once in a run.
Request MakeRequest(const StreamPlan& stream, uint64_t number, Rng& rng);

/// Returns a UUIDv7 with the millisecond time of `now`.
std::string MakeUuid7(WallTime now, Rng& rng);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ARRIVALS_H_
