/// \file
/// Limits retries by a budget that bounds the retries of all hosts together.

#ifndef TEASELHILL_GATEWAY_RETRY_BUDGET_H_
#define TEASELHILL_GATEWAY_RETRY_BUDGET_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct RetryBudgetOptions {
  /// Retries allowed for each request of a service in the window. Every host
  /// applies the ratio to its own requests, so the retries of the fleet stay
  /// within the same ratio of all its requests.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Additional retries of the whole fleet in each window.
  double fleet_additional_retries = 54;
  /// Fraction of `ratio` that this host uses. The rest is a margin, since the
  /// hosts do not count requests in the same windows.
  double used_ratio_fraction = 0.8;
  /// Fraction of its share of the additional retries that this host uses. The
  /// rest is a margin for hosts that have joined and are not known yet.
  double used_additional_fraction = 0.5;
};

/// Retry budget for each service, over a sliding window. Deterministic: time is
/// an argument.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options, TimePoint started_at)
      : options_(options), started_at_(started_at) {}

  void SetOptions(RetryBudgetOptions options) { options_ = options; }

  /// Number of hosts that share the additional retries.
  void SetHostCount(size_t hosts) { hosts_ = hosts; }

  /// A caller's request for the service was accepted.
  void OnRequest(const std::string& service, TimePoint now);

  /// Retries in the current window, and the limit on them.
  struct Usage {
    size_t retries = 0;
    double limit = 0;
    bool has_room() const { return static_cast<double>(retries) + 1 <= limit; }
  };
  Usage UsageOf(const std::string& service, TimePoint now);

  /// Acquires one retry, or returns false if the budget is spent.
  bool TryAcquire(const std::string& service, TimePoint now);

 private:
  struct ServiceWindow {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };
  void RemoveExpired(std::deque<TimePoint>& times, TimePoint now) const;

  /// Additional retries of this host. They accrue during the first window of
  /// the process, so that a restart does not grant them again.
  double AdditionalRetries(TimePoint now) const;

  RetryBudgetOptions options_;
  TimePoint started_at_;
  size_t hosts_ = FleetSize::kMaxHosts;
  std::unordered_map<std::string, ServiceWindow> windows_by_service_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RETRY_BUDGET_H_
