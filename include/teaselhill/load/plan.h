/// \file
/// Plan of a load run; docs/load-plan.md describes the file format.

#ifndef TEASELHILL_LOAD_PLAN_H_
#define TEASELHILL_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::load {

/// How a request is marked for at-most-once execution.
enum class KeyKind {
  kNone,
  kUuid7,  ///< made by the caller
  kToken,  ///< issued by the router at `POST /v1/tokens`
};

/// A factor on a stream's rate during part of the run.
struct RatePhase {
  Duration from{};
  Duration to{};
  double factor = 1;
};

/// Requests of one kind from one customer.
struct StreamPlan {
  std::string name;
  std::string bearer_key;
  std::string request_class;
  uint32_t tier = 0;         ///< for the report only
  std::string model;         ///< empty for a plain service
  std::string service;       ///< empty for a model
  std::string path = "run";  ///< below `/services/<service>/`
  double rate = 0;           ///< requests a second
  uint32_t burst_size = 1;   ///< requests that arrive together
  std::vector<RatePhase> phases;
  uint32_t prefix_pool = 1;
  uint32_t prefix_tokens = 0;
  uint32_t prompt_tokens = 32;
  uint32_t max_tokens = 256;
  std::string marker;  ///< text put into marked prompts
  double marker_share = 0;
  std::optional<Duration> target;              ///< for the whole answer
  std::optional<Duration> first_token_target;  ///< streamed answers only
  std::optional<Duration> deadline;
  double disconnect_share = 0;
  Duration disconnect_after = std::chrono::seconds(1);  ///< mean
  double resend_share = 0;
  Duration resend_after = std::chrono::seconds(1);  ///< mean
  uint32_t retries = 0;  ///< sends after not-run answers
  /// Sends after a connection was lost before the whole answer had arrived.
  uint32_t loss_resends = 0;
  KeyKind key_kind = KeyKind::kNone;
  bool non_idempotent = false;
  bool streamed = true;
};

/// Routers that receive the requests during part of the run.
struct RouterPhase {
  Duration from{};
  Duration to{};
  std::vector<size_t> routers;  ///< positions in `Plan::routers`
};

/// Checks by which the load balancer in front of the routers finds out those
/// that do not answer.
struct HealthCheckPlan {
  std::string path;
  /// Also the time after which a check without an answer has failed.
  Duration period = std::chrono::seconds(1);
  int misses = 2;  ///< in a row, until a router is left out
};

struct FaultPlan {
  Duration at{};
  std::string url;
  std::string body;
};

struct Plan {
  uint64_t seed = 1;
  Duration duration{};
  Duration drain = std::chrono::seconds(30);  ///< wait after the last arrival
  uint64_t max_requests = 200000;
  std::vector<std::string> routers;
  std::vector<RouterPhase> router_phases;
  std::optional<HealthCheckPlan> health_checks;
  std::vector<StreamPlan> streams;
  std::vector<FaultPlan> faults;
  std::vector<std::string> journals;       ///< URLs
  std::vector<std::string> journal_files;  ///< of stand-ins that may crash
};

/// kSettingInvalid names the field at fault.
Result<Plan> ParsePlan(std::string_view text);

/// Checks limits and that all targets are loopback addresses.
Status CheckPlan(const Plan& plan);

/// Whether the host of an http(s) URL is a numeric loopback address.
bool IsLoopbackUrl(std::string_view url);

/// Routers in use at `at` after the start.
std::vector<size_t> RoutersAt(const Plan& plan, Duration at);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_PLAN_H_
