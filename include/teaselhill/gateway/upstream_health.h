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
  /// Half-life of the counts of failed and successful answers.
  Duration failure_half_life = std::chrono::seconds(3);
  /// Failures, as a decaying count, below which an upstream is not ejected for
  /// failed answers. A failed connection ejects the upstream at once.
  double min_failures = 2;
  /// An upstream is ejected if at least this fraction of its answers failed.
  double max_failure_fraction = 0.3;
  /// Duration of the first ejection; doubles with each consecutive one.
  Duration first_ejection = std::chrono::milliseconds(700);
  Duration max_ejection = std::chrono::seconds(6);
  /// Number of upstreams of one failure domain to which connections must fail
  /// within `domain_failure_window` before the whole domain is ejected as
  /// partitioned.
  size_t min_domain_failures = 2;
  Duration domain_failure_window = std::chrono::milliseconds(1500);
  Duration first_domain_ejection = std::chrono::milliseconds(800);
  Duration max_domain_ejection = std::chrono::seconds(3);
};

/// An upstream or a whole failure domain was ejected or readmitted.
struct HealthEvent {
  std::string upstream_id;  ///< empty for an event of a whole domain
  std::string domain;       ///< empty for an event of one upstream
  bool ejected = false;
  Duration ejection_duration{};
  double failures = 0;  ///< decaying counts at the time of the event
  double successes = 0;
  int consecutive_ejections = 0;  ///< including the one of this event
};

/// Passive health of the upstreams; no probes are sent. A network partition is
/// inferred from a few upstreams of a domain: detecting each unreachable
/// upstream by a connection timeout of its own would fail one request per
/// upstream.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(HealthOptions options = {}) : options_(options) {}

  /// A connection could not be established. Ejects the upstream at once, and
  /// its whole domain if connections to enough upstreams of the domain have
  /// failed.
  void OnConnectFailed(const std::string& id,
                       const std::string& domain,
                       TimePoint now);
  /// An upstream of the domain sent a response head; readmits the domain.
  void OnDomainReached(const std::string& domain);
  /// This host was cut from all upstreams and reaches them again. What it saw
  /// meanwhile says nothing of them, so all ejections end.
  void OnHostReconnected();
  /// The address belongs to another upstream now. Ejects the upstream at once.
  void OnMisdirected(const std::string& id, TimePoint now);
  /// An answer was a failure response, was incomplete or corrupted, or made no
  /// progress within the stall timeout.
  void OnAnswerFailed(const std::string& id, TimePoint now);
  /// An answer was complete; readmits the upstream once its ejection is over.
  void OnAnswerCompleted(const std::string& id, TimePoint now);
  /// An answer started `excess` later than expected from the prefill of its
  /// request.
  void OnStartDelay(const std::string& id, Duration excess, TimePoint now);
  /// The upstream reported its load: a backlog that delays a new request by
  /// `queueing`, and the number `running` of requests that it is answering.
  void OnLoadReport(const std::string& id,
                    Duration queueing,
                    int running,
                    TimePoint now);
  /// Whether the last report is recent enough to be used.
  bool HasRecentReport(const std::string& id, TimePoint now) const;
  /// Number of running requests in the last report; nothing if that report is
  /// too old to be used.
  std::optional<int> ReportedRunning(const std::string& id,
                                     TimePoint now) const;

  /// The upstream is full and refused a request without running it.
  void OnRequestRefused(const std::string& id, TimePoint now);

  /// Whether the upstream or its whole domain is ejected at this time.
  bool IsEjected(const std::string& id,
                 const std::string& domain,
                 TimePoint now) const;

  /// Delay before an answer starts: from the last report if the report is
  /// recent, otherwise an exponentially decaying estimate from earlier answers.
  Duration ExpectedDelay(const std::string& id, TimePoint now) const;

  /// Exponentially decaying fraction of failed answers; 0 without observations.
  double FailureFraction(const std::string& id, TimePoint now) const;

  /// Exponentially decaying mean of the delays at all upstreams of `service`.
  /// While the mean delay is long, a missing answer is more likely due to load
  /// than to a fault.
  Duration MeanServiceDelay(const std::string& service, TimePoint now) const;
  void OnServiceStartDelay(const std::string& service,
                           Duration excess,
                           TimePoint now);

  /// Returns the ejections and readmissions since the last call, for the log.
  std::vector<HealthEvent> TakeEvents() { return std::exchange(events_, {}); }

  /// Removes upstreams without recent observations. Call about once a second.
  void ExpireUpstreams(TimePoint now);

 private:
  struct UpstreamStats {
    double failures = 0;
    double successes = 0;
    TimePoint decayed_at{};
    double delay_ms = 0;
    TimePoint delay_updated_at{};
    Duration reported_delay{};
    int reported_running = 0;
    TimePoint reported_at{};
    TimePoint ejected_until{};
    int consecutive_ejections = 0;
  };

  UpstreamStats& DecayCounts(const std::string& id, TimePoint now);
  void EjectUpstream(const std::string& id,
                     UpstreamStats& stats,
                     TimePoint now);
  void EvaluateUpstream(const std::string& id,
                        UpstreamStats& stats,
                        TimePoint now);

  HealthOptions options_;
  struct MeanDelay {
    double mean_ms = 0;
    TimePoint updated_at{};
  };
  struct DomainStats {
    std::unordered_map<std::string, TimePoint> connect_failed_at;
    TimePoint ejected_until{};
    int consecutive_ejections = 0;
  };
  void EvaluateDomain(const std::string& name,
                      DomainStats& domain,
                      TimePoint now);

  std::unordered_map<std::string, UpstreamStats> upstream_stats_;
  std::unordered_map<std::string, DomainStats> domain_stats_;
  std::unordered_map<std::string, MeanDelay> service_delays_;
  std::vector<HealthEvent> events_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_HEALTH_H_
