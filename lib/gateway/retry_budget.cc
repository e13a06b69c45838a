/// \file
/// Sliding window over requests and retries.

#include "teaselhill/gateway/retry_budget.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// Time for which an additional retry may be kept, as a part of the window. In
/// a window, the fleet uses the retries of the window and of this time before
/// it.
static constexpr double kMaxAgeFraction = 0.5;

void RetryBudget::SetOptions(RetryBudgetOptions options) {
  options_ = options;
  for (auto& [service, budget] : budgets_)
    ConfigureAdditional(&budget.additional);
}

void RetryBudget::SetPosition(const FleetPosition& position) {
  position_ = position;
  for (auto& [service, budget] : budgets_)
    budget.additional.SetPosition(position);
}

RetryBudget::ServiceBudget& RetryBudget::BudgetOf(const std::string& service,
                                                  WallTime wall_now) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end())
    return found->second;
  ServiceBudget budget{{}, {}, RateShare(Hash64(service), wall_now)};
  budget.additional.SetPosition(position_);
  ConfigureAdditional(&budget.additional);
  return budgets_.emplace(service, std::move(budget)).first->second;
}

void RetryBudget::ConfigureAdditional(RateShare* additional) const {
  const double span = ToSeconds(options_.window) * (1 + kMaxAgeFraction);
  const double rate = options_.fleet_additional_retries *
                      options_.used_additional_fraction / span;
  // No turn comes within the life of a process at a rate this small.
  constexpr double kNoRate = 1e-9;
  additional->SetRate(
      std::max(rate, kNoRate),
      FromSeconds(ToSeconds(options_.window) * kMaxAgeFraction));
}

void RetryBudget::OnRequest(const std::string& service,
                            TimePoint now,
                            WallTime wall_now) {
  ServiceBudget& budget = BudgetOf(service, wall_now);
  RemoveExpired(budget.requests, now);
  budget.requests.push_back(now);
}

RetryBudget::Usage RetryBudget::UsageOf(const std::string& service,
                                        TimePoint now,
                                        WallTime wall_now) {
  ServiceBudget& budget = BudgetOf(service, wall_now);
  RemoveExpired(budget.requests, now);
  RemoveExpired(budget.retries, now);
  Usage usage;
  usage.retries = budget.retries.size();
  usage.limit = options_.ratio * options_.used_ratio_fraction *
                static_cast<double>(budget.requests.size());
  usage.has_additional = budget.additional.OldestTurnAge(wall_now).has_value();
  return usage;
}

bool RetryBudget::TryAcquire(const std::string& service,
                             TimePoint now,
                             WallTime wall_now) {
  const Usage usage = UsageOf(service, now, wall_now);
  ServiceBudget& budget = BudgetOf(service, wall_now);
  if (usage.is_within_ratio())
    budget.retries.push_back(now);
  else if (usage.has_additional)
    budget.additional.Use(wall_now);
  return usage.has_room();
}

void RetryBudget::RemoveExpired(std::deque<TimePoint>& times,
                                TimePoint now) const {
  while (!times.empty() && times.front() <= now - options_.window)
    times.pop_front();
}

}  // namespace teaselhill::gateway
