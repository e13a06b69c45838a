/// \file
/// Rejects a fraction of the less urgent requests while answers start too late.

#ifndef TEASELHILL_GATEWAY_OVERLOAD_GATE_H_
#define TEASELHILL_GATEWAY_OVERLOAD_GATE_H_

#include <map>
#include <optional>
#include <string>

#include "teaselhill/gateway/route_table.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct OverloadGateOptions {
  /// Delay before an answer starts, as a fraction of its target, up to which no
  /// request has to be rejected. Answers below it lower the pressure, answers
  /// above it raise it.
  double setpoint_fraction = 0.3;
  /// Pressure that one answer adds for each target duration of delay above the
  /// setpoint.
  double gain = 0.06;
  /// Pressure below which nothing is rejected: a few late answers at low load
  /// are not an overload.
  double deadband = 0.25;
  /// Bounds of the error that one answer contributes, in targets.
  double min_error = -0.5;
  double max_error = 2;
  /// Half-life of the pressure while no answer starts.
  Duration pressure_half_life = std::chrono::seconds(3);
  /// Fraction of a level that is admitted at any pressure, so that the level is
  /// never starved and the gate observes the end of the overload.
  double min_admitted_fraction = 0.1;
  /// A request is admitted at any pressure if the chosen engine has at most
  /// this backlog, as a fraction of the target, and at most
  /// `max_running_requests`.
  double max_backlog_fraction = 0.25;
  /// Each prefill at an engine stalls all its running requests for the duration
  /// of the prefill.
  int max_running_requests = 10;
  /// Bounds of the Retry-After delay of a rejected request, as fractions of the
  /// target. The answer to a retry that is then admitted can still start within
  /// the target of the first attempt.
  double min_retry_after_fraction = 0.15;
  double max_retry_after_fraction = 0.45;
  /// Lower bound of the Retry-After delay. Keeps callers of routes with very
  /// short targets from retrying at once.
  Duration min_retry_after = std::chrono::milliseconds(100);
};

/// Urgency of a request at the gate. The tier of the route is compared first: a
/// long draft of one team is less urgent than an urgent question of another
/// team.
struct GateLevel {
  Tier route_tier = 0;
  Tier combined_tier = 0;

  friend bool operator<(const GateLevel& a, const GateLevel& b) {
    return a.route_tier != b.route_tier ? a.route_tier < b.route_tier
                                        : a.combined_tier < b.combined_tier;
  }
};

/// Load of the engine that was chosen for a request.
struct EngineLoad {
  Duration backlog{};        ///< before it starts the request's prefill
  int running_requests = 0;  ///< requests whose answers it generates
};

struct GateDecision {
  bool admitted = true;
  double pressure = 0;
  Duration expected_wait{};
  double rejected_fraction = 0;    ///< fraction of the requests of this level
  std::optional<EngineLoad> load;  ///< of the chosen engine, once checked
  Duration retry_after{};          ///< set when rejected
};

/// Estimates the wait of a request that arrives now by Little's law: waiting
/// requests divided by the rate at which answers start. The estimate rises with
/// the first requests that queue up, long before one of them has waited that
/// long.
class QueueWaitEstimator {
 public:
  void OnQueued() { ++waiting_requests_; }
  void OnAnswerStarted(TimePoint now);
  void OnRemoved() { waiting_requests_ -= waiting_requests_ > 0; }

  /// Zero while at most one request waits and before the first answer; at most
  /// 10 s.
  Duration ExpectedWait(TimePoint now) const;

 private:
  double StartsPerSecond(TimePoint now) const;

  int waiting_requests_ = 0;
  double decayed_starts_ = 0;  ///< count of started answers
  TimePoint decayed_at_{};
  TimePoint first_start_at_{};  ///< start of the first answer
};

/// Demand above capacity makes every answer late and fills the engines with
/// requests whose callers disconnect. The gate keeps one pressure for each
/// service: an integral controller on the delay before answers start. A
/// pressure of 1 above the deadband rejects the least urgent level, 2 the next
/// one as well; the most urgent route tier is never rejected. Deterministic:
/// time and random samples are arguments.
class OverloadGate {
 public:
  explicit OverloadGate(OverloadGateOptions options = {}) : options_(options) {}

  /// Decides on a request and, if it is rejected, on the Retry-After delay.
  /// `admission_sample` (admission) and `retry_after_sample` (delay) are random
  /// samples, uniform in [0, 1).
  GateDecision Admit(const std::string& service,
                     const GateLevel& level,
                     Duration target,
                     double admission_sample,
                     double retry_after_sample,
                     TimePoint now);

  /// Admits a rejected request after all if its engine is nearly idle. A host
  /// sees few answers, so a single long prompt may have raised its pressure.
  GateDecision RecheckWithLoad(GateDecision rejected,
                               const EngineLoad& load,
                               Duration target) const;

  /// An answer started after `waited`, or had not started after that time.
  /// Answers of the most urgent route tier that start in time do not lower the
  /// pressure: they say nothing about the levels that can be rejected.
  void OnWaitObserved(const std::string& service,
                      const GateLevel& level,
                      Duration waited,
                      Duration target,
                      TimePoint now);

  /// An admitted request was sent, its answer started, or it ended before that.
  void OnQueued(const std::string& service, const GateLevel& level);
  void OnAnswerStarted(const std::string& service,
                       const GateLevel& level,
                       TimePoint now);
  void OnEndedUnanswered(const std::string& service, const GateLevel& level);

  double Pressure(const std::string& service, TimePoint now) const;

 private:
  struct ServiceState {
    double pressure = 0;
    TimePoint updated_at{};
    std::map<GateLevel, TimePoint> last_seen_by_level;
    std::map<Tier, QueueWaitEstimator> wait_estimators;  ///< by route tier
  };
  double DecayedPressure(const ServiceState& state, TimePoint now) const;

  OverloadGateOptions options_;
  std::map<std::string, ServiceState> services_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_OVERLOAD_GATE_H_
