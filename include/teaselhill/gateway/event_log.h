/// \file
/// Decision lines with a bounded volume.

#ifndef TEASELHILL_GATEWAY_EVENT_LOG_H_
#define TEASELHILL_GATEWAY_EVENT_LOG_H_

#include <cstdint>
#include <mutex>

#include "teaselhill/support/logger.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What a line is needed for; the first kinds are kept longest under load.
enum class LineKind {
  kState,    ///< changes what the process believes, or start and stop
  kFailure,  ///< explains a request that failed or was sent again
  kRoutine,  ///< a request that went well
};

struct LogLimits {
  double routine_per_second = 60;
  double failure_per_second = 120;
  double burst_seconds = 2;  ///< of saved-up lines
};

/// Writes lines within a rate for each kind. Lines over it are counted, and the
/// counts are written once a second. Callable from any thread.
class EventLog {
 public:
  explicit EventLog(Logger& logger, LogLimits limits = {});

  void Write(LineKind kind, const LogLine& line, TimePoint now);

  /// Writes the counts of lines left out since the last call, if any.
  void ReportSuppressed();

 private:
  struct Bucket {
    double per_second = 0;
    double tokens = 0;
    TimePoint filled_at{};
    uint64_t suppressed = 0;
  };
  bool Take(Bucket& bucket, TimePoint now) const;

  Logger& logger_;
  LogLimits limits_;
  std::mutex mutex_;
  Bucket routine_;
  Bucket failure_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EVENT_LOG_H_
