/// \file
/// Interface of the placement policies, the plug-ins that choose an upstream
/// for a request.

#ifndef TEASELHILL_GATEWAY_PLACEMENT_H_
#define TEASELHILL_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/engines/engine_speeds.h"
#include "teaselhill/engines/reserve_agreement.h"
#include "teaselhill/gateway/route_table.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/gateway/upstream_health.h"
#include "teaselhill/kernel/registry.h"

namespace teaselhill::gateway {

struct PlacementOptions {
  std::string own_domain;
  std::string own_host;
  /// Prompt tokens that an engine prefills per millisecond.
  double prefill_tokens_per_ms = 36;
  /// Cost of calling a plain service outside the failure domain of this host,
  /// expressed as an additional delay.
  Duration cross_domain_cost = std::chrono::milliseconds(4);
  /// Delay that each request in flight adds at a plain service.
  Duration service_slot_cost = std::chrono::milliseconds(8);
  /// Time for which an engine is assumed to keep a shared prompt prefix in its
  /// cache after the last request with that prefix.
  Duration prefix_retention = std::chrono::seconds(20);
  /// Cost of an upstream that fails every request, expressed as an additional
  /// delay. The cost of any other upstream is this value times its failure
  /// fraction.
  Duration failure_cost = std::chrono::milliseconds(1500);
  /// Engines that serve an ordinary shared prompt prefix. The second and later
  /// engines are used while the first engine is slow.
  int engines_per_prefix = 2;
  /// Fraction of an engine's capacity that the requests of one shared prompt
  /// prefix may use before a further engine serves the prefix as well.
  double max_prefix_load_fraction = 0.7;
  /// Half-life of the counts that detect a hot shared prompt prefix.
  Duration prefix_load_half_life = std::chrono::seconds(4);
  /// Must outlive the policy. Null: all engines have the same speed.
  const engines::EngineSpeeds* engine_speeds = nullptr;
};

/// Properties of a request that placement depends on.
struct PlacementRequest {
  std::string service;
  bool is_engine = false;
  EngineSpec engine_spec;
  /// The service has streams that are more urgent than others; see
  /// RouteTable::UrgentStreamTier().
  bool has_urgent_streams = false;
  /// The request is one of these streams.
  bool is_urgent_stream = false;
  uint64_t sample = 0;  ///< random
  /// Hash of the shared prompt prefix; 0: none.
  uint64_t prefix_hash = 0;
  uint32_t shared_prefix_tokens = 0;  ///< possibly cached
  uint32_t unique_tokens = 0;         ///< after the prefix, never cached
  std::vector<std::string> excluded_upstreams;  ///< upstreams already tried
  /// Upstreams that take no request now because of a limit that they name.
  std::vector<std::string> limited_upstreams;
  /// Upstreams that are used only if no other usable upstream is left.
  std::vector<std::string> avoided_upstreams;
  /// Software version that began the stream; nothing: the request begins one.
  std::optional<std::string> required_version;
};

enum class PlacementReason {
  kAffinityOwner,  ///< first engine in the hash order of the prompt prefix
  kPrefixCached,   ///< engine assumed to have cached the prompt prefix
  kLeastDelay,     ///< a new prefill costs less than queueing elsewhere
  kNearest,        ///< plain service: least expected delay
  kRoundRobin,     ///< baseline
  kLeastLoad,      ///< baseline
  kReserved,       ///< urgent stream: least loaded of a few reserved engines
  kReserveFull,    ///< urgent stream: the reserved engines that were looked at
                   ///< are full
  kAllEjected,     ///< every upstream is ejected, so ejections are ignored
};
std::string_view PlacementReasonName(PlacementReason reason);

struct Placement {
  UpstreamEntry upstream;
  PlacementReason reason = PlacementReason::kLeastDelay;
  Duration expected_delay{};     ///< before the answer starts
  Duration second_best_delay{};  ///< expected delay of the next candidate
  double engine_speed = 1;       ///< of the upstream, see EngineSpeeds
  int candidate_count = 0;
  int ejected_count = 0;
};

/// The part of a service's engines that is reserved for urgent streams has
/// changed.
struct ReserveChange {
  std::string service;
  double fraction = 0;  ///< of the service's engines
  double own_need = 0;  ///< such a fraction, that this host estimates as needed
  double busy_fraction = 0;  ///< estimate of the load: engines that the urgent
                             ///< streams would fill, as such a fraction
  size_t hosts = 0;          ///< whose need is known
};

/// Chooses upstreams and tracks the requests sent to them. A deterministic
/// state machine: times are arguments and never decrease.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns the upstream for a request, or nothing if the service has no
  /// untried upstream.
  virtual std::optional<Placement> ChooseUpstream(
      const PlacementRequest& request,
      const UpstreamList& upstreams,
      const UpstreamHealth& health,
      TimePoint now) = 0;

