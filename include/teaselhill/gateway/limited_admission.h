/// \file
/// Order of requests where all upstreams of a service name limits.

#ifndef TEASELHILL_GATEWAY_LIMITED_ADMISSION_H_
#define TEASELHILL_GATEWAY_LIMITED_ADMISSION_H_

#include <map>
#include <string>

#include "teaselhill/gateway/overload_gate.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct LimitedAdmissionOptions {
  /// A level or team without requests for this time is not considered.
  Duration retention = std::chrono::seconds(10);
  /// Half-life of the counts of the turns that teams have used.
  Duration use_half_life = std::chrono::seconds(5);
  /// Part of the requests that may use any turn, so that no level is starved.
  double unreserved_fraction = 0.1;
  /// Most that a request must wait for a turn to age, as a part of the turn's
  /// lifetime. The rest of its lifetime is for everybody.
  double max_required_age = 0.6;
  Duration max_retry_after = std::chrono::seconds(10);
};

/// The turns of RateShare come one by one, and each request takes one or is
/// refused at once. So that the urgent ones find a turn, less urgent requests,
/// and those of a team that has used more than its part, may only use turns of
/// some age: what is left over. Deterministic: time and random samples are
/// arguments.
class LimitedAdmission {
 public:
  explicit LimitedAdmission(LimitedAdmissionOptions options = {})
      : options_(options) {}

  /// A request for a service whose upstreams are all limited. Returns the part
  /// of its lifetime that a turn must have passed before the request may use
  /// it. `sample`: random, uniform in [0, 1).
  double RequiredTurnAge(const std::string& service,
                         const GateLevel& level,
                         const std::string& team,
                         double sample,
                         TimePoint now);
  void OnTurnUsed(const std::string& service,
                  const std::string& team,
                  TimePoint now);

  /// Time after which a refused caller finds a turn, if those that were refused
  /// before it come back in their order. `own_rate`: turns of this host a
  /// second at all upstreams of the service. `until_next_turn`: at any of them.
  Duration RetryAfter(const std::string& service,
                      const GateLevel& level,
                      double own_rate,
                      Duration until_next_turn,
                      TimePoint now);

 private:
  struct Team {
    TimePoint last_seen;
    double used = 0;  ///< decaying count of turns
    TimePoint decayed_at;
  };
  struct Level {
    TimePoint last_seen;
    TimePoint last_return_at;  ///< when the last refused caller may come back
  };
  struct Service {
    std::map<GateLevel, Level> levels;
    std::map<std::string, Team> teams;
  };

  double UsedBy(const Team& team, TimePoint now) const;
  /// How far the team is above its even part of the turns; 0 to 1.
  double Excess(const Service& service,
                const std::string& team,
                TimePoint now) const;
  void Forget(Service& service, TimePoint now) const;

  LimitedAdmissionOptions options_;
  std::map<std::string, Service> services_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_LIMITED_ADMISSION_H_
