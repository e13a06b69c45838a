/// \file
/// Generates request contents and open-loop arrival times, that is, times that
/// do not depend on when earlier requests are answered.

#ifndef TEASELHILL_LOAD_ARRIVALS_H_
#define TEASELHILL_LOAD_ARRIVALS_H_

#include <string>
#include <vector>

#include "teaselhill/load/plan.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::load {

struct Arrival {
  Duration arrives_at{};  ///< time since the start of the run
  size_t stream = 0;
};

/// Returns the arrivals of all streams in order of time, or only the first
/// `plan.max_requests` if there are more. The result depends only on `plan`,
/// which includes the seed.
std::vector<Arrival> MakeArrivals(const Plan& plan);

/// A request and its expected answer.
struct Request {
  std::string body;
  std::string expected;        ///< content of the complete answer
  uint32_t answer_tokens = 0;  ///< tokens of `expected`; 0 for a plain service
};

/// Returns request `number` of a run. The prompt contains `number`, so no two
/// requests of a run have the same prompt.
Request MakeRequest(const StreamPlan& stream, uint64_t number, Rng& rng);

/// Returns a UUIDv7 with the time `now` in milliseconds.
std::string MakeUuid7(WallTime now, Rng& rng);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ARRIVALS_H_
