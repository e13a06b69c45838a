/// \file
/// Exponential decay of counts and estimates.

#ifndef TEASELHILL_SUPPORT_DECAY_H_
#define TEASELHILL_SUPPORT_DECAY_H_

#include <algorithm>
#include <cmath>

#include "teaselhill/support/time.h"

namespace teaselhill {

/// Part of a weight that is left after `age`; 1 for an age that is not
/// positive.
inline double DecayFactor(Duration age, Duration half_life) {
  return std::exp2(-std::max(0.0, ToSeconds(age)) / ToSeconds(half_life));
}

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_DECAY_H_
