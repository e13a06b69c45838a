/// \file
/// Routes, services and teams of one configuration version.

#ifndef TEASELHILL_GATEWAY_ROUTE_TABLE_H_
#define TEASELHILL_GATEWAY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaselhill/duties/pool_spec.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Urgency: 0 is the most urgent.
using Tier = int;

enum class RouteKind {
  kIdempotent,     ///< may run any number of times
  kNonIdempotent,  ///< may run once at most
  kStream,         ///< answered by an event stream; may run once at most unless
                   ///< resumable
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< starts and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{};        ///< maximum time until the end of the answer
  Duration answer_target{};  ///< until the answer or its first event
  /// Maximum time between two events; zero: no target.
  Duration event_gap_target{};
  Tier tier = 0;
  std::vector<WeightedService> services;  ///< never empty
  int max_attempts = 1;    ///< attempts in which one request may run
  bool anonymous = false;  ///< requests need no API key
  bool resumable = false;  ///< a stream that can continue after an event id

  /// Whether a request that may have run may be sent again.
  bool retryable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// What each model engine of a service is configured with; 0: unknown.
struct EngineSpec {
  int64_t slots = 0;          ///< requests that run at once
  int64_t event_tokens = 0;   ///< tokens of one event of a stream
  int64_t memory_tokens = 0;  ///< of running requests and cached prompts
  int64_t token_bytes = 0;    ///< memory of one token
};

struct Service {
  std::string name;
  bool is_engine = false;   ///< model engines, which cache prompt prefixes
  std::string health_path;  ///< of a health check; empty: unknown
  /// If its number of servers is ordered.
  std::optional<duties::PoolSpec> pool;
  EngineSpec engine_spec{};
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::optional<Tier> tier;  ///< takes precedence over the tier of the route
};

/// Route tiers that are distinguished within one tier of a team.
constexpr Tier kRouteTiersPerTeamTier = 3;

/// Combines two tiers so that requests are ordered by the tier of their team,
/// and those of equal team tiers by the tier of their route. A team without a
/// tier counts as the most urgent.
Tier CombineTiers(std::optional<Tier> team, Tier route);

/// Contents of one configuration version, before they are indexed.
struct RouteConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Team> teams;
  bool requires_key = false;
  /// Faults that leave out a part of a service but not the service.
  std::vector<std::string> warnings;
};

/// Routes, services and API keys of one configuration version, indexed for
/// lookup. Immutable, so any thread may read it.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  uint64_t version() const { return config_.version; }
  const RouteConfig& config() const { return config_; }

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  /// A port after the host's name is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// Returns the team that `key` belongs to, or null.
  const Team* FindTeam(const std::string& key) const;

  const Service* FindService(const std::string& name) const;

  /// Whether the number of servers of any service is ordered.
  bool has_pools() const { return has_pools_; }

  /// Tier of the most urgent streams of the service; nothing unless there are
  /// less urgent streams too and the most urgent ones have a target for the
  /// time between two events.
  std::optional<Tier> UrgentStreamTier(const std::string& service) const;

 private:
  void IndexUrgentTiers();

  RouteConfig config_;
  /// Routes by lower-case host, then by path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      routes_by_host_;
  std::unordered_map<std::string, const Team*> teams_by_key_;
  std::unordered_map<std::string, const Service*> services_by_name_;
  bool has_pools_ = false;
  std::unordered_map<std::string, Tier> urgent_tiers_by_service_;
};

/// Picks a service of the route at random by weight. `sample` is a random
/// sample, uniform in [0, 1).
const std::string& PickService(const Route& route, double sample);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ROUTE_TABLE_H_
