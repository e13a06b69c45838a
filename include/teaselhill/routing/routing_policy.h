/// \file
/// Interface of the plug-ins that choose an upstream for a request.

#ifndef TEASELHILL_ROUTING_ROUTING_POLICY_H_
#define TEASELHILL_ROUTING_ROUTING_POLICY_H_

#include <cstdint>
#include <optional>
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

/// Settings of the routing policies.
struct RoutingOptions {
  std::string own_domain;
  /// Cost of an upstream outside the host's failure domain. The cost is about
  /// the time that two more requests in a batch of 8 add to an answer of 100
  /// tokens. A load difference of one request therefore does not move work to
  /// another domain.
  Duration crossing_cost = std::chrono::milliseconds(200);
  /// Number of candidates drawn in the own failure domain, and again in the
  /// other domains. Upstreams with a cached prefix are considered in addition.
  int sample_size = 2;
  /// Number of requests by which only the urgent tier may exceed max_batch, as
  /// a fraction of max_batch.
  double urgent_headroom_fraction = 0.25;
  /// Fraction of the idempotent non-urgent requests that probe a straggler.
  double straggler_probe_fraction = 0.02;
  double prefill_tokens_per_second = 5000;
  /// Time per token that is assumed for an upstream without a measurement.
  Duration default_time_per_token = std::chrono::milliseconds(25);
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
  /// Software version that wrote what the caller has got of the answer;
  /// nothing: the answer has not begun.
  std::optional<std::string> required_version;
  /// Set when `retry::CrashTracker` asks for isolation: only an upstream
  /// without other crash suspects and without non-resumable streams is chosen.
  bool isolated = false;
};

/// Whether the request was tried at the upstream, or cannot go on there.
bool IsExcluded(const RouteRequest& request,
                const UpstreamTable& table,
                const Upstream& upstream);

enum class ChoiceReason {
  kLeastCost,       ///< least expected time of the sampled candidates
  kPrefixAffinity,  ///< as kLeastCost; the upstream caches the prefix
  kOnlyCandidate,
  kProbe,      ///< the request probes a straggler or ejected upstream
  kPanic,      ///< most upstreams are ejected; ejection was ignored
  kIsolation,  ///< the request is an isolated crash suspect
  kRoundRobin,
  kLeastReported,
};
std::string_view ChoiceReasonName(ChoiceReason reason);

/// Load and expected times of one candidate, for the decision log.
struct CandidateEstimate {
  std::string upstream;
  int load = 0;  ///< see `UpstreamTable::CorrectedLoad`
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
  std::vector<CandidateEstimate> candidates;  ///< the chosen one is first
  int eligible = 0;                           ///< upstreams with a free slot
};

/// Upstreams serve the target, but none can accept the request now.
struct NoCapacity {
  int serving = 0;
  int ejected = 0;
  int full = 0;
  int unsuitable = 0;  ///< excluded, refusing, a straggler or not isolated
};

/// No upstream serves the target, except for those that are leaving.
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
