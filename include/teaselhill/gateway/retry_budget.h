/// \file
/// Limits retries by a budget that bounds the retries of all hosts together.

#ifndef TEASELHILL_GATEWAY_RETRY_BUDGET_H_
#define TEASELHILL_GATEWAY_RETRY_BUDGET_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct RetryBudgetOptions {
  /// Retries allowed for each request of a service in the window. Every host
  /// applies the ratio to its own requests, so the retries of the fleet stay
  /// within the same ratio of all its requests.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Additional retries of this host in each window.
  double additional_retries = 2;
  /// Fraction of `ratio` that this host uses. The rest is a margin, since the
  /// hosts do not count requests in the same windows.
  double used_ratio_fraction = 0.8;
};

/// Retry budget for each service, over a sliding window. Deterministic: time is
/// an argument.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  void SetOptions(RetryBudgetOptions options) { options_ = options; }

  /// A caller's request for the service was accepted.
  void OnRequest(const std::string& service, TimePoint now);

  /// Acquires one retry, or returns false if the budget is spent.
  bool TryAcquire(const std::string& service, TimePoint now);

 private:
  struct ServiceWindow {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };
  void RemoveExpired(std::deque<TimePoint>& times, TimePoint now) const;

  RetryBudgetOptions options_;
  std::unordered_map<std::string, ServiceWindow> windows_by_service_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RETRY_BUDGET_H_
