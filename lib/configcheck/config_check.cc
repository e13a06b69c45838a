/// \file
/// Checks and comparison of configurations.

#include "teaselhill/configcheck/config_check.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace teaselhill::configcheck {

using gateway::Route;
using gateway::RouteConfig;
using gateway::RouteKind;
using gateway::RouteTable;
using gateway::Service;
using gateway::Team;
using gateway::Tier;
using gateway::WeightedService;

namespace {

constexpr size_t kShownKeyCharacters = 4;

/// Of a shorter key, four characters are too large a part to be shown.
constexpr size_t kMinShownKeyBytes = 12;

std::string Quote(const std::string& name) {
  return "'" + name + "'";
}

std::string NumberText(double number) {
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::digits10);
  text << number;
  return text.str();
}

std::string DurationText(Duration duration) {
  return NumberText(ToMilliseconds(duration)) + " ms";
}

std::string FlagText(bool flag) {
  return flag ? "true" : "false";
}

std::string KindText(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non-idempotent";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::string TierText(const std::optional<Tier>& tier) {
  return tier ? std::to_string(*tier) : "none";
}

std::string ServicesText(const Route& route) {
  std::string text;
  for (const WeightedService& weighted : route.services)
    text += (text.empty() ? "" : ", ") + Quote(weighted.service) +
            " of weight " + NumberText(weighted.weight);
  return text.empty() ? "none" : text;
}

std::string PoolText(const std::optional<duties::PoolSpec>& pool) {
  if (!pool)
    return "none";
  std::string text = std::to_string(pool->min_servers) + " to " +
                     std::to_string(pool->max_servers) + " servers, ready in " +
                     DurationText(pool->boot_time) + ", reclaimable at " +
                     NumberText(pool->reclaimable_price);
  for (const auto& [domain, price] : pool->domain_prices)
    text += ", " + NumberText(price) + " in " + Quote(domain);
  return text;
}

std::string EngineText(const Service& service) {
  if (!service.is_engine)
    return "none";
  const gateway::EngineSpec& spec = service.engine_spec;
  return std::to_string(spec.slots) + " slots, " +
         std::to_string(spec.event_tokens) + " tokens an event, memory for " +
         std::to_string(spec.memory_tokens) + " tokens of " +
         std::to_string(spec.token_bytes) + " bytes";
}

class ConfigChecker {
 public:
  explicit ConfigChecker(const RouteConfig& config)
      : config_(config), table_(config) {}

  std::vector<Finding> Run() {
    CheckVersion();
    CheckNames("route", Severity::kWarning, config_.routes);
    for (const Route& route : table_.config().routes)
      CheckRoute(route);
    CheckNames("service", Severity::kError, config_.services);
    CheckServices();
    CheckNames("team", Severity::kWarning, config_.teams);
    CheckTeams();
    for (const std::string& warning : config_.warnings)
      findings_.push_back(FindingFromDecoder(warning));
    return std::move(findings_);
  }

 private:
  void Add(Severity severity, const std::string& message) {
    findings_.push_back({severity, place_, message});
  }
  void AddError(const std::string& message) { Add(Severity::kError, message); }
  void AddWarning(const std::string& message) {
    Add(Severity::kWarning, message);
  }

  void CheckVersion() {
    place_ = "version";
    // The decoder converts a negative number to one in the upper half.
    if (config_.version > std::numeric_limits<int64_t>::max())
      AddError("the version is negative");
    if (config_.version == 0)
      AddWarning("the version is 0, so no other may have been in force");
  }

  /// A second service of a name is never used. Routes and teams are found by
  /// other fields; those of one name share their statistics.
  template <typename Entry>
  void CheckNames(const std::string& type,
                  Severity severity_of_repetition,
                  const std::vector<Entry>& entries) {
    std::map<std::string, size_t> counts;
    for (const Entry& entry : entries)
      ++counts[entry.name];
    for (const auto& [name, count] : counts) {
      place_ = type + " " + Quote(name);
      if (name.empty())
        AddError("the name is empty");
      if (count > 1)
        Add(severity_of_repetition,
            "the name is used " + std::to_string(count) + " times");
    }
  }

  void CheckRoute(const Route& route) {
    place_ = "route " + Quote(route.name);
    CheckMatch(route);
    CheckRouteServices(route);
    CheckLimits(route);
    CheckStreamFields(route);
  }

  /// `route` is an entry of the table's configuration.
  void CheckMatch(const Route& route) {
    const std::string& prefix = route.path_prefix;
    if (route.host.empty())
      AddError("the host is empty");
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
      return AddError("path prefix " + Quote(prefix) +
                      " does not begin and end with a slash, so no path "
                      "matches");
    if (prefix.find_first_of("?#") != std::string::npos)
      return AddError("path prefix " + Quote(prefix) +
                      " holds '?' or '#', so no path matches");
    const Route* match = table_.FindRoute(route.host, prefix);
    if (match && match != &route)
      AddError("never matches: route " + Quote(match->name) +
               " has the same host and path prefix " + Quote(prefix));
  }

