/// \file
/// Rate limits of the event log.

#include "teaselhill/gateway/event_log.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

EventLog::EventLog(Logger& logger, LogLimits limits)
    : logger_(logger), limits_(limits) {
  routine_.per_second = limits_.routine_per_second;
  routine_.tokens = limits_.routine_per_second * limits_.burst_seconds;
  failure_.per_second = limits_.failure_per_second;
  failure_.tokens = limits_.failure_per_second * limits_.burst_seconds;
}

void EventLog::Write(LineKind kind, const LogLine& line, TimePoint now) {
  if (kind != LineKind::kState) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Bucket& bucket = kind == LineKind::kFailure ? failure_ : routine_;
    if (!Take(bucket, now)) {
      ++bucket.suppressed;
      return;
    }
  }
  logger_.Write(line);
}

void EventLog::ReportSuppressed() {
  uint64_t routine = 0;
  uint64_t failure = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    routine = std::exchange(routine_.suppressed, 0);
    failure = std::exchange(failure_.suppressed, 0);
  }
  if (routine + failure == 0)
    return;
  logger_.Write(LogLine(LogLevel::kWarning, "lines_suppressed")
                    .Field("routine", routine)
                    .Field("failure", failure));
}

bool EventLog::Take(Bucket& bucket, TimePoint now) const {
  if (bucket.filled_at != TimePoint{}) {
    bucket.tokens += bucket.per_second * ToSeconds(now - bucket.filled_at);
    bucket.tokens =
        std::min(bucket.tokens, bucket.per_second * limits_.burst_seconds);
  }
  bucket.filled_at = now;
  if (bucket.tokens < 1)
    return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace teaselhill::gateway
