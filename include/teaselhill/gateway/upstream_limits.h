/// \file
/// Limits that upstreams set on the requests of the whole fleet.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_LIMITS_H_
#define TEASELHILL_GATEWAY_UPSTREAM_LIMITS_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "teaselhill/gateway/rate_share.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What an answer of an upstream says of its limit.
struct LimitNotice {
  /// Requests a second that it takes from all hosts together; nothing: it names
  /// no limit.
  std::optional<double> requests_per_second;
  /// A limit is named that cannot be decoded. What was known before holds on.
  bool unreadable = false;
};

/// A limit as hosts tell it each other.
struct LimitObservation {
  UpstreamProcess upstream;
  std::optional<double> requests_per_second;  ///< nothing: it has ended
  Duration age{};  ///< since the request was sent whose answer said so
};

/// A change for the log.
struct LimitChange {
  UpstreamProcess upstream;
  std::optional<double> previous;
  std::optional<double> limit;
};

struct UpstreamLimitOptions {
  /// Part of a limit that the fleet uses. The rest is for hosts that are not
  /// known yet.
  double used_fraction = 0.9;
  /// Rate at which the fleet sends to an upstream that takes less, in requests
  /// a second. Only an answer shows that the limit has ended.
  double min_rate = 0.2;
  /// A limit that is seen again is told to the other hosts after this time.
  Duration refresh_period = std::chrono::seconds(5);
  /// Relative difference up to which a limit counts as unchanged.
  double tolerance = 0.02;
};

/// The limit of an upstream process holds for each send of the fleet, and until
/// an answer to a request that was sent later names none, or the process is
/// gone. Hosts tell each other what they see, so that a host learns of a limit
/// before its first send, and of its end without waiting for a turn.
///
/// Deterministic: time is an argument.
class UpstreamLimits {
 public:
  explicit UpstreamLimits(UpstreamLimitOptions options = {})
      : options_(options) {}

  bool empty() const { return limits_.empty(); }
  bool IsLimited(const UpstreamProcess& upstream) const;

  void SetPosition(const FleetPosition& position);

  /// An answer to a request sent at `sent_at`.
  void OnAnswer(const UpstreamProcess& upstream,
                const LimitNotice& notice,
                TimePoint sent_at,
                TimePoint now,
                WallTime wall_now);
  /// What other hosts saw.
  void OnObservations(const std::vector<LimitObservation>& observations,
                      TimePoint now,
                      WallTime wall_now);
  /// Returns what to tell the other hosts since the last call.
  std::vector<LimitObservation> TakeObservations(TimePoint now);
  std::vector<LimitChange> TakeChanges() { return std::exchange(changes_, {}); }

  /// Turns of this host at a limited upstream; see RateShare.
  std::optional<Duration> OldestTurnAge(const UpstreamProcess& upstream,
                                        WallTime now) const;
  Duration UntilNextTurn(const UpstreamProcess& upstream, WallTime now) const;
  /// Time after which a turn lapses.
  Duration MaxTurnAge(const UpstreamProcess& upstream) const;
  /// Rate of this host's turns, in requests a second.
  double OwnRate(const UpstreamProcess& upstream) const;
  /// Call for each request to any upstream, repeats and health checks included.
  void OnSent(const UpstreamProcess& upstream, WallTime now);

  /// Removes the limits of processes that are gone. Call about once a second.
  void Expire(const UpstreamList& upstreams);
  size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    double requests_per_second;
    TimePoint observed_at;  ///< send of the request whose answer named it
    TimePoint shared_at;
    RateShare share;
  };
  /// Send times of the requests whose answers ended limits.
  using EndTimes = std::map<UpstreamProcess, TimePoint>;

  /// Returns whether the observation is news.
  bool Apply(const UpstreamProcess& upstream,
             std::optional<double> requests_per_second,
             TimePoint observed_at,
             WallTime wall_now);
  void End(const UpstreamProcess& upstream, TimePoint observed_at);
  void SetRate(Limit* limit, double requests_per_second) const;
  bool IsUnchanged(const Limit& limit, double requests_per_second) const;
  void Share(const UpstreamProcess& upstream,
             std::optional<double> requests_per_second,
             TimePoint observed_at);

  struct Unshared {
    UpstreamProcess upstream;
    std::optional<double> requests_per_second;
    TimePoint observed_at;
  };

  UpstreamLimitOptions options_;
  FleetPosition position_;
  std::map<UpstreamProcess, Limit> limits_;
  EndTimes ended_at_;
  std::vector<Unshared> unshared_;
  std::vector<LimitChange> changes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_LIMITS_H_
