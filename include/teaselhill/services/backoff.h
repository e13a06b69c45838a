/// \file
/// Exponential backoff with jitter.

#ifndef TEASELHILL_SERVICES_BACKOFF_H_
#define TEASELHILL_SERVICES_BACKOFF_H_

#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

/// Computes retry delays from a step. The first step is `initial_step`; each
/// further step is twice the preceding step, up to `max_step`. `rng` must
/// outlive this object.
class Backoff {
 public:
  struct Options {
    Duration initial_step = std::chrono::milliseconds(200);
    /// Maximum step. Also bounds the delay until a host retries on a log that
    /// is available again.
    Duration max_step = std::chrono::milliseconds(1500);
  };

  Backoff(Rng& rng, Options options) : rng_(rng), options_(options) {}

  /// Advances to the next step and returns a delay that is uniformly random
  /// between half of this step and the whole step.
  Duration NextDelay();
  /// Restarts from `initial_step`; to be called after a success.
  void Reset() { step_ = {}; }

 private:
  Rng& rng_;
  Options options_;
  Duration step_{};
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_BACKOFF_H_
