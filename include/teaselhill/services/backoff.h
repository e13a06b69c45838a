/// \file
/// Exponential backoff with full jitter.

#ifndef TEASELHILL_SERVICES_BACKOFF_H_
#define TEASELHILL_SERVICES_BACKOFF_H_

#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

/// `rng` must outlive this object.
class Backoff {
 public:
  struct Options {
    Duration first = std::chrono::milliseconds(200);
    /// Hosts reach a log that is back within this time.
    Duration longest = std::chrono::seconds(5);
  };

  Backoff(Rng& rng, Options options) : rng_(rng), options_(options) {}

  /// Returns the next delay: half of the current step and up to half at random.
  Duration Next();
  void Reset() { step_ = {}; }

 private:
  Rng& rng_;
  Options options_;
  Duration step_{};
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_BACKOFF_H_
