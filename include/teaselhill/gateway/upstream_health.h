/// \file
/// What answers tell of each upstream: failures, silence and delay.

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

/// Constants of the judgement.
struct HealthOptions {
  /// Time in which the weight of an observation halves.
  Duration half_life = std::chrono::seconds(3);
  /// Failures that must have been seen before an upstream is ejected.
  double min_failures = 2;
  /// Share of failures from which an upstream is ejected.
  double max_failure_share = 0.3;
  /// First time out of use; doubles with each ejection in a row.
  Duration first_ejection = std::chrono::milliseconds(700);
  Duration longest_ejection = std::chrono::seconds(6);
  /// Upstreams of one failure domain that cannot be connected to within
  /// `domain_window` before the whole domain is taken to be cut off.
  size_t domain_failures = 2;
  Duration domain_window = std::chrono::milliseconds(1500);
  Duration first_domain_ejection = std::chrono::milliseconds(800);
  Duration longest_domain_ejection = std::chrono::seconds(3);
};

/// An upstream or a whole failure domain was left out, or is in use again.
struct HealthEvent {
  std::string upstream;  ///< empty: the whole domain
  std::string domain;    ///< empty: one upstream
  bool ejected = false;
  Duration time{};      ///< of the ejection
  double failures = 0;  ///< decaying counts that decided
  double successes = 0;
  int ejections = 0;  ///< in a row, with this one
};

/// Passive health of the upstreams. Needs no probes. A partition is learnt from
/// a few of a domain's upstreams: finding each of them out by a connection that
/// times out would cost as many callers their answer.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(HealthOptions options = {}) : options_(options) {}

  /// A connection could not be made.
  void OnConnectFailed(const std::string& id,
                       const std::string& domain,
                       TimePoint now);
  /// An upstream of the domain was reached.
  void OnReached(const std::string& domain);
  /// Another upstream has the address.
  void OnMisdirected(const std::string& id, TimePoint now);
  /// An answer failed, broke off, was spoiled, or no byte of it came within the
  /// time in which answers usually begin.
  void OnFailed(const std::string& id, TimePoint now);
  /// An answer was complete.
  void OnSucceeded(const std::string& id, TimePoint now);
  /// An answer began `excess` later than its own work explains.
  void OnDelay(const std::string& id, Duration excess, TimePoint now);
  /// The upstream reported work that takes `queueing` before a new request, and
  /// `running` requests that it answers.
  void OnReport(const std::string& id,
                Duration queueing,
                int running,
                TimePoint now);
  /// Whether a report is recent enough to be used.
  bool HasReport(const std::string& id, TimePoint now) const;
  /// Requests that the upstream answered at its last report, if that is recent
  /// enough to be used.
  std::optional<int> ReportedRunning(const std::string& id,
                                     TimePoint now) const;

  /// Refused without running: the upstream is full.
  void OnRefused(const std::string& id, TimePoint now);

  /// Whether the upstream, or its whole domain, is left out for now.
  bool Ejected(const std::string& id,
               const std::string& domain,
               TimePoint now) const;

  /// Delay before an answer begins: by the last report if it is recent, else a
  /// decaying estimate from answers.
  Duration ExpectedDelay(const std::string& id, TimePoint now) const;

  /// Decaying share of failures, 0 while little is known.
  double FailureShare(const std::string& id, TimePoint now) const;

  /// Decaying mean of the delays seen at all upstreams of `service`. While it
  /// is long, silence tells of load rather than of a fault.
  Duration TypicalDelay(const std::string& service, TimePoint now) const;
  void OnServiceDelay(const std::string& service,
                      Duration excess,
                      TimePoint now);

  /// What has changed since the last call, for the log.
  std::vector<HealthEvent> TakeEvents() { return std::exchange(events_, {}); }

  /// Drops upstreams not seen for long. Call about once a second.
  void Expire(TimePoint now);

 private:
  struct Record {
    double failures = 0;
    double successes = 0;
    TimePoint counted_at{};
    double delay_ms = 0;
    TimePoint delay_at{};
    Duration reported{};
    int running = 0;  ///< by the same report
    TimePoint reported_at{};
    TimePoint ejected_until{};
    int ejections = 0;  ///< in a row
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
    int ejections = 0;  ///< in a row
  };
  void JudgeDomain(const std::string& name, Domain& domain, TimePoint now);

  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, Domain> domains_;
  std::unordered_map<std::string, Delay> services_;
  std::vector<HealthEvent> events_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_HEALTH_H_
