/// \file
/// Budgets that limit the load added by retries.

#ifndef TEASELHILL_RETRY_RETRY_BUDGET_H_
#define TEASELHILL_RETRY_RETRY_BUDGET_H_

#include <string>
#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::retry {

struct RetryBudgetOptions {
  double retries_per_success = 0.1;
  double initial_retries = 20;  ///< retries allowed before the first success
  double max_retries = 50;      ///< maximum number of saved retries
  /// A bucket that is unused for this long is reset to `initial_retries`.
  Duration reset_after = std::chrono::minutes(10);
  size_t max_buckets = 8192;
};

/// Token buckets per customer and per upstream, refilled by successes. For each
/// bucket: retries <= initial_retries + retries_per_success * successes.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  void OnSuccess(const std::string& customer,
                 const std::string& upstream,
                 TimePoint now);
  /// Charges one retry of a request of `customer` that failed on `upstream` to
  /// both buckets, or to neither. Returns whether the retry is allowed. A retry
  /// is not allowed when either bucket is used up or the table of buckets is
  /// full.
  bool TryConsume(const std::string& customer,
                  const std::string& upstream,
                  TimePoint now);

  size_t size() const { return customers_.size() + upstreams_.size(); }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint last_used_at;
  };
  using Buckets = std::unordered_map<std::string, Bucket>;

  Bucket* FindOrAddBucket(Buckets& buckets,
                          const std::string& name,
                          TimePoint now);

  RetryBudgetOptions options_;
  Buckets customers_;
  Buckets upstreams_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_RETRY_BUDGET_H_
