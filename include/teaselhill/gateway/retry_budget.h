/// \file
/// Limits retries by a budget that bounds the retries of all hosts together.

#ifndef TEASELHILL_GATEWAY_RETRY_BUDGET_H_
#define TEASELHILL_GATEWAY_RETRY_BUDGET_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "teaselhill/gateway/rate_share.h"
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
  /// Fraction of the additional retries that the hosts use together. The rest
  /// is a margin for hosts that have joined and are not known yet.
  double used_additional_fraction = 0.75;
};

/// Retry budget for each service, over a sliding window. The additional retries
/// are turns of RateShare. Deterministic: time is an argument.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  void SetOptions(RetryBudgetOptions options);

  /// The hosts that share the additional retries.
  void SetPosition(const FleetPosition& position);

  /// A caller's request for the service was accepted.
  void OnRequest(const std::string& service, TimePoint now, WallTime wall_now);

  struct Usage {
    size_t retries = 0;           ///< by ratio, in the current window
    double limit = 0;             ///< on these
    bool has_additional = false;  ///< whether this host has an additional retry

    bool is_within_ratio() const {
      return static_cast<double>(retries) + 1 <= limit;
    }
    bool has_room() const { return is_within_ratio() || has_additional; }
  };
  Usage UsageOf(const std::string& service, TimePoint now, WallTime wall_now);

  /// Acquires one retry, or returns false if the budget is spent.
  bool TryAcquire(const std::string& service, TimePoint now, WallTime wall_now);

 private:
  struct ServiceBudget {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;  ///< by ratio
    RateShare additional;
  };

  /// Adds the budget of a service that had no request yet. Its additional
  /// retries accrue from then on, so that a restart does not grant them again.
  ServiceBudget& BudgetOf(const std::string& service, WallTime wall_now);
  void ConfigureAdditional(RateShare* additional) const;
  void RemoveExpired(std::deque<TimePoint>& times, TimePoint now) const;

  RetryBudgetOptions options_;
  FleetPosition position_;
  std::unordered_map<std::string, ServiceBudget> budgets_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RETRY_BUDGET_H_
