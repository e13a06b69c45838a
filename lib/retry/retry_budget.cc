/// \file
/// Token buckets for retries.

#include "teaselhill/retry/retry_budget.h"

#include <algorithm>

namespace teaselhill::retry {

RetryBudget::Bucket* RetryBudget::FindOrAddBucket(Buckets& buckets,
                                                  const std::string& name,
                                                  TimePoint now) {
  const auto found = buckets.find(name);
  if (found != buckets.end()) {
    if (now - found->second.last_used_at >= options_.reset_after)
      found->second.tokens = options_.initial_retries;
    found->second.last_used_at = now;
    return &found->second;
  }
  if (buckets.size() >= options_.max_buckets) {
    for (auto it = buckets.begin(); it != buckets.end();) {
      it = now - it->second.last_used_at >= options_.reset_after
               ? buckets.erase(it)
               : std::next(it);
    }
    if (buckets.size() >= options_.max_buckets)
      return nullptr;
  }
  return &buckets.emplace(name, Bucket{options_.initial_retries, now})
              .first->second;
}

void RetryBudget::OnSuccess(const std::string& customer,
                            const std::string& upstream,
                            TimePoint now) {
  for (Bucket* bucket : {FindOrAddBucket(customers_, customer, now),
                         FindOrAddBucket(upstreams_, upstream, now)}) {
    if (bucket != nullptr)
      bucket->tokens = std::min(bucket->tokens + options_.retries_per_success,
                                options_.max_retries);
  }
}

bool RetryBudget::TryConsume(const std::string& customer,
                             const std::string& upstream,
                             TimePoint now) {
  Bucket* const by_customer = FindOrAddBucket(customers_, customer, now);
  Bucket* const by_upstream = FindOrAddBucket(upstreams_, upstream, now);
  if (by_customer == nullptr || by_upstream == nullptr ||
      by_customer->tokens < 1 || by_upstream->tokens < 1)
    return false;
  by_customer->tokens -= 1;
  by_upstream->tokens -= 1;
  return true;
}

}  // namespace teaselhill::retry
