/// \file
/// Life cycle of every request on the control thread.

#ifndef TEASELHILL_ROUTER_REQUEST_COORDINATOR_H_
#define TEASELHILL_ROUTER_REQUEST_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/claims/claim_table.h"
#include "teaselhill/config/config_view.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/quota/limit_share.h"
#include "teaselhill/retry/attempt_planner.h"
#include "teaselhill/retry/crash_tracker.h"
#include "teaselhill/retry/hedge_policy.h"
#include "teaselhill/retry/retry_budget.h"
#include "teaselhill/router/decision_log.h"
#include "teaselhill/router/ports.h"
#include "teaselhill/routing/routing_policy.h"
#include "teaselhill/routing/upstream_table.h"

namespace teaselhill::router {

/// What the coordinator needs to know of other hosts.
class HostDirectory {
 public:
  virtual ~HostDirectory() = default;

  /// URL under which exactly this incarnation takes callers' requests, or
  /// nothing when it is not known to be up.
  virtual std::optional<std::string> UrlOf(
      const HostIncarnation& host) const = 0;

  /// Sends new evidence about crashes to all hosts at once.
  virtual void SpreadSuspicion(const retry::CrashSuspicion& message) = 0;

  /// Tells all hosts of the failure domain at once what was sent where.
  virtual void SpreadSends() = 0;

  /// Tells all hosts of the failure domain that an upstream is leaving.
  virtual void SpreadLeaving(const routing::UpstreamLeaving& message) = 0;
};

struct CoordinatorOptions {
  std::string peer_secret;  ///< signs single-use tokens
  /// An attempt without a token for this long is ended: the engine may be
  /// frozen with its connection open.
  Duration first_token_timeout = std::chrono::seconds(20);
  Duration between_tokens_timeout = std::chrono::seconds(5);
  /// The same for a call to a plain service.
  Duration service_timeout = std::chrono::seconds(30);
  /// The same once the deadline has passed.
  Duration late_silence = std::chrono::milliseconds(500);
  /// Time without any upstream for a model before its waiting requests are
  /// given up; short enough to tell callers soon, long enough for a restart.
  Duration no_upstream_hold = std::chrono::seconds(3);
};

/// The parts that take the decisions; owned by the control thread.
struct DecisionParts {
  admission::AdmissionPolicy* admission = nullptr;
  quota::LimitShare* limits = nullptr;
  routing::UpstreamTable* upstreams = nullptr;
  routing::RoutingPolicy* routing = nullptr;
  retry::RetryBudget* budget = nullptr;
  retry::AttemptPlanner* planner = nullptr;
  retry::HedgePolicy* hedges = nullptr;
  retry::CrashTracker* crashes = nullptr;
  claims::ClaimTable* claims = nullptr;
  Rng* rng = nullptr;
};

/// Takes each request from arrival to its single final answer. Deterministic:
/// time comes in as an argument, orders go out through the traffic port.
class RequestCoordinator {
 public:
  RequestCoordinator(HostIncarnation self,
                     CoordinatorOptions options,
                     DecisionParts parts,
                     TrafficPort& traffic,
                     HostDirectory& hosts,
                     DecisionLog& log,
                     Metrics& metrics);
  ~RequestCoordinator();

  void ApplyConfig(std::shared_ptr<const config::ConfigView> view,
                   TimePoint now);

  void OnArrived(RequestInfo info, TimePoint now);
  void OnFirstToken(RequestId request, int attempt, TimePoint now);
  void OnProgress(const std::vector<TokenProgress>& progress, TimePoint now);
  void OnAttemptEnded(const AttemptEnd& end,
                      const std::shared_ptr<const KeptAnswer>& answer,
                      TimePoint now);
  void OnCallerGone(RequestId request, TimePoint now);
  void OnTokenWanted(int worker,
                     RequestId request,
                     const std::string& customer);

  /// Decisions about requests that waited for their claim.
  void OnClaimActions(const std::vector<claims::ClaimAction>& actions,
                      TimePoint now);

  /// Evidence about crashes from another host.
  void OnSuspicion(const retry::CrashSuspicion& message, TimePoint now);

  /// Starts what can be started. Call after upstreams gained room.
  void Pump(TimePoint now);

  /// Deadlines, stalled attempts and hedges; about every 20 ms.
  void Tick(TimePoint now);

  /// Refuses new requests from now on.
  void Drain() { draining_ = true; }

  size_t open_requests() const { return requests_.size(); }

  /// Output tokens that requests here still wait for, by model, spread over
  /// the time an answer usually takes.
  std::map<std::string, double> DemandByModel() const;

 private:
  struct ActiveAttempt;
  struct Request;
  class Probe;

  Request* Find(RequestId id);
  void Admit(Request& request, TimePoint now);
  bool CheckCare(Request& request, TimePoint now);
  void Park(Request& request, TimePoint now);
  void ResumeParked(TimePoint now);
  /// Refuses the newest waiting request of the least urgent tier below that of
  /// `urgent` and of its customer. Returns whether there was one.
  bool ShedForUrgency(const Request& urgent,
                      const quota::LimitRefusal& refusal,
                      TimePoint now);
  bool TakeQuota(Request& request, TimePoint now);
  bool WaitForLimit(Request& request, TimePoint now);
  void StopLimitWait(Request& request);
  void FollowDecision(Request& request,
                      const claims::ClaimDecision& decision,
                      TimePoint now);
  void Forward(Request& request, const HostIncarnation& holder, TimePoint now);
  routing::RouteRequest ToRoute(const Request& request, TimePoint now) const;
  void Start(Request& request,
             const routing::Choice& choice,
             bool hedge,
             TimePoint now);
  void FinishComplete(Request& request,
                      int attempt,
                      const AttemptEnd& end,
                      const std::shared_ptr<const KeptAnswer>& answer,
                      TimePoint now);
  void OnAttemptFailed(Request& request, const AttemptEnd& end, TimePoint now);
  void CancelOthers(Request& request, int kept, TimePoint now);
  void EndAttempt(Request& request,
                  int attempt,
                  routing::EndKind kind,
                  TimePoint now);
  void FollowPlan(Request& request,
                  const retry::AttemptPlan& plan,
                  TimePoint now);

  /// Gives a request up that is not running; `error` says why.
  void GiveUp(Request& request,
              Error error,
              Duration retry_after,
              TimePoint now);
  void Fail(Request& request, Error error, Duration retry_after, TimePoint now);
  void Erase(RequestId id, uint64_t tokens, TimePoint now);
  void FollowCrashActions(const retry::CrashActions& actions, TimePoint now);
  void ExpireQueue(TimePoint now);
  void ExpireClaims(TimePoint now);
  void EndStalledAttempts(TimePoint now);
  void StartHedges(TimePoint now);
  void GiveUpWithoutUpstream(TimePoint now);

  HostIncarnation self_;
  CoordinatorOptions options_;
  DecisionParts parts_;
  TrafficPort& traffic_;
  HostDirectory& hosts_;
  DecisionLog& log_;
  Metrics& metrics_;
  std::shared_ptr<const config::ConfigView> view_;
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;
  std::unordered_map<routing::AttemptId, std::pair<RequestId, int>> attempts_;
  std::map<std::string, TimePoint> without_upstream_;
  std::set<RequestId> parked_;
  std::map<std::string, int> limit_waiters_;  ///< by customer
  routing::AttemptId last_attempt_ = 0;
  TimePoint next_slow_tick_{};
  bool draining_ = false;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_REQUEST_COORDINATOR_H_
