/// \file
/// Steps of the exponential backoff.

#include "teaselhill/services/backoff.h"

#include <algorithm>

namespace teaselhill::services {

Duration Backoff::Next() {
  step_ = step_ == Duration{} ? options_.first
                              : std::min(step_ * 2, options_.longest);
  const Duration half = step_ / 2;
  return half + FromSeconds(ToSeconds(half) * rng_.Uniform());
}

}  // namespace teaselhill::services
