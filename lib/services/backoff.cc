/// \file
/// Steps of the exponential backoff.

#include "teaselhill/services/backoff.h"

#include <algorithm>

namespace teaselhill::services {

Duration Backoff::NextDelay() {
  step_ = step_ == Duration{} ? options_.initial_step
                              : std::min(step_ * 2, options_.max_step);
  const Duration half = step_ / 2;
  return half + FromSeconds(ToSeconds(half) * rng_.Uniform());
}

}  // namespace teaselhill::services
