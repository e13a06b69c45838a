/// \file
/// Orders of servers by demand.

#include "teaselhill/duties/pool_planner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "pool_service_planner.h"

namespace teaselhill::duties {

std::string_view PoolReasonName(PoolReason reason) {
  switch (reason) {
    case PoolReason::kShortage:
      return "shortage";
    case PoolReason::kRaise:
      return "raise";
    case PoolReason::kRestore:
      return "restore";
    case PoolReason::kUnknown:
      return "unknown_outcome";
    case PoolReason::kLower:
      return "lower";
  }
  return "unknown";
}

PoolPlanner::PoolPlanner(PoolPlannerOptions options) : options_(options) {}

PoolPlanner::~PoolPlanner() = default;

void PoolPlanner::Reset(const std::vector<std::string>& kept, TimePoint now) {
  services_.clear();
  kept_.clear();
  reset_at_ = now;
  for (const std::string& text : kept) {
    if (nlohmann::json::accept(text))
      kept_ = text;
  }
}

void PoolPlanner::OnReport(const HostReport& report, TimePoint now) {
  if (services_.empty())
    return;
  std::map<std::string, std::vector<const EngineWork*>> rows_by_service;
  for (const EngineWork& row : report.work)
    rows_by_service[row.service].push_back(&row);
  // A host without rows has reported as well.
  for (const auto& [name, service] : services_)
    service->OnReport(report.host, rows_by_service[name], now);
}

void PoolPlanner::OnServers(const std::vector<PoolService>& services,
                            TimePoint now) {
  std::set<std::string> names;
  for (const PoolService& service : services) {
    names.insert(service.service);
    std::unique_ptr<ServicePlanner>& planner = services_[service.service];
    if (!planner) {
      const nlohmann::json kept =
          nlohmann::json::parse(kept_, nullptr, /*allow_exceptions=*/false);
      const bool is_kept = kept.is_object() && kept.contains(service.service);
      planner = std::make_unique<ServicePlanner>(
          options_, service.service,
          is_kept ? kept[service.service] : nlohmann::json(), now);
    }
    planner->OnServers(service, now);
  }
  for (auto entry = services_.begin(); entry != services_.end();)
    entry = names.count(entry->first) == 0 ? services_.erase(entry)
                                           : std::next(entry);
}

std::optional<PlannedOrder> PoolPlanner::Plan(TimePoint now) {
  std::optional<ServicePlanner::Candidate> best;
  ServicePlanner* best_service = nullptr;
  const bool may_order = last_order_at_ == TimePoint{} ||
                         now - last_order_at_ >= options_.order_period;
  for (const auto& [name, service] : services_) {
    service->Update(now);
    if (!may_order)
      continue;
    std::optional<ServicePlanner::Candidate> candidate = service->Choose(now);
    if (!candidate || (best && best->priority <= candidate->priority))
      continue;
    best = std::move(candidate);
    best_service = service.get();
  }
  if (!best)
    return std::nullopt;
  last_order_at_ = now;
  best_service->OnSent(best->planned, now);
  return std::move(best->planned);
}

void PoolPlanner::OnOutcome(const PoolOrder& order,
                            CallOutcome outcome,
                            TimePoint now) {
  const auto service = services_.find(order.service);
  if (service != services_.end())
    service->second->OnOutcome(order, outcome, now);
}

void PoolPlanner::OnNotSent(const PoolOrder& order, TimePoint now) {
  const auto service = services_.find(order.service);
  if (service != services_.end())
    service->second->OnNotSent(order);
}

std::string PoolPlanner::Snapshot() const {
  nlohmann::json snapshot = nlohmann::json::object();
  for (const auto& [name, service] : services_)
    snapshot[name] = service->Snapshot();
  return snapshot.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::vector<PoolStatus> PoolPlanner::Status() const {
  std::vector<PoolStatus> all;
  for (const auto& [name, service] : services_)
    all.push_back(service->Status());
  return all;
}

}  // namespace teaselhill::duties
