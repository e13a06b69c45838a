/// \file
/// Contracts and upstream assignments: the objects that operators configure.

#ifndef TEASELHILL_CONFIG_CONTRACT_H_
#define TEASELHILL_CONFIG_CONTRACT_H_

#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::config {

/// Tier 0 is the most urgent.
using Tier = int;
constexpr Tier kUrgentTier = 0;
constexpr Tier kMaxTier = 9;

/// A request class of a contract with its service level.
struct ClassPolicy {
  std::string name;
  Tier tier = kMaxTier;
  /// Targets of the service level; zero means no target of that kind.
  Duration target_total{};
  Duration target_first_token{};
  Duration target_between_tokens{};
  /// Deadline of a request that names none; zero means no deadline.
  Duration default_deadline{};
  /// Whether requests of the class may run more than once unless they say
  /// otherwise.
  bool idempotent = true;
};

/// Limits over all hosts together; zero means unlimited.
struct Limits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int concurrency = 0;
};

/// A team of a customer with its own keys. Teams share the customer's part of
/// a class by weight.
struct Team {
  std::string name;
  double weight = 1;
  /// SHA-256 of each bearer key, 64 lower-case hexadecimal digits.
  std::vector<std::string> key_hashes;
};

/// The contract of one customer.
struct Contract {
  std::string customer;
  /// Share of each class relative to the other customers.
  double weight = 1;
  Limits limits;
  std::vector<Team> teams;
  std::vector<ClassPolicy> classes;
  /// Class of a request that names none; must be in `classes`.
  std::string default_class;
  std::vector<std::string> models;
  std::vector<std::string> services;

  const ClassPolicy* FindClass(const std::string& name) const;
};

enum class UpstreamKind { kEngine, kService };

/// What operators want of one upstream.
struct UpstreamAssignment {
  std::string name;
  std::string url;  ///< http://address:port or https://address:port
  std::string domain;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::vector<std::string> models;  ///< models an engine should serve
  std::string service;              ///< service name of a plain service
  int max_concurrency = 0;  ///< requests at a time in all; 0: as reported
  bool draining = false;
  bool checks_fencing = true;  ///< whether it refuses old fencing numbers
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONTRACT_H_
