/// \file
/// Connects the claim table to the log stream `claims`.

#ifndef TEASELHILL_ROUTER_CLAIMS_DRIVER_H_
#define TEASELHILL_ROUTER_CLAIMS_DRIVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "teaselhill/claims/claim_table.h"
#include "teaselhill/services/log_tail.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::router {

/// Appends the claims of a table to the log, and passes the claims that it
/// reads from the log to the table. All references must outlive the driver.
class ClaimsDriver : public services::LogTailObserver {
 public:
  using ActionsCallback =
      std::function<void(const std::vector<claims::ClaimAction>&)>;

  ClaimsDriver(claims::ClaimTable& table,
               services::LogClient& log,
               TimerService& timers,
               Rng& rng,
               ActionsCallback on_actions);
  ~ClaimsDriver() override;

  void Start();

  /// Appends a batch of claims to the log if one is due. Call after requests
  /// have arrived.
  void Flush();

  const services::LogLag& lag() const { return tail_.lag(); }

  void OnRecords(const std::vector<services::LogRecord>& records) override;
  void OnGap(LogOffset from) override;
  void OnLogRestartedWithFewerRecords(LogOffset from,
                                      LogOffset log_next) override;

 private:
  void ReadBounds();
  void ScheduleBoundsRetry();

  claims::ClaimTable& table_;
  services::LogClient& log_;
  TimerService& timers_;
  ActionsCallback on_actions_;
  services::LogTail tail_;
  bool started_ = false;
  TimerSubscription flush_timer_;
  TimerSubscription tick_timer_;
  TimerSubscription retry_timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CLAIMS_DRIVER_H_
