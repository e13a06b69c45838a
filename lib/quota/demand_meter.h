/// \file
/// Measures the demand for one contract on this host.

#ifndef TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
#define TEASELHILL_LIB_QUOTA_DEMAND_METER_H_

#include "teaselhill/config/contract.h"
#include "teaselhill/quota/messages.h"
#include "teaselhill/support/time.h"

namespace teaselhill::quota {

/// Smoothed rates of what was asked for, whether it was admitted or not.
class DemandMeter {
 public:
  explicit DemandMeter(TimePoint now) : updated_(now), last_attempt_(now) {}

  void OnAttempt(double tokens, TimePoint now);
  void OnConcurrencyRefused() { ++refused_; }

  /// Closes the interval since the last call. A demand above the limit counts
  /// as the limit, so that retries do not win a larger share.
  ContractDemand Update(const config::Limits& limits,
                        int in_flight,
                        bool many_contracts,
                        TimePoint now);

 private:
  TimePoint updated_;
  TimePoint last_attempt_;
  bool attempted_ = false;
  bool busy_ = false;  // whether requests came often when last seen
  double rate_ = 0;
  double requests_ = 0;
  double tokens_ = 0;
  int refused_ = 0;
  ContractDemand smoothed_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_DEMAND_METER_H_
