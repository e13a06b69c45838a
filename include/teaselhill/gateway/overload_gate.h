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
  /// request has to be rejected. Answers with a shorter delay lower the
  /// pressure, answers with a longer delay raise it.
  double setpoint_fraction = 0.3;
  /// Pressure that one answer adds if its delay exceeds the setpoint by one
  /// target; other delays change the pressure in proportion.
  double gain = 0.06;
  /// Pressure below which nothing is rejected: a few late answers at low load
  /// are not an overload.
  double deadband = 0.25;
  /// Bounds of the controller error of one answer: its delay minus the
  /// setpoint, as a multiple of the target.
  double min_error = -0.5;
  double max_error = 2;
  /// Half-life of the pressure while no answer starts.
  Duration pressure_half_life = std::chrono::seconds(3);
  /// Minimum fraction of the requests of a level that is admitted at any
  /// pressure, so that the level is never starved and the gate observes the end
  /// of the overload.
  double min_admitted_fraction = 0.1;
  /// Maximum backlog, as a fraction of the target, of an engine that counts as
  /// nearly idle. A request is admitted at any pressure if the chosen engine
  /// has at most this backlog and at most `max_running_requests` running
  /// requests.
  double max_backlog_fraction = 0.25;
  /// Maximum number of running requests of an engine that counts as nearly
  /// idle: each further prefill stalls all running requests of the engine until
  /// the prefill ends.
  int max_running_requests = 10;
  /// Bounds of the Retry-After delay of a rejected request, as fractions of the
  /// target. The maximum is low enough that, if the retry is admitted, its
  /// answer can still start within the target, measured from the first attempt.
  double min_retry_after_fraction = 0.15;
  double max_retry_after_fraction = 0.45;
  /// Lower bound of the Retry-After delay. Takes precedence over the fractions,
  /// so that callers of routes with very short targets do not retry at once.
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
  Duration backlog{};        ///< time until the engine starts the prefill
  int running_requests = 0;  ///< requests being answered by the engine
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
/// the first requests that queue up, long before one of these requests has
/// waited for the estimated time.
class QueueWaitEstimator {
 public:
  void OnQueued() { ++waiting_requests_; }
  void OnAnswerStarted(TimePoint now);
  void OnRemoved() { waiting_requests_ -= waiting_requests_ > 0; }

  /// Returns zero while at most one request waits and before the first answer
  /// has started; never more than 10 s.
  Duration ExpectedWait(TimePoint now) const;

 private:
  double StartsPerSecond(TimePoint now) const;

  int waiting_requests_ = 0;
  double decayed_starts_ = 0;  ///< count of started answers
  TimePoint decayed_at_{};
  TimePoint first_start_at_{};  ///< start of the first answer
};

/// Demand above capacity makes every answer late and fills the engines with
/// requests whose callers disconnect. For each service, the gate runs an
/// integral controller on the delay before answers start; its output is the
/// pressure. A pressure of 1 above the deadband rejects the least urgent level,
/// 2 above the deadband also the second least urgent level, each except for
/// `min_admitted_fraction`. The most urgent route tier is never rejected.
/// Deterministic: time and random samples are arguments.
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

  /// Admits a rejected request after all if the engine chosen for the request
  /// is nearly idle. Each host observes only a few answers, so a single long
  /// prompt may have raised the pressure at this host. A backlog that keeps out
  /// a more urgent level keeps out this one too, however long its target is.
  GateDecision RecheckWithLoad(const std::string& service,
                               const GateLevel& level,
                               GateDecision rejected,
                               const EngineLoad& load,
                               Duration target) const;

  /// An answer started after `waited`, or had not started after that time.
  /// Answers of the most urgent route tier that start in time do not lower the
  /// pressure, since less urgent requests may still wait too long.
  void OnWaitObserved(const std::string& service,
                      const GateLevel& level,
                      Duration waited,
                      Duration target,
                      TimePoint now);

  /// The three functions below are for these events, in this order: an admitted
  /// request was sent, its answer started, it ended before its answer started.
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
    std::map<GateLevel, Duration> target_by_level;  ///< of the last request
    std::map<Tier, QueueWaitEstimator> wait_estimators;  ///< by route tier
  };
  double DecayedPressure(const ServiceState& state, TimePoint now) const;
  /// The shortest target of the levels that may be rejected and are at least as
  /// urgent; `target` if there are none.
  static Duration ShortestTarget(const ServiceState& state,
                                 const GateLevel& level,
                                 Duration target);

  OverloadGateOptions options_;
  std::map<std::string, ServiceState> services_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_OVERLOAD_GATE_H_
