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
  explicit DemandMeter(TimePoint now) : updated_(now), last_attempt_(now) {}

  void OnAttempt(double tokens, TimePoint now);
  void OnConcurrencyRefused() { ++refused_; }

  /// Ends the interval that began with the last call and returns the demand. A
  /// demand above the limit counts as the limit, so that retries do not lead to
  /// a larger share.
  ContractDemand Update(const config::Limits& limits,
                        int in_flight,
                        bool many_contracts,
                        TimePoint now);

 private:
  TimePoint updated_;
  TimePoint last_attempt_;
  bool attempted_ = false;
  bool busy_ = false;  // not a host with few requests, at the last request
  double rate_ = 0;
  double requests_ = 0;
  double tokens_ = 0;
  int refused_ = 0;
  ContractDemand smoothed_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
