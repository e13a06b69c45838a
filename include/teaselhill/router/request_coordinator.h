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

/// Looks up other hosts and broadcasts the coordinator's state changes to them.
class FleetPort {
 public:
  virtual ~FleetPort() = default;

  /// Returns the URL at which exactly this incarnation accepts callers'
  /// requests, or nullopt if it is not known to be up.
  virtual std::optional<std::string> UrlOf(
      const HostIncarnation& host) const = 0;

  /// Broadcasts new crash evidence to all hosts without delay.
  virtual void BroadcastCrashSuspicion(
      const retry::CrashSuspicion& message) = 0;

  /// Broadcasts, ahead of the periodic message, how many attempts this host has
  /// in flight at upstreams where its number of crash suspects in flight has
  /// changed or is due to be repeated. Goes to all hosts of the failure domain.
  virtual void BroadcastUpstreamSends() = 0;

  /// Broadcasts which upstreams are leaving to all hosts of the failure domain.
  virtual void BroadcastUpstreamLeaving(
      const routing::UpstreamLeaving& message) = 0;
};

struct CoordinatorOptions {
  std::string peer_secret;  ///< signs single-use tokens
  /// Time without a first token after which an attempt is stalled; an engine
  /// may be frozen while its connection stays open. A stalled attempt is
  /// replaced if another can begin at once, and goes on otherwise.
  Duration first_token_timeout = std::chrono::seconds(20);
  Duration between_tokens_timeout = std::chrono::seconds(5);
  /// Time after which a call to a plain service is stalled.
  Duration service_timeout = std::chrono::seconds(30);
  /// Time without progress after which an attempt ends that cannot be replaced,
  /// for a request without a deadline.
  Duration unbounded_timeout = std::chrono::seconds(60);
  /// Upper bound of the timeouts above for a request whose deadline has
  /// passed, unless it has a claim.
  Duration overdue_timeout = std::chrono::milliseconds(500);
  /// Time without an available upstream for a model or service after which the
  /// requests queued for it fail. Short enough for an early error, long enough
  /// for an upstream to restart.
  Duration no_upstream_timeout = std::chrono::seconds(3);
};

/// Components whose decisions the coordinator carries out. Owned by the control
/// thread; must outlive the coordinator.
struct DecisionComponents {
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

/// Drives each request from arrival to its single final answer. Deterministic:
/// time is passed in as an argument, commands go out through the traffic port.
class RequestCoordinator {
 public:
  RequestCoordinator(HostIncarnation self,
                     CoordinatorOptions options,
                     DecisionComponents components,
                     TrafficPort& traffic,
                     FleetPort& fleet,
                     DecisionLog& decision_log,
                     Metrics& metrics);
  ~RequestCoordinator();

  void ApplyConfig(std::shared_ptr<const config::ConfigView> view,
                   TimePoint now);

  void OnArrived(RequestInfo info, TimePoint now);
  void OnFirstToken(RequestId request, int attempt, TimePoint now);
  void OnProgress(const std::vector<TokenProgress>& progress, TimePoint now);
  void OnAttemptEnded(const AttemptEnd& end,
                      const std::shared_ptr<const StoredAnswer>& answer,
                      TimePoint now);
  void OnCallerDisconnected(RequestId request, TimePoint now);
  void OnIdempotencyTokenRequested(int worker,
                                   RequestId request,
                                   const std::string& customer);

  /// Continues requests whose claim has been decided.
  void OnClaimActions(const std::vector<claims::ClaimAction>& actions,
                      TimePoint now);

  /// Handles crash evidence from another host.
  void OnSuspicion(const retry::CrashSuspicion& message, TimePoint now);

  /// Starts queued requests for which an upstream has capacity. Call after
  /// upstreams gained capacity.
  void StartQueuedRequests(TimePoint now);

  /// Enforces deadlines, times out stalled attempts and starts hedges. Call
  /// about every 20 ms.
  void Tick(TimePoint now);

  /// Stops admitting requests that arrive from now on. Open requests continue
  /// until `final_answers`, and stored answers are still replayed. An attempt
  /// starts only if it is likely to end by then. Tick() ends what is still open
  /// at that time.
  void Drain(TimePoint final_answers, TimePoint now);

  size_t open_requests() const { return requests_.size(); }

  /// Returns the demand at this host in tokens/s by model: the output tokens
  /// that open requests still need, divided by a fixed time.
  std::map<std::string, double> DemandTokensPerSecond() const;

 private:
  struct ActiveAttempt;
  struct Request;
  class RoutingProbe;

