/// \file
/// Rate limits of the event log.

#include "teaselhill/gateway/event_log.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

EventLog::EventLog(Logger& logger, LogLimits limits)
    : logger_(logger), limits_(limits) {
  routine_bucket_.tokens_per_second = limits_.routine_per_second;
  routine_bucket_.tokens = limits_.routine_per_second * limits_.burst_seconds;
  failure_bucket_.tokens_per_second = limits_.failure_per_second;
  failure_bucket_.tokens = limits_.failure_per_second * limits_.burst_seconds;
}

void EventLog::Write(LineKind kind, const LogLine& line, TimePoint now) {
  if (kind != LineKind::kState) {
    const std::lock_guard<std::mutex> lock(mutex_);
    TokenBucket& bucket =
        kind == LineKind::kFailure ? failure_bucket_ : routine_bucket_;
    if (!TryTakeToken(bucket, now)) {
      ++bucket.suppressed_lines;
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
    routine = std::exchange(routine_bucket_.suppressed_lines, 0);
    failure = std::exchange(failure_bucket_.suppressed_lines, 0);
  }
  if (routine + failure == 0)
    return;
  logger_.Write(LogLine(LogLevel::kWarning, "lines_suppressed")
                    .Field("routine", routine)
                    .Field("failure", failure));
}

bool EventLog::TryTakeToken(TokenBucket& bucket, TimePoint now) const {
  if (bucket.filled_at != TimePoint{}) {
    bucket.tokens +=
        bucket.tokens_per_second * ToSeconds(now - bucket.filled_at);
    bucket.tokens = std::min(bucket.tokens,
                             bucket.tokens_per_second * limits_.burst_seconds);
  }
  bucket.filled_at = now;
  if (bucket.tokens < 1)
    return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace teaselhill::gateway
