/// \file
/// Refuses part of the less urgent requests while answers begin too late.

#ifndef TEASELHILL_GATEWAY_OVERLOAD_GATE_H_
#define TEASELHILL_GATEWAY_OVERLOAD_GATE_H_

#include <map>
#include <optional>
#include <string>

#include "teaselhill/gateway/route_table.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct OverloadGateOptions {
  /// Part of its target after which an answer may begin while no request is
  /// refused. Below it pressure falls, above it pressure rises.
  double setpoint = 0.3;
  /// Pressure that one answer adds for each target of time over the setpoint.
  double gain = 0.06;
  /// Pressure below which nothing is refused: a few late answers in a calm hour
  /// are no overload.
  double deadband = 0.25;
  /// Bounds of the difference that one answer can tell.
  double least_error = -0.5;
  double most_error = 2;
  /// Pressure halves in this time without answers.
  Duration half_life = std::chrono::seconds(3);
  /// Part of a level that is let in at any pressure, so that it is never
  /// starved and the gate learns when the load is over.
  double least_admitted = 0.1;
  /// Part of its target for which a request may wait at the engine that would
  /// take it, to be let in whatever the pressure.
  double most_backlog = 0.25;
  /// Requests that may run at that engine. Each prompt that is read there stops
  /// all of them for its time.
  int most_running = 10;
  /// Parts of the target after which a refused caller is told to come back. A
  /// second attempt that is let in then still begins within the target.
  double shortest_return = 0.15;
  double longest_return = 0.45;
  /// Keeps callers of routes with very short targets from asking at once.
  Duration least_return = std::chrono::milliseconds(100);
};

/// Urgency of a request at the gate. Routes go first: a long draft of one team
/// waits before an urgent question of another.
struct GateLevel {
  Tier route = 0;
  Tier team = 0;

  friend bool operator<(const GateLevel& a, const GateLevel& b) {
    return a.route != b.route ? a.route < b.route : a.team < b.team;
  }
};

/// Load of the engine that would take a request.
struct EngineLoad {
  Duration backlog{};  ///< before it reads the request's prompt
  int running = 0;     ///< requests whose answers it produces
};

struct GateDecision {
  bool admitted = true;
  double pressure = 0;
  Duration expected_wait{};
  double refused_part = 0;         ///< of the requests of this level
  std::optional<EngineLoad> load;  ///< of the engine, if it was asked
  Duration retry_after{};          ///< set when refused
};

/// Expected wait of a request that arrives now, by Little's law: requests that
/// wait, over the rate at which answers begin. It grows with the first requests
/// that pile up, long before one of them has waited for so long.
class WaitEstimate {
 public:
  void OnQueued() { ++waiting_; }
  void OnBegan(TimePoint now);
  void OnLeft() { waiting_ -= waiting_ > 0; }

  /// Zero while nothing waits; at most 10 s.
  Duration Expected(TimePoint now) const;

 private:
  double Rate(TimePoint now) const;

  int waiting_ = 0;
  double begun_ = 0;  ///< decaying count
  TimePoint at_{};
  TimePoint since_{};  ///< first answer
};

/// Demand above capacity makes every answer late and fills the engines with
/// requests whose callers leave. The gate holds one pressure for each service:
/// an integral controller on how late answers begin. Pressure 1 refuses the
/// least urgent level, 2 the next as well; the most urgent route tier is never
/// refused. Deterministic: time and dice are arguments.
class OverloadGate {
 public:
  explicit OverloadGate(OverloadGateOptions options = {}) : options_(options) {}

  /// `dice` and `spread` are uniform in [0, 1).
  GateDecision Admit(const std::string& service,
                     const GateLevel& level,
                     Duration target,
                     double dice,
                     double spread,
                     TimePoint now);

  /// Lets a refused request in after all if the engine that would take it is
  /// nearly idle. A host sees few answers, so its pressure may come from one
  /// long prompt.
  GateDecision Recheck(GateDecision refused,
                       const EngineLoad& load,
                       Duration target) const;

  /// An answer began after `waited`, or did not begin for so long. Urgent
  /// answers in time say nothing of the levels that can be refused.
  void OnWaited(const std::string& service,
                const GateLevel& level,
                Duration waited,
                Duration target,
                TimePoint now);

  /// An admitted request was sent, began to be answered, or ended before.
  void OnQueued(const std::string& service, const GateLevel& level);
  void OnBegan(const std::string& service,
               const GateLevel& level,
               TimePoint now);
  void OnLeft(const std::string& service, const GateLevel& level);

  double Pressure(const std::string& service, TimePoint now) const;

 private:
  struct State {
    double pressure = 0;
    TimePoint at{};
    std::map<GateLevel, TimePoint> levels;  ///< seen, with the last time
    std::map<Tier, WaitEstimate> waits;     ///< by route tier
  };
  double Decayed(const State& state, TimePoint now) const;

  OverloadGateOptions options_;
  std::map<std::string, State> services_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_OVERLOAD_GATE_H_
