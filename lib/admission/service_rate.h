/// \file
/// Measures how fast the queue of one model drains while requests wait.

#ifndef TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_
#define TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_

#include <optional>

#include "teaselhill/support/time.h"

namespace teaselhill::admission {

/// Predicted work that leaves the queue in a second. Only intervals in which
/// requests waited throughout are counted: otherwise the figure would be the
/// demand and not the capacity.
class ServiceRate {
 public:
  /// Call before and after each change of the queue.
  void Update(bool waiting, TimePoint now);
  void OnStart(double work);

  /// Tokens/s; zero while unknown.
  double Get(TimePoint now) const;

 private:
  void CloseInterval(TimePoint now);

  std::optional<TimePoint> interval_start_;
  double interval_work_ = 0;
  int interval_starts_ = 0;
  double rate_ = 0;
  TimePoint measured_{};
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_