  void CheckRouteServices(const Route& route) {
    if (route.services.empty())
      return AddError("has no service");
    double total_weight = 0;
    std::set<std::string> names;
    for (const WeightedService& weighted : route.services) {
      used_services_.insert(weighted.service);
      total_weight += std::max(0.0, weighted.weight);
      CheckWeightedService(weighted);
      if (!names.insert(weighted.service).second)
        AddWarning("service " + Quote(weighted.service) + " is named twice");
    }
    if (!(total_weight > 0))
      AddError("no service has a weight above 0");
  }

  void CheckWeightedService(const WeightedService& weighted) {
    const std::string name = Quote(weighted.service);
    if (!table_.FindService(weighted.service))
      AddError("service " + name + " does not exist");
    if (weighted.weight < 0)
      AddError("the weight of service " + name + " is negative");
    if (weighted.weight == 0)
      AddWarning("service " + name + " has the weight 0 and gets no request");
  }

  void CheckLimits(const Route& route) {
    if (route.max_attempts < 1)
      AddError("attempts is " + std::to_string(route.max_attempts) +
               ", so no request may be sent");
    if (route.timeout <= Duration::zero())
      return AddError("the timeout of " + DurationText(route.timeout) +
                      " is not positive");
    CheckTarget("answer target", route.answer_target, route.timeout);
    CheckTarget("pause target", route.event_gap_target, route.timeout);
  }

  void CheckTarget(const std::string& name, Duration target, Duration timeout) {
    if (target < Duration::zero())
      AddError("the " + name + " of " + DurationText(target) + " is negative");
    if (target > timeout)
      AddError("the " + name + " of " + DurationText(target) +
               " is above the timeout of " + DurationText(timeout));
  }

  void CheckStreamFields(const Route& route) {
    CheckTier(route.tier);
    if (route.kind == RouteKind::kStream)
      return;
    if (route.resumable)
      AddWarning("is resumable but no stream, which has no effect");
    if (route.event_gap_target != Duration::zero())
      AddWarning("has a pause target but is no stream");
  }

  void CheckTier(Tier tier) {
    constexpr Tier kMaxTier = gateway::kRouteTiersPerTeamTier - 1;
    if (tier < 0 || tier > kMaxTier)
      AddWarning("tier " + std::to_string(tier) + " counts as " +
                 std::to_string(std::clamp<Tier>(tier, 0, kMaxTier)));
  }

  void CheckServices() {
    for (const Service& service : config_.services) {
      place_ = "service " + Quote(service.name);
      if (used_services_.count(service.name) == 0)
        AddWarning("no route uses the service");
      if (service.pool && service.pool->min_servers > service.pool->max_servers)
        AddError("min of " + std::to_string(service.pool->min_servers) +
                 " servers is above max of " +
                 std::to_string(service.pool->max_servers));
    }
  }

  void CheckTeams() {
    std::map<std::string, std::string> teams_by_key;
    for (const Team& team : config_.teams) {
      place_ = "team " + Quote(team.name);
      if (team.keys.empty() && config_.requires_key)
        AddWarning("has no API key, and requests need one");
      if (team.tier && *team.tier < 0)
        AddWarning("tier " + std::to_string(*team.tier) + " is negative");
      for (const std::string& key : team.keys)
        CheckKey(team, key, &teams_by_key);
    }
    CheckKeysExist(!teams_by_key.empty());
  }

  void CheckKey(const Team& team,
                const std::string& key,
                std::map<std::string, std::string>* teams_by_key) {
    if (key.empty())
      return AddError("an API key is empty");
    const auto [holder, is_new] = teams_by_key->emplace(key, team.name);
    if (is_new)
      return;
    if (holder->second == team.name)
      return AddWarning("API key " + MaskKey(key) + " is listed twice");
    AddError("API key " + MaskKey(key) + " belongs to team " +
             Quote(holder->second) + " already");
  }

  void CheckKeysExist(bool have_keys) {
    place_ = "teams";
    const bool any_needs_key =
        std::any_of(config_.routes.begin(), config_.routes.end(),
                    [](const Route& route) { return !route.anonymous; });
    if (config_.requires_key && any_needs_key && !have_keys)
      AddError("requests need an API key and no team has one");
  }

  const RouteConfig& config_;
  /// Finds what the gateway would find, so that both read a host, a path prefix
  /// and a key alike.
  const RouteTable table_;
  std::string place_;
  std::set<std::string> used_services_;
  std::vector<Finding> findings_;
};

