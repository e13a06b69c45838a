/// \file
/// Event log with a bounded rate.

#ifndef TEASELHILL_GATEWAY_EVENT_LOG_H_
#define TEASELHILL_GATEWAY_EVENT_LOG_H_

#include <cstdint>
#include <mutex>

#include "teaselhill/support/logger.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Purpose of a line; the kinds are listed by descending importance.
enum class LineKind {
  kState,    ///< configuration, upstreams, start and stop; never dropped
  kFailure,  ///< explains a request that failed or was retried
  kRoutine,  ///< a request without a problem
};

struct LogLimits {
  double routine_per_second = 60;
  double failure_per_second = 120;
  /// Size of a burst: the number of lines that the rate allows in this time.
  double burst_seconds = 2;
};

/// Writes lines within a rate limit for each kind. Lines that exceed the limit
/// of their kind are dropped and counted; the counts are logged by
/// ReportSuppressed(). Callable from any thread.
class EventLog {
 public:
  explicit EventLog(Logger& logger, LogLimits limits = {});

  void Write(LineKind kind, const LogLine& line, TimePoint now);

  /// Logs the numbers of lines dropped since the last call, if any.
  void ReportSuppressed();

 private:
  struct TokenBucket {
    double tokens_per_second = 0;
    double tokens = 0;
    TimePoint filled_at{};
    uint64_t suppressed_lines = 0;
  };
  bool TryTakeToken(TokenBucket& bucket, TimePoint now) const;

  Logger& logger_;
  LogLimits limits_;
  std::mutex mutex_;
  TokenBucket routine_bucket_;
  TokenBucket failure_bucket_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EVENT_LOG_H_
