/// \file
/// Safety checks of a change against the other objects in force.

#include <algorithm>
#include <set>

#include "object_table.h"

namespace teaselhill::config {

namespace {

/// Capacity of the upstreams that are assigned to a model or service.
struct Capacity {
  int upstreams = 0;        ///< upstreams that accept new requests
  int draining = 0;         ///< upstreams that are draining or closed
  bool unbounded = false;   ///< an upstream has no concurrency limit
  int64_t concurrency = 0;  ///< sum of the concurrency limits

  void Add(const UpstreamAssignment& assignment, bool closed) {
    if (assignment.draining || closed) {
      ++draining;
      return;
    }
    ++upstreams;
    unbounded |= assignment.max_concurrency == 0;
    concurrency += assignment.max_concurrency;
  }
};

/// What upstreams serve: a model (engines) or a named service (plain services).
struct Target {
  bool is_service = false;
  std::string name;

  friend bool operator<(const Target& a, const Target& b) {
    return a.is_service != b.is_service ? b.is_service : a.name < b.name;
  }
};

std::string DescribeTarget(const Target& target) {
  return (target.is_service ? "service '" : "model '") + target.name + "'";
}

std::set<Target> TargetsOf(const UpstreamAssignment& assignment) {
  std::set<Target> targets;
  if (assignment.kind == UpstreamKind::kService)
    targets.insert({true, assignment.service});
  for (const std::string& model : assignment.models)
    targets.insert({false, model});
  return targets;
}

std::set<Target> TargetsOf(const Contract& contract) {
  std::set<Target> targets;
  for (const std::string& model : contract.models)
    targets.insert({false, model});
  for (const std::string& service : contract.services)
    targets.insert({true, service});
  return targets;
}

bool Serves(const UpstreamAssignment& assignment, const Target& target) {
  if (target.is_service)
    return assignment.kind == UpstreamKind::kService &&
           assignment.service == target.name;
  return std::find(assignment.models.begin(), assignment.models.end(),
                   target.name) != assignment.models.end();
}

Capacity CapacityOf(const ObjectTable& objects,
                    const Target& target,
                    const std::string& excluded = "") {
  Capacity capacity;
  for (const auto& [id, object] : objects)
    if (object.live && object.assignment && id.name != excluded &&
        Serves(*object.assignment, target))
      capacity.Add(*object.assignment, object.closed);
  return capacity;
}

const Contract* CurrentContract(const ObjectTable& objects,
                                const std::string& customer) {
  const auto found = objects.find({ObjectKind::kContract, customer});
  return found != objects.end() && found->second.live
             ? found->second.contract.get()
             : nullptr;
}

std::string CheckKeys(const ObjectTable& objects, const Contract& contract) {
  std::set<std::string> keys;
  for (const Team& team : contract.teams)
    keys.insert(team.key_hashes.begin(), team.key_hashes.end());
  for (const auto& [id, object] : objects) {
    if (!object.live || !object.contract || id.name == contract.customer)
      continue;
    for (const Team& team : object.contract->teams)
      for (const std::string& key : team.key_hashes)
        if (keys.count(key) != 0)
          return "key " + key.substr(0, 12) + "... belongs to team '" +
                 team.name + "' of customer '" + id.name + "'";
  }
  return "";
}

/// Returns a description of the first contract that could no longer be met if
/// the capacity of `target` changed from `before` to `after`, or an empty
/// string if every contract could be met.
std::string CheckCapacity(const ObjectTable& objects,
                          const Target& target,
                          const Capacity& before,
                          const Capacity& after) {
  const bool removes_last_upstream =
      before.upstreams > 0 && after.upstreams == 0;
  const bool lowers_limit =
      !after.unbounded &&
      (before.unbounded || after.concurrency < before.concurrency);
  if (!removes_last_upstream && !lowers_limit)
    return "";
  for (const auto& [id, object] : objects) {
    if (!object.live || !object.contract ||
        TargetsOf(*object.contract).count(target) == 0)
      continue;
    if (removes_last_upstream)
      return DescribeTarget(target) + " of customer '" + id.name +
             "' would have no upstream left";
    const int guaranteed = object.contract->limits.concurrency;
    if (guaranteed > after.concurrency)
      return DescribeTarget(target) + " would be limited to " +
             std::to_string(after.concurrency) +
             " requests at a time, below the concurrency limit of " +
             std::to_string(guaranteed) + " promised to customer '" + id.name +
             "'";
  }
  return "";
}

}  // namespace

std::string CheckContractPut(const ObjectTable& objects,
                             const Contract& contract) {
  const std::string key_conflict = CheckKeys(objects, contract);
  if (!key_conflict.empty())
    return key_conflict;
  // A target is checked only if the change adds the target or raises the
  // concurrency limit, so that a contract can be changed in other ways while
  // its upstreams are being repaired.
  const Contract* current = CurrentContract(objects, contract.customer);
  const std::set<Target> current_targets =
      current ? TargetsOf(*current) : std::set<Target>();
  const int guaranteed = current ? current->limits.concurrency : 0;
  for (const Target& target : TargetsOf(contract)) {
    const bool added = current_targets.count(target) == 0;
    const bool raised = contract.limits.concurrency > guaranteed;
    if (!added && !raised)
      continue;
    const Capacity capacity = CapacityOf(objects, target);
    if (added && capacity.upstreams == 0)
      return capacity.draining == 0
                 ? "unknown " + DescribeTarget(target) +
                       ": no upstream is assigned to it"
                 : "every upstream of " + DescribeTarget(target) +
                       " is draining";
    if (!capacity.unbounded &&
        contract.limits.concurrency > capacity.concurrency)
      return "limits.concurrency of " +
             std::to_string(contract.limits.concurrency) + " is above the " +
             std::to_string(capacity.concurrency) +
             " requests at a time that the upstreams of " +
             DescribeTarget(target) + " take";
  }
  return "";
}

std::string CheckAssignmentChange(const ObjectTable& objects,
                                  const std::string& name,
                                  const UpstreamAssignment* next) {
  std::set<Target> affected;
  const auto found = objects.find({ObjectKind::kAssignment, name});
  const ConfiguredObject* current =
      found != objects.end() && found->second.live ? &found->second : nullptr;
  if (current && current->assignment)
    affected = TargetsOf(*current->assignment);
  if (next) {
    for (const auto& [id, object] : objects)
      if (object.live && object.assignment && id.name != name &&
          object.assignment->url == next->url)
        return "url " + next->url + " belongs to upstream '" + id.name + "'";
  }
  for (const Target& target : affected) {
    const Capacity before = CapacityOf(objects, target);
    Capacity after = CapacityOf(objects, target, name);
    if (next && Serves(*next, target))
      after.Add(*next, false);
    std::string reason = CheckCapacity(objects, target, before, after);
    if (!reason.empty())
      return reason;
  }
  return "";
}

}  // namespace teaselhill::config
