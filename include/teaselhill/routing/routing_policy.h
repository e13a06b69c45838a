/// \file
/// Interface of the plug-ins that choose an upstream for a request.

#ifndef TEASELHILL_ROUTING_ROUTING_POLICY_H_
#define TEASELHILL_ROUTING_ROUTING_POLICY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselhill/kernel/registry.h"
#include "teaselhill/routing/upstream_table.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// Settings of the policies.
struct RoutingOptions {
  std::string own_domain;
  /// Cost of leaving the host's failure domain. About the time that two more
  /// requests in a batch of 8 add to an answer of 100 tokens, so that a
  /// difference of one request does not move work to another domain.
  Duration crossing_cost = std::chrono::milliseconds(200);
  /// Candidates sampled in the own domain and as many elsewhere, besides the
  /// best prefix holders.
  int choices = 2;
  /// Places above max_batch that only urgent requests use, as a share of it.
  double urgent_headroom = 0.25;
  /// Share of idempotent non-urgent requests that probe a straggler.
  double probe_share = 0.02;
  double prefill_tokens_per_second = 5000;
  /// Pace until one was seen.
  Duration default_between_tokens = std::chrono::milliseconds(25);
};

struct RouteRequest {
  RequestId id = 0;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string target;  ///< model name, or service name of a plain service
  Tier tier = 9;
  uint32_t prompt_tokens = 0;
  uint32_t predicted_output_tokens = 0;
  bool idempotent = true;
  std::vector<uint64_t> prefix_blocks;  ///< from `PrefixBlocks`
  std::vector<std::string> excluded;    ///< upstreams already tried
  /// Set when `retry::CrashTracker` asks for isolation: only an upstream
  /// without another suspect and without non-resumable streams is chosen.
  bool isolated = false;
};

enum class ChoiceReason {
  kLeastCost,       ///< least expected time of the sampled candidates
  kPrefixAffinity,  ///< a prefix holder had the least expected time
  kOnlyCandidate,
  kProbe,      ///< a straggler or an ejected upstream is tried
  kPanic,      ///< too many are ejected; ejection was ignored
  kIsolation,  ///< the suspect of a crash runs apart from others
  kRoundRobin,
  kLeastReported,
};
std::string_view ReasonName(ChoiceReason reason);

/// Figures of one candidate for the decision log.
struct CandidateFigures {
  std::string upstream;
  int load = 0;  ///< corrected running and waiting
  int max_batch = 0;
  Duration report_age{};
  Duration queueing{};
  Duration prefill{};
  Duration decode{};
  Duration crossing{};
  Duration total{};
  uint32_t cached_blocks = 0;
};

struct Choice {
  std::string upstream;
  ChoiceReason reason = ChoiceReason::kLeastCost;
  std::vector<CandidateFigures> candidates;  ///< the chosen one is first
  int eligible = 0;                          ///< upstreams that had room
};

/// Upstreams serve the target but none has room for the request now.
struct NoCapacity {
  int serving = 0;
  int ejected = 0;
  int full = 0;
  int unfit = 0;  ///< excluded, refusing, stragglers or not isolated
};

/// No upstream that stays serves the target.
struct NoUpstream {
  int leaving = 0;
};

using RouteResult = std::variant<Choice, NoCapacity, NoUpstream>;

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  virtual RouteResult Choose(const RouteRequest& request,
                             const UpstreamTable& table,
                             Rng& rng,
                             TimePoint now) = 0;
};

using RoutingPolicyRegistry = kernel::Registry<RoutingPolicy, RoutingOptions>;
using RoutingPolicyRegistration =
    kernel::Registration<RoutingPolicy, RoutingOptions>;

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_ROUTING_POLICY_H_
