/// \file
/// Budgets that bound the work which retries add.

#ifndef TEASELHILL_RETRY_RETRY_BUDGET_H_
#define TEASELHILL_RETRY_RETRY_BUDGET_H_

#include <string>
#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::retry {

struct RetryBudgetOptions {
  double retries_per_success = 0.1;
  double initial = 20;   ///< retries granted before the first success
  double capacity = 50;  ///< most retries saved up
  /// Budgets unused for this long start afresh.
  Duration forget_after = std::chrono::minutes(10);
  size_t max_entries = 8192;
};

/// Token buckets per customer and per upstream, fed by successes. For each of
/// them: retries <= initial + retries_per_success * successes.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  void OnSuccess(const std::string& customer,
                 const std::string& upstream,
                 TimePoint now);
  /// Takes one retry of a request of `customer` that failed on `upstream`
  /// from both budgets, or from neither.
  bool TryTake(const std::string& customer,
               const std::string& upstream,
               TimePoint now);

  size_t size() const { return customers_.size() + upstreams_.size(); }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint used;
  };
  using Buckets = std::unordered_map<std::string, Bucket>;

  Bucket* Get(Buckets& buckets, const std::string& name, TimePoint now);

  RetryBudgetOptions options_;
  Buckets customers_;
  Buckets upstreams_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_RETRY_BUDGET_H_