  /// Returns the upstreams whose load reports should be fetched before
  /// ChooseUpstream(); empty if the policy does not use reports.
  virtual std::vector<UpstreamEntry> ReportCandidates(
      const PlacementRequest& request,
      const UpstreamList& upstreams,
      const UpstreamHealth& health,
      TimePoint now) const {
    return {};
  }

  /// A request was sent to an upstream, its answer started, or the attempt to
  /// the upstream ended. `answer_started`: whether the answer had started
  /// before the attempt ended.
  virtual void OnRequestSent(const PlacementRequest& request,
                             const UpstreamEntry& upstream,
                             TimePoint now) = 0;
  virtual void OnAnswerStarted(const PlacementRequest& request,
                               const std::string& upstream) = 0;
  virtual void OnAttemptEnded(const PlacementRequest& request,
                              const std::string& upstream,
                              bool answer_started) = 0;

  /// Time that the upstream needs for the prefill of the request, given the
  /// prompt prefixes that the upstream has cached.
  virtual Duration ExpectedPrefill(const PlacementRequest& request,
                                   const UpstreamEntry& upstream,
                                   TimePoint now) const = 0;

  /// Whether the request is placed by load reports on a calm day too.
  virtual bool AlwaysNeedsReports(const PlacementRequest& request,
                                  const UpstreamList& upstreams) const {
    return false;
  }

  /// Whether the streams of the request's service show the speeds of their
  /// engines, and the policy uses these.
  virtual bool UsesEngineSpeeds(const PlacementRequest& request,
                                const UpstreamList& upstreams) const {
    return false;
  }

  virtual std::vector<ReserveChange> TakeReserveChanges() { return {}; }

  /// What to tell the other hosts of the reserves, about once a second, and
  /// what they tell.
  virtual std::vector<engines::ReserveNeed> TakeReserveNeeds(TimePoint now) {
    return {};
  }
  virtual void OnReserveNeeds(const std::vector<engines::ReserveNeed>& needs,
                              TimePoint now) {}

  /// Removes the state of upstreams and prompt prefixes without a recent
  /// request. Call about once a second.
  virtual void ExpireUnused(TimePoint now) = 0;
};

/// Plug-ins: `affinity` and the baselines `round-robin` and `least-load`.
using PlacementRegistry =
    kernel::Registry<PlacementPolicy, const PlacementOptions&>;
using PlacementRegistration =
    kernel::Registration<PlacementPolicy, const PlacementOptions&>;

/// Untried upstreams of the service, split into usable and ejected ones.
struct EligibleUpstreams {
  std::vector<const UpstreamEntry*> usable;
  std::vector<const UpstreamEntry*> ejected;

  /// The usable upstreams, or the ejected ones if none is usable.
  const std::vector<const UpstreamEntry*>& candidates() const {
    return usable.empty() ? ejected : usable;
  }
};
EligibleUpstreams FindEligibleUpstreams(const PlacementRequest& request,
                                        const UpstreamList& upstreams,
                                        const UpstreamHealth& health,
                                        TimePoint now);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PLACEMENT_H_
