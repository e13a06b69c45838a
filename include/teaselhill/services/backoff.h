/// \file
/// Exponential backoff with jitter.

#ifndef TEASELHILL_SERVICES_BACKOFF_H_
#define TEASELHILL_SERVICES_BACKOFF_H_

#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

/// Computes retry delays. The step starts at `initial_step` and doubles up to
/// the maximum. `rng` must outlive this object.
class Backoff {
 public:
  struct Options {
    Duration initial_step = std::chrono::milliseconds(200);
    /// Maximum step, and so the longest time until a host reaches a log that is
    /// available again.
    Duration max_step = std::chrono::seconds(5);
  };

  Backoff(Rng& rng, Options options) : rng_(rng), options_(options) {}

  /// Doubles the step and returns the next delay, uniformly random between half
  /// a step and a whole step.
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
