/// \file
/// Sliding window over requests and retries.

#include "teaselhill/gateway/repeat_budget.h"

namespace teaselhill::gateway {

void RepeatBudget::OnRequest(const std::string& service, TimePoint now) {
  Counts& counts = services_[service];
  Trim(counts.requests, now);
  counts.requests.push_back(now);
}

bool RepeatBudget::TryTake(const std::string& service, TimePoint now) {
  Counts& counts = services_[service];
  Trim(counts.requests, now);
  Trim(counts.repeats, now);
  const double allowed = options_.ratio * options_.used_part *
                             static_cast<double>(counts.requests.size()) +
                         options_.extra;
  if (static_cast<double>(counts.repeats.size()) + 1 > allowed)
    return false;
  counts.repeats.push_back(now);
  return true;
}

void RepeatBudget::Trim(std::deque<TimePoint>& times, TimePoint now) const {
  while (!times.empty() && times.front() <= now - options_.window)
    times.pop_front();
}

}  // namespace teaselhill::gateway
