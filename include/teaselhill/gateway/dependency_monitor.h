/// \file
/// Logs when a service that the gateway depends on is lost and regained.

#ifndef TEASELHILL_GATEWAY_DEPENDENCY_MONITOR_H_
#define TEASELHILL_GATEWAY_DEPENDENCY_MONITOR_H_

#include <optional>
#include <string>

#include "teaselhill/gateway/event_log.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

class DependencyMonitor {
 public:
  DependencyMonitor(EventLog& log, std::string name)
      : log_(log), name_(std::move(name)) {}

  /// Whether the service is lost and was so before `time`.
  bool LostBefore(TimePoint time) const {
    return lost_since_ && *lost_since_ < time;
  }

  /// A request to the service succeeded. Returns whether it was lost before.
  bool OnAnswered(TimePoint now);
  /// A request to the service failed. Returns whether it was not lost before.
  bool OnUnreachable(const Error& error,
                     uint64_t config_version,
                     TimePoint now);

 private:
  EventLog& log_;
  std::string name_;
  std::optional<TimePoint> lost_since_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_DEPENDENCY_MONITOR_H_
