/// \file
/// Passive health checks: failures, timeouts and delays of each upstream.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_HEALTH_H_
#define TEASELHILL_GATEWAY_UPSTREAM_HEALTH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Thresholds and durations of ejections.
struct HealthOptions {
  /// Half-life of an observation.
  Duration half_life = std::chrono::seconds(3);
  /// Failures, as a decaying count, below which an upstream is not ejected for
  /// failed answers. A failed connection ejects it at once.
  double min_failures = 2;
  /// Share of failed answers from which an upstream is ejected.
  double max_failure_share = 0.3;
  /// Duration of the first ejection; doubles with each consecutive one.
  Duration first_ejection = std::chrono::milliseconds(700);
  Duration longest_ejection = std::chrono::seconds(6);
  /// Upstreams of one failure domain to which a connection must fail within
  /// `domain_window` before the whole domain is ejected as partitioned.
  size_t domain_failures = 2;
  Duration domain_window = std::chrono::milliseconds(1500);
  Duration first_domain_ejection = std::chrono::milliseconds(800);
  Duration longest_domain_ejection = std::chrono::seconds(3);
};

/// An upstream or a whole failure domain was ejected or readmitted.
struct HealthEvent {
  std::string upstream;  ///< empty for an event of a whole domain
  std::string domain;    ///< empty for an event of one upstream
  bool ejected = false;
  Duration time{};      ///< duration of the ejection
  double failures = 0;  ///< decaying counts at the time of the event
  double successes = 0;
  int ejections = 0;  ///< consecutive ones, including this one
};

/// Passive health of the upstreams; no probes are sent. A network partition is
/// inferred from a few upstreams of a domain: detecting each unreachable
/// upstream by a connection timeout of its own would fail one request per
/// upstream.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(HealthOptions options = {}) : options_(options) {}

  /// A connection could not be established. Ejects the upstream at once, and
  /// its domain if enough upstreams of it have failed likewise.
  void OnConnectFailed(const std::string& id,
                       const std::string& domain,
                       TimePoint now);
  /// An upstream of the domain was reached; readmits the domain.
  void OnReached(const std::string& domain);
  /// The address belongs to another upstream now. Ejects the upstream at once.
  void OnMisdirected(const std::string& id, TimePoint now);
  /// An answer was a failure, was incomplete or corrupted, or sent no byte
  /// within the stall timeout.
  void OnFailed(const std::string& id, TimePoint now);
  /// An answer was complete; readmits the upstream once its ejection is over.
  void OnSucceeded(const std::string& id, TimePoint now);
  /// An answer started `excess` later than the work of its request explains.
  void OnDelay(const std::string& id, Duration excess, TimePoint now);
  /// The upstream reported a backlog that delays a new request by `queueing`,
  /// and `running` requests that it answers.
  void OnReport(const std::string& id,
                Duration queueing,
                int running,
                TimePoint now);
  /// Whether the last report is recent enough to be used.
  bool HasReport(const std::string& id, TimePoint now) const;
  /// Running requests according to the last report, if that is recent enough to
  /// be used.
  std::optional<int> ReportedRunning(const std::string& id,
                                     TimePoint now) const;

  /// The upstream is full and refused a request without running it.
  void OnRefused(const std::string& id, TimePoint now);

  /// Whether the upstream or its whole domain is ejected at this time.
  bool Ejected(const std::string& id,
               const std::string& domain,
               TimePoint now) const;

  /// Delay before an answer starts: from the last report if that is recent,
  /// otherwise an exponentially decaying estimate from earlier answers.
  Duration ExpectedDelay(const std::string& id, TimePoint now) const;

  /// Exponentially decaying share of failed answers; 0 without observations.
  double FailureShare(const std::string& id, TimePoint now) const;

  /// Exponentially decaying mean of the delays at all upstreams of `service`.
  /// While it is long, a missing answer is more likely due to load than to a
  /// fault.
  Duration TypicalDelay(const std::string& service, TimePoint now) const;
  void OnServiceDelay(const std::string& service,
                      Duration excess,
                      TimePoint now);

  /// Returns the ejections and readmissions since the last call, for the log.
  std::vector<HealthEvent> TakeEvents() { return std::exchange(events_, {}); }

  /// Removes upstreams without recent observations. Call about once a second.
  void Expire(TimePoint now);

 private:
  struct Record {
    double failures = 0;
    double successes = 0;
    TimePoint counted_at{};
    double delay_ms = 0;
    TimePoint delay_at{};
    Duration reported{};
    int running = 0;  ///< from the last report
    TimePoint reported_at{};
    TimePoint ejected_until{};
    int ejections = 0;  ///< consecutive
  };

  Record& Touch(const std::string& id, TimePoint now);
  void Eject(const std::string& id, Record& record, TimePoint now);
  void Judge(const std::string& id, Record& record, TimePoint now);

  HealthOptions options_;
  struct Delay {
    double ms = 0;
    TimePoint at{};
  };
  struct Domain {
    std::unordered_map<std::string, TimePoint> failed;  ///< by upstream
    TimePoint ejected_until{};
    int ejections = 0;  ///< consecutive
  };
  void JudgeDomain(const std::string& name, Domain& domain, TimePoint now);

  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, Domain> domains_;
  std::unordered_map<std::string, Delay> services_;
  std::vector<HealthEvent> events_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_HEALTH_H_
