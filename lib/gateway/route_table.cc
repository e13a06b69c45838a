/// \file
/// Index of routes and keys.

#include "teaselhill/gateway/route_table.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace teaselhill::gateway {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(RouteConfig config) : config_(std::move(config)) {
  for (const Route& route : config_.routes)
    routes_by_host_[NormalizeHost(route.host)].emplace(route.path_prefix,
                                                       &route);
  for (const Team& team : config_.teams) {
    for (const std::string& key : team.keys)
      teams_by_key_.emplace(key, &team);
  }
  for (const Service& service : config_.services) {
    services_by_name_.emplace(service.name, &service);
    has_pools_ |= service.pool.has_value();
  }
  IndexUrgentTiers();
}

void RouteTable::IndexUrgentTiers() {
  // Pause target of each tier of streams; the shortest of several routes.
  std::unordered_map<std::string, std::map<Tier, Duration>> gap_targets;
  for (const Route& route : config_.routes) {
    if (route.kind != RouteKind::kStream)
      continue;
    for (const WeightedService& weighted : route.services) {
      const auto [target, is_new] = gap_targets[weighted.service].emplace(
          route.tier, route.event_gap_target);
      if (!is_new && route.event_gap_target > Duration::zero())
        target->second = target->second == Duration::zero()
                             ? route.event_gap_target
                             : std::min(target->second, route.event_gap_target);
    }
  }
  for (const auto& [service, targets] : gap_targets) {
    if (targets.size() > 1 && targets.begin()->second > Duration::zero())
      urgent_tiers_by_service_.emplace(service, targets.begin()->first);
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end())
    return nullptr;
  // Prefixes end with a slash, so a match can only end at a slash of the path.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto route =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (route != routes->second.end())
      return route->second;
  }
  return nullptr;
}

const Team* RouteTable::FindTeam(const std::string& key) const {
  const auto found = teams_by_key_.find(key);
  return found == teams_by_key_.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(const std::string& name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : found->second;
}

std::optional<Tier> RouteTable::UrgentStreamTier(
    const std::string& service) const {
  const auto found = urgent_tiers_by_service_.find(service);
  if (found == urgent_tiers_by_service_.end())
    return std::nullopt;
  return found->second;
}

Tier CombineTiers(std::optional<Tier> team, Tier route) {
  return team.value_or(0) * kRouteTiersPerTeamTier +
         std::clamp<Tier>(route, 0, kRouteTiersPerTeamTier - 1);
}

const std::string& PickService(const Route& route, double sample) {
  assert(!route.services.empty() && "route has no services");
  double total_weight = 0;
  for (const WeightedService& candidate : route.services)
    total_weight += candidate.weight;
  double remaining_weight = sample * total_weight;
  for (const WeightedService& candidate : route.services) {
    if (remaining_weight < candidate.weight)
      return candidate.service;
    remaining_weight -= candidate.weight;
  }
  return route.services.back().service;
}

}  // namespace teaselhill::gateway
