/// \file
/// Divides a rate of the whole fleet among its hosts.

#ifndef TEASELHILL_GATEWAY_RATE_SHARE_H_
#define TEASELHILL_GATEWAY_RATE_SHARE_H_

#include <cstdint>
#include <optional>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// The hosts take turns in the order of their names: the n-th event of the
/// fleet is due at n divided by the rate, on the wall clock, and belongs to
/// host n modulo the number of hosts. So the hosts keep the rate together
/// without a word between them, also when the rate leaves each host less than
/// one event in minutes, and when all hosts have been idle. A turn that is not
/// used lapses after `max_age`: in any span of time, the fleet uses at most the
/// turns of that span and of `max_age` before it. Clocks that differ shift
/// turns but grant no more of them.
///
/// Deterministic: time is an argument.
class RateShare {
 public:
  /// `phase`: the same on all hosts; shares with different phases begin with
  /// different hosts. A host that starts has no turns from before `now`.
  RateShare(uint64_t phase, WallTime now);

  /// `per_second`: events of the whole fleet; greater than zero.
  void SetRate(double per_second, Duration max_age);
  void SetPosition(const FleetPosition& position) { position_ = position; }
  double rate() const { return rate_; }
  Duration max_age() const { return max_age_; }

  /// Time since the oldest turn of this host that is neither used nor lapsed;
  /// nothing if there is none.
  std::optional<Duration> OldestTurnAge(WallTime now) const;
  /// Uses the oldest turn, or the next one if there is none.
  void Use(WallTime now);
  /// Zero if there is a turn now.
  Duration UntilNextTurn(WallTime now) const;

 private:
  /// Turns are counted in seconds of the wall clock.
  double NextTurnAfter(double seconds) const;
  double NextTurn(WallTime now) const;
  double UsedUntil(double now) const;

  uint64_t phase_;
  double rate_ = 1;  ///< a second
  Duration max_age_ = std::chrono::seconds(1);
  FleetPosition position_;
  double used_until_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RATE_SHARE_H_
