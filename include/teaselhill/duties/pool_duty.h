/// \file
/// Orders the servers of services whose number is not fixed.

#ifndef TEASELHILL_DUTIES_POOL_DUTY_H_
#define TEASELHILL_DUTIES_POOL_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/pool_planner.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

struct PoolDutyOptions {
  PoolPlannerOptions planner;
  std::function<TimePoint()> now = BootNow;
};

/// Connects PoolPlanner to the lease, the log and the metrics. Used on the
/// control thread.
class PoolDuty : public Duty, public HostReportHandler {
 public:
  /// Returns the services that have a pool, with the servers present.
  using Source = std::function<std::vector<PoolService>()>;

  PoolDuty(PoolDutyOptions options,
           Source source,
           Logger& logger,
           Metrics& metrics);
  ~PoolDuty() override;

  std::string_view name() const override { return "pool"; }
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

  void SendNext(TimePoint now);
  void OnOrdered(const PlannedOrder& planned, CallOutcome outcome);
  /// Keeps the orders for the next holder, if any has changed.
  void KeepOrders(TimePoint now);
  void LogPlans(TimePoint now);
  void ReportMetrics();

  const PoolDutyOptions options_;
  const Source source_;
  Logger& logger_;
  Metrics& metrics_;
  PoolPlanner planner_;
  std::shared_ptr<Hold> hold_;
  bool orders_changed_ = false;
  std::optional<TimePoint> kept_at_;
  std::optional<TimePoint> plans_logged_at_;
  std::map<std::string, std::vector<int>> logged_plans_;  ///< by service
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_POOL_DUTY_H_
