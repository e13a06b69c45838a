/// \file
/// Tolerances in the comparison of crashes.

#ifndef TEASELHILL_LIB_GATEWAY_CRASH_TIMES_H_
#define TEASELHILL_LIB_GATEWAY_CRASH_TIMES_H_

#include <chrono>

namespace teaselhill::gateway {

/// Error of the times of crashes, which hosts compare by their wall clocks.
inline constexpr std::chrono::milliseconds kTimeTolerance{25};

/// Time in which an outage ends the connections to all upstreams that it hits.
inline constexpr std::chrono::milliseconds kOutageSpan{50};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_CRASH_TIMES_H_
