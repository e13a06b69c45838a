/// \file
/// Measures the service rate of one model while requests wait.

#ifndef TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_
#define TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_

#include <optional>

#include "teaselhill/support/time.h"

namespace teaselhill::admission {

/// Smoothed rate, in tokens of predicted work per second, at which requests of
/// one model start. Only intervals in which requests waited all the time are
/// counted, because otherwise the rate would measure the demand and not the
/// capacity.
class ServiceRate {
 public:
  /// Ends the current interval if it is long enough. Starts an interval when
  /// requests begin to wait, and discards the current interval when no request
  /// waits any longer. Call this function before and after each change of the
  /// queue.
  void Update(bool has_waiting, TimePoint now);
  /// Counts the start of a request with `work_tokens` of predicted work.
  void OnRequestStarted(double work_tokens);

  /// Returns the rate in tokens/s, or zero while it is unknown.
  double TokensPerSecond(TimePoint now) const;

 private:
  void CloseInterval(TimePoint now);

  std::optional<TimePoint> interval_started_at_;
  double interval_work_tokens_ = 0;
  int interval_request_count_ = 0;
  double tokens_per_second_ = 0;
  TimePoint measured_at_{};
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_SERVICE_RATE_H_
