/// \file
/// Contracts and upstream assignments: the objects that operators configure.

#ifndef TEASELHILL_CONFIG_CONTRACT_H_
#define TEASELHILL_CONFIG_CONTRACT_H_

#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::config {

/// Urgency of a request class; tier 0 is the most urgent.
using Tier = int;
constexpr Tier kUrgentTier = 0;
constexpr Tier kMaxTier = 9;

/// Request class of a contract with its service level objectives.
struct ClassPolicy {
  std::string name;
  Tier tier = kMaxTier;
  /// Latency targets; zero means no target of that kind.
  Duration target_total{};
  Duration target_first_token{};
  Duration target_between_tokens{};
  /// Deadline of requests that specify no deadline; zero means no deadline.
  Duration default_deadline{};
  /// Whether requests of the class may run more than once. A request can
  /// override this default.
  bool idempotent = true;
};

/// Limits of a customer over all hosts together; zero means unlimited.
struct Limits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int concurrency = 0;
};

/// Team of a customer with its own keys. The customer's share of a class is
/// divided among the teams by weight.
struct Team {
  std::string name;
  double weight = 1;
  /// SHA-256 of each bearer key, 64 lower-case hexadecimal digits.
  std::vector<std::string> key_hashes;
};

/// The contract of one customer.
struct Contract {
  std::string customer;
  /// Weight of this customer against the other customers; sets the customer's
  /// share of each class.
  double weight = 1;
  Limits limits;
  std::vector<Team> teams;
  std::vector<ClassPolicy> classes;
  /// Class of requests that specify no class; must be in `classes`.
  std::string default_class;
  std::vector<std::string> models;
  std::vector<std::string> services;

  /// Returns the class called `name`, or null. The pointer is valid as long as
  /// `classes` is not changed.
  const ClassPolicy* FindClass(const std::string& name) const;
};

enum class UpstreamKind { kEngine, kService };

/// Configuration of one upstream by the operators.
struct UpstreamAssignment {
  std::string name;
  std::string url;  ///< http://address:port or https://address:port
  std::string domain;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::vector<std::string> models;  ///< models that an engine should serve
  std::string service;              ///< service name of a plain service
  /// Maximum number of concurrent requests from all hosts together. If 0, the
  /// limit that the upstream reports applies.
  int max_concurrency = 0;
  bool draining = false;
  bool checks_fencing = true;  ///< the upstream rejects stale fencing numbers
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONTRACT_H_
