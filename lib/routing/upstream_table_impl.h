/// \file
/// Declarations shared by the source files of the upstream table.

#ifndef TEASELHILL_LIB_ROUTING_UPSTREAM_TABLE_IMPL_H_
#define TEASELHILL_LIB_ROUTING_UPSTREAM_TABLE_IMPL_H_

#include "teaselhill/routing/upstream_table.h"
#include "teaselhill/support/decay.h"

namespace teaselhill::routing {

inline constexpr Duration kMaxPeerLoadAge = std::chrono::seconds(5);
inline constexpr std::chrono::seconds kPaceHalfLife{5};
/// Number of tokens that must be measured on an upstream before its pace (time
/// per token) is compared with other upstreams or published.
inline constexpr double kMinPaceTokens = 16;

inline uint8_t LeavingBit(LeavingSource source) {
  return static_cast<uint8_t>(source);
}

inline double DecayedPaceTokens(const Upstream& upstream, TimePoint now) {
  return upstream.pace_tokens *
         DecayFactor(now - upstream.pace_updated_at, kPaceHalfLife);
}

}  // namespace teaselhill::routing

#endif  // TEASELHILL_LIB_ROUTING_UPSTREAM_TABLE_IMPL_H_
