/// \file
/// Measures the demand for one contract on this host.

#ifndef TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
#define TEASELHILL_LIB_QUOTA_DEMAND_METER_H_

#include "teaselhill/config/contract.h"
#include "teaselhill/quota/messages.h"
#include "teaselhill/support/time.h"

namespace teaselhill::quota {

/// Measures the smoothed demand for one contract: request rate, token rate and
/// concurrency. Admitted and refused requests count.
class DemandMeter {
 public:
  explicit DemandMeter(TimePoint now)
      : updated_at_(now), last_request_at_(now) {}

  void OnRequest(double tokens, TimePoint now);
  void OnConcurrencyRefused() { ++interval_concurrency_refusals_; }

  /// Ends the interval that began with the last call of `Update` and returns
  /// the demand. A demand above the limit counts as the limit, so that retries
  /// of refused requests do not lead to a larger share.
  ContractDemand Update(const config::Limits& limits,
                        int in_flight,
                        bool many_contracts,
                        TimePoint now);

 private:
  TimePoint updated_at_;
  TimePoint last_request_at_;
  bool has_requests_ = false;
  // Whether kIdleTimeout applies and not one of the longer timeouts: at the end
  // of the last interval with requests, the host had many requests or a large
  // fraction of a limit.
  bool uses_short_idle_timeout_ = false;
  double requests_per_second_ = 0;
  double interval_requests_ = 0;
  double interval_tokens_ = 0;
  int interval_concurrency_refusals_ = 0;
  ContractDemand demand_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