  Request* FindRequest(RequestId id);
  void AdmitRequest(Request& request, TimePoint now);
  bool CheckCrashAdvice(Request& request, TimePoint now);
  void SuspendRequest(Request& request, TimePoint now);
  void ResumeSuspended(TimePoint now);
  /// Sheds one queued request that belongs to the customer of `urgent`, is of a
  /// less urgent tier and cannot have run: the newest one of the least urgent
  /// tier. Returns false if there is none.
  bool ShedLessUrgentRequest(const Request& urgent,
                             const quota::LimitRefusal& refusal,
                             TimePoint now);
  bool AcquireQuota(Request& request, TimePoint now);
  bool WaitForLimit(Request& request, TimePoint now);
  void EndLimitWait(Request& request);
  void ApplyClaimDecision(Request& request,
                          const claims::ClaimDecision& decision,
                          TimePoint now);
  void ForwardRequest(Request& request,
                      const HostIncarnation& holder,
                      TimePoint now);
  /// Whether the answer can go on at no upstream now, while other requests for
  /// its target can start. It would hold these up in the queue.
  bool IsStuckAtVersion(const Request& request, TimePoint now) const;
  routing::RouteRequest MakeRouteRequest(const Request& request,
                                         TimePoint now) const;
  void StartAttempt(Request& request,
                    const routing::Choice& choice,
                    bool hedge,
                    TimePoint now);
  void CompleteRequest(Request& request,
                       int attempt,
                       const AttemptEnd& end,
                       const std::shared_ptr<const StoredAnswer>& answer,
                       TimePoint now);
  void OnAttemptFailed(Request& request, const AttemptEnd& end, TimePoint now);
  void LogFailedAttempt(const Request& request, const AttemptEnd& end);
  void CancelOtherAttempts(Request& request, int kept_attempt, TimePoint now);
  void EndAttempt(Request& request,
                  int attempt,
                  routing::EndKind kind,
                  TimePoint now);
  void ApplyAttemptPlan(Request& request,
                        const retry::AttemptPlan& plan,
                        TimePoint now);

  /// Abandons a request that has no running attempt; `error` is the reason.
  void AbandonRequest(Request& request,
                      Error error,
                      Duration retry_after,
                      TimePoint now);
  void FailRequest(Request& request,
                   Error error,
                   Duration retry_after,
                   TimePoint now);
  void EraseRequest(RequestId id, uint64_t tokens, TimePoint now);
  void ApplyCrashActions(const retry::CrashActions& actions, TimePoint now);
  void ExpireQueue(TimePoint now);
  void ExpireClaims(TimePoint now);
  /// Time without progress after which the attempt is stalled.
  Duration SilenceLimit(const Request& request,
                        const ActiveAttempt& attempt,
                        TimePoint now) const;
  void EndStalledAttempts(TimePoint now);
  static AttemptEnd MakeStalledEnd(const Request& request, int attempt);
  /// Starts the next attempt and keeps the stalled one until that one has been
  /// accepted, or changes nothing if none can begin now.
  bool ReplaceStalledAttempt(Request& request, int attempt, TimePoint now);
  static std::optional<int> FindPausedAttempt(const Request& request);
  /// Goes on with the paused attempt, because its replacement was not run.
  void ResumePausedAttempt(Request& request, TimePoint now);
  void EndPausedAttempt(Request& request, int attempt, TimePoint now);
  void ExpirePausedAttempts(TimePoint now);
  void LogKeptAttempt(const Request& request,
                      ActiveAttempt& attempt,
                      TimePoint now);
  void StartHedges(TimePoint now);
  /// While draining, makes `final_answers_` the latest deadline.
  void CapDeadline(Request& request) const;
  /// Whether an attempt or a forwarded request that starts now is likely to end
  /// before the last answers of a drain. True while not draining.
  bool CanEndBeforeStop(const routing::Choice& choice, TimePoint now) const;
  bool CanForwardBeforeStop(TimePoint now) const;
  /// Answers all open requests at the end of a drain.
  void EndOpenRequests(TimePoint now);
  void AbandonWithoutUpstream(TimePoint now);

  HostIncarnation self_;
  CoordinatorOptions options_;
  DecisionComponents components_;
  TrafficPort& traffic_;
  FleetPort& fleet_;
  DecisionLog& decision_log_;
  Metrics& metrics_;
  std::shared_ptr<const config::ConfigView> view_;
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;
  std::unordered_map<routing::AttemptId, std::pair<RequestId, int>>
      attempt_owners_;
  std::map<std::string, TimePoint> no_upstream_since_;
  std::set<RequestId> suspended_;
  std::map<std::string, int> limit_waiters_;  ///< by customer
  routing::AttemptId last_attempt_ = 0;
  TimePoint next_slow_tick_{};
  bool draining_ = false;
  TimePoint final_answers_{};  ///< of a drain
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_REQUEST_COORDINATOR_H_
