/// \file
/// Lines for lost and regained dependencies.

#include "teaselhill/gateway/dependency_monitor.h"

namespace teaselhill::gateway {

bool DependencyMonitor::OnAnswered(TimePoint now) {
  if (!lost_since_)
    return false;
  log_.Write(LineKind::kState,
             LogLine(LogLevel::kInfo, "dependency_regained")
                 .Field("dependency", name_)
                 .Field("lost_for_ms", now - *lost_since_),
             now);
  lost_since_.reset();
  return true;
}

bool DependencyMonitor::OnUnreachable(const Error& error,
                                      uint64_t config_version,
                                      TimePoint now) {
  if (lost_since_)
    return false;
  lost_since_ = now;
  log_.Write(LineKind::kState,
             LogLine(LogLevel::kWarning, "dependency_lost")
                 .Field("dependency", name_)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message)
                 .Field("config_version", config_version),
             now);
  return true;
}

}  // namespace teaselhill::gateway