class ConfigComparison {
 public:
  std::vector<Finding> Run(const RouteConfig& in_force,
                           const RouteConfig& next) {
    CompareVersions(in_force.version, next.version);
    CompareEntries("route", in_force.routes, next.routes);
    CompareEntries("service", in_force.services, next.services);
    place_ = "teams";
    Change("requests need an API key", FlagText(in_force.requires_key),
           FlagText(next.requires_key));
    CompareEntries("team", in_force.teams, next.teams);
    return std::move(findings_);
  }

 private:
  void Add(const std::string& message) {
    findings_.push_back({Severity::kInfo, place_, message});
  }

  void Change(const std::string& name,
              const std::string& old_text,
              const std::string& new_text) {
    if (old_text != new_text)
      Add(name + " changes from " + old_text + " to " + new_text);
  }

  void CompareVersions(uint64_t in_force, uint64_t next) {
    if (next > in_force)
      return;
    findings_.push_back(
        {Severity::kError, "version",
         "version " + std::to_string(next) + " is not above version " +
             std::to_string(in_force) + " in force, so hosts ignore it"});
  }

  /// Entries by name; the second of a name is one of its own.
  template <typename Entry>
  static std::map<std::pair<std::string, size_t>, const Entry*> Index(
      const std::vector<Entry>& entries) {
    std::map<std::string, size_t> counts;
    std::map<std::pair<std::string, size_t>, const Entry*> index;
    for (const Entry& entry : entries)
      index[{entry.name, counts[entry.name]++}] = &entry;
    return index;
  }

  template <typename Entry>
  void CompareEntries(const std::string& type,
                      const std::vector<Entry>& in_force,
                      const std::vector<Entry>& next) {
    const auto old_index = Index(in_force);
    const auto new_index = Index(next);
    for (const auto& [id, entry] : old_index) {
      place_ = type + " " + Quote(id.first);
      const auto found = new_index.find(id);
      if (found == new_index.end())
        Add("is removed");
      else
        Compare(*entry, *found->second);
    }
    for (const auto& [id, entry] : new_index) {
      place_ = type + " " + Quote(id.first);
      if (old_index.count(id) == 0)
        Add("is added");
    }
  }

  void Compare(const Route& a, const Route& b) {
    Change("host", Quote(a.host), Quote(b.host));
    Change("path prefix", Quote(a.path_prefix), Quote(b.path_prefix));
    Change("kind", KindText(a.kind), KindText(b.kind));
    Change("timeout", DurationText(a.timeout), DurationText(b.timeout));
    Change("answer target", DurationText(a.answer_target),
           DurationText(b.answer_target));
    Change("pause target", DurationText(a.event_gap_target),
           DurationText(b.event_gap_target));
    Change("tier", std::to_string(a.tier), std::to_string(b.tier));
    Change("choice of services", ServicesText(a), ServicesText(b));
    Change("attempts", std::to_string(a.max_attempts),
           std::to_string(b.max_attempts));
    Change("anonymous", FlagText(a.anonymous), FlagText(b.anonymous));
    Change("resumable", FlagText(a.resumable), FlagText(b.resumable));
  }

  void Compare(const Service& a, const Service& b) {
    Change("health path", Quote(a.health_path), Quote(b.health_path));
    Change("engine", EngineText(a), EngineText(b));
    Change("scale", PoolText(a.pool), PoolText(b.pool));
  }

  void Compare(const Team& a, const Team& b) {
    Change("tier", TierText(a.tier), TierText(b.tier));
    const std::set<std::string> old_keys(a.keys.begin(), a.keys.end());
    const std::set<std::string> new_keys(b.keys.begin(), b.keys.end());
    for (const std::string& key : old_keys) {
      if (new_keys.count(key) == 0)
        Add("API key " + MaskKey(key) + " is removed");
    }
    for (const std::string& key : new_keys) {
      if (old_keys.count(key) == 0)
        Add("API key " + MaskKey(key) + " is added");
    }
  }

  std::string place_;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> CheckConfig(const RouteConfig& config) {
  return ConfigChecker(config).Run();
}

std::vector<Finding> CompareConfigs(const RouteConfig& in_force,
                                    const RouteConfig& next) {
  return ConfigComparison().Run(in_force, next);
}

Finding FindingFromDecoder(std::string_view text) {
  constexpr std::string_view kSeparator = ": ";
  const size_t end = text.find(kSeparator);
  if (end == std::string_view::npos)
    return {Severity::kError, "configuration", std::string(text)};
  return {Severity::kError, std::string(text.substr(0, end)),
          std::string(text.substr(end + kSeparator.size()))};
}

std::string MaskKey(std::string_view key) {
  if (key.size() < kMinShownKeyBytes)
    return "'...'";
  return "'" + std::string(key.substr(0, kShownKeyCharacters)) + "...'";
}

}  // namespace teaselhill::configcheck
