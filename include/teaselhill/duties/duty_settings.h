/// \file
/// Settings of the duties.

#ifndef TEASELHILL_DUTIES_DUTY_SETTINGS_H_
#define TEASELHILL_DUTIES_DUTY_SETTINGS_H_

#include <string>

#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// Of a deployment that lists at least one duty.
struct DutySettings {
  std::string api_address;  ///< IP address and port of the platform's API
  bool usage = false;       ///< usage of teams is to be reported
  bool pool = false;        ///< servers are to be ordered
  /// Calls a second that the platform's API takes from all hosts.
  double calls_per_second = 1;
  /// Whether the platform's API itself refuses calls with an old epoch.
  bool api_checks_epoch = false;
  /// Time within which the lease must not go to another host and back.
  Duration min_return = std::chrono::seconds(3);
  /// Time after a freeze in which calls are not held against a host.
  Duration thaw_tolerance{};
  Duration report_window = std::chrono::seconds(5);
  /// Time after the end of a window at which its report is due.
  Duration report_delay = std::chrono::seconds(10);
  double report_tolerance = 0;  ///< as a fraction of the true count

  friend bool operator==(const DutySettings& a, const DutySettings& b) {
    return a.api_address == b.api_address && a.usage == b.usage &&
           a.pool == b.pool && a.calls_per_second == b.calls_per_second &&
           a.api_checks_epoch == b.api_checks_epoch &&
           a.min_return == b.min_return &&
           a.thaw_tolerance == b.thaw_tolerance &&
           a.report_window == b.report_window &&
           a.report_delay == b.report_delay &&
           a.report_tolerance == b.report_tolerance;
  }
  friend bool operator!=(const DutySettings& a, const DutySettings& b) {
    return !(a == b);
  }
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_DUTY_SETTINGS_H_
