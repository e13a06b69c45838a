/// \file
/// Sliding window over requests and retries.

#include "teaselhill/gateway/retry_budget.h"

#include <algorithm>

namespace teaselhill::gateway {

void RetryBudget::OnRequest(const std::string& service, TimePoint now) {
  ServiceWindow& service_window = windows_by_service_[service];
  RemoveExpired(service_window.requests, now);
  service_window.requests.push_back(now);
}

RetryBudget::Usage RetryBudget::UsageOf(const std::string& service,
                                        TimePoint now) {
  ServiceWindow& service_window = windows_by_service_[service];
  RemoveExpired(service_window.requests, now);
  RemoveExpired(service_window.retries, now);
  Usage usage;
  usage.retries = service_window.retries.size();
  usage.limit = options_.ratio * options_.used_ratio_fraction *
                    static_cast<double>(service_window.requests.size()) +
                AdditionalRetries(now);
  return usage;
}

bool RetryBudget::TryAcquire(const std::string& service, TimePoint now) {
  if (!UsageOf(service, now).has_room())
    return false;
  windows_by_service_[service].retries.push_back(now);
  return true;
}

double RetryBudget::AdditionalRetries(TimePoint now) const {
  const double accrued_fraction =
      std::min(1.0, ToSeconds(now - started_at_) / ToSeconds(options_.window));
  return options_.fleet_additional_retries * options_.used_additional_fraction *
         accrued_fraction / static_cast<double>(std::max<size_t>(hosts_, 1));
}

void RetryBudget::RemoveExpired(std::deque<TimePoint>& times,
                                TimePoint now) const {
  while (!times.empty() && times.front() <= now - options_.window)
    times.pop_front();
}

}  // namespace teaselhill::gateway
