/// \file
/// Reports the usage of teams to the platform.

#ifndef TEASELHILL_DUTIES_USAGE_DUTY_H_
#define TEASELHILL_DUTIES_USAGE_DUTY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/usage_queue.h"
#include "teaselhill/duties/usage_windows.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

struct UsageDutyOptions {
  Duration window = std::chrono::seconds(5);
  /// A report is due so long after the end of its window.
  Duration report_delay = std::chrono::seconds(10);
  std::function<TimePoint()> now = BootNow;
  std::function<WallTime()> wall_now = WallNow;
};

/// Connects UsageWindows and UsageQueue to the lease, the log and the metrics.
/// Used on the control thread.
class UsageDuty : public Duty, public HostReportHandler {
 public:
  UsageDuty(UsageDutyOptions options, Logger& logger, Metrics& metrics);
  ~UsageDuty() override;

  /// Adds hosts of the fleet, whether or not this host holds the lease.
  void OnHosts(const std::vector<std::string>& hosts);

  std::string_view name() const override { return "usage"; }
  void OnAcquired(DutyContext& context,
                  const KeptTexts& kept,
                  TimePoint now) override;
  void OnLost(TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnHostReport(const HostReport& report, TimePoint now) override;

 private:
  /// Exists while the lease is held, so that late callbacks do nothing.
  struct Hold {
    DutyContext& context;
  };

  void KeepNext(TimePoint now);
  void SendNext(TimePoint now);
  void OnKept(const UsageReport& report, const Status& status);
  void OnReported(const UsageReport& report, CallOutcome outcome);
  void LogClosed(const ClosedWindow& window);
  /// Logs the windows of which no report is made.
  void NoteLeftOut();
  void LogReported(WindowNumber window, std::string_view outcome);
  void ReportMetrics();

  const UsageDutyOptions options_;
  Logger& logger_;
  Metrics& metrics_;
  UsageWindows windows_;
  UsageQueue queue_;
  std::shared_ptr<Hold> hold_;
  uint64_t windows_left_out_ = 0;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_USAGE_DUTY_H_
