/// \file
/// Measures the demand for one contract on this host.

#ifndef TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
#define TEASELHILL_LIB_QUOTA_DEMAND_METER_H_

#include "teaselhill/config/contract.h"
#include "teaselhill/quota/messages.h"
#include "teaselhill/support/time.h"

namespace teaselhill::quota {

/// Smoothed rates of all requests, admitted or refused.
class DemandMeter {
 public:
  explicit DemandMeter(TimePoint now)
      : updated_at_(now), last_request_at_(now) {}

  void OnRequest(double tokens, TimePoint now);
  void OnConcurrencyRefused() { ++interval_concurrency_refusals_; }

  /// Ends the interval that began with the last call and returns the demand. A
  /// demand above the limit counts as the limit, so that retries do not lead to
  /// a larger share.
  ContractDemand Update(const config::Limits& limits,
                        int in_flight,
                        bool many_contracts,
                        TimePoint now);

 private:
  TimePoint updated_at_;
  TimePoint last_request_at_;
  bool has_requests_ = false;
  // Whether this was not a host with few requests at the last request.
  bool is_frequent_ = false;
  double requests_per_second_ = 0;
  double interval_requests_ = 0;
  double interval_tokens_ = 0;
  int interval_concurrency_refusals_ = 0;
  ContractDemand demand_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
