/// \file
/// Token buckets for retries.

#include "teaselhill/retry/retry_budget.h"

#include <algorithm>

namespace teaselhill::retry {

RetryBudget::Bucket* RetryBudget::Get(Buckets& buckets,
                                      const std::string& name,
                                      TimePoint now) {
  const auto found = buckets.find(name);
  if (found != buckets.end()) {
    if (now - found->second.used >= options_.forget_after)
      found->second.tokens = options_.initial;
    found->second.used = now;
    return &found->second;
  }
  if (buckets.size() >= options_.max_entries) {
    for (auto it = buckets.begin(); it != buckets.end();) {
      it = now - it->second.used >= options_.forget_after ? buckets.erase(it)
                                                          : std::next(it);
    }
    if (buckets.size() >= options_.max_entries)
      return nullptr;
  }
  return &buckets.emplace(name, Bucket{options_.initial, now}).first->second;
}

void RetryBudget::OnSuccess(const std::string& customer,
                            const std::string& upstream,
                            TimePoint now) {
  for (Bucket* bucket :
       {Get(customers_, customer, now), Get(upstreams_, upstream, now)}) {
    if (bucket != nullptr)
      bucket->tokens = std::min(bucket->tokens + options_.retries_per_success,
                                options_.capacity);
  }
}

bool RetryBudget::TryTake(const std::string& customer,
                          const std::string& upstream,
                          TimePoint now) {
  Bucket* const by_customer = Get(customers_, customer, now);
  Bucket* const by_upstream = Get(upstreams_, upstream, now);
  if (by_customer == nullptr || by_upstream == nullptr ||
      by_customer->tokens < 1 || by_upstream->tokens < 1)
    return false;
  by_customer->tokens -= 1;
  by_upstream->tokens -= 1;
  return true;
}

}  // namespace teaselhill::retry
