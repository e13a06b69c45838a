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

/// Additional retries in a window for each host from which on a host can keep
/// its turn until the next one. Where failures are rare, a retry that lapses
/// before it is needed is of no use to anybody.
static constexpr double kMinRetriesPerHostToKeep = 1.5;

void RetryBudget::SetOptions(RetryBudgetOptions options) {
  options_ = options;
  for (auto& [service, budget] : budgets_)
    ConfigureAdditional(&budget.additional);
}

void RetryBudget::SetPosition(const FleetPosition& position) {
  position_ = position;
  for (auto& [service, budget] : budgets_) {
    budget.additional.SetPosition(position);
    ConfigureAdditional(&budget.additional);
  }
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
  const double window = ToSeconds(options_.window);
  const double retries =
      options_.fleet_additional_retries * options_.used_additional_fraction;
  const auto hosts = static_cast<double>(position_.hosts);
  // No turn comes within the life of a process at a rate this small.
  constexpr double kNoRate = 1e-9;
  const double max_age = window * kMaxAgeFraction;
  const double rate = std::max(retries / (window + max_age), kNoRate);
  const bool lapses_before_next = hosts / rate > max_age;
  if (!lapses_before_next || retries < kMinRetriesPerHostToKeep * hosts)
    return additional->SetRate(rate, FromSeconds(max_age));
  // In a window, the fleet uses the turns of the window and one kept by each
  // host.
  const double kept_rate = (retries - hosts) / window;
  additional->SetRate(kept_rate, FromSeconds(hosts / kept_rate));
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
