/// \file
/// Turns of a host at a rate of the fleet.

#include "teaselhill/gateway/rate_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace teaselhill::gateway {

namespace {

/// More than a single upstream can get. Turns stay far enough apart to be told
/// apart as floating-point seconds since 1970.
constexpr double kMaxRate = 10000;

/// Rounding error of a time in seconds since 1970.
constexpr double kToleranceSeconds = 1e-6;

/// A wall clock that was set back leaves turns used in advance. They count for
/// at most this long, or for two turns of this host.
constexpr double kMaxAdvanceSeconds = 60;

double ToWallSeconds(WallTime time) {
  return static_cast<double>(time.time_since_epoch().count()) / 1000;
}

}  // namespace

RateShare::RateShare(uint64_t phase, WallTime now)
    : phase_(phase), used_until_(ToWallSeconds(now)) {}

void RateShare::SetRate(double per_second, Duration max_age) {
  assert(per_second > 0 && "the rate must be positive");
  rate_ = std::min(per_second, kMaxRate);
  max_age_ = max_age;
}

double RateShare::NextTurnAfter(double seconds) const {
  const auto hosts = static_cast<double>(std::max<size_t>(position_.hosts, 1));
  const double period = hosts / rate_;
  const double offset =
      static_cast<double>((position_.index + phase_) %
                          std::max<size_t>(position_.hosts, 1)) /
      rate_;
  const double last_turn =
      std::floor((seconds - offset + kToleranceSeconds) / period);
  return offset + period * (last_turn + 1);
}

double RateShare::UsedUntil(double now) const {
  const double period = static_cast<double>(position_.hosts) / rate_;
  const double max_advance = std::max(kMaxAdvanceSeconds, 2 * period);
  return used_until_ > now + max_advance ? now - ToSeconds(max_age_)
                                         : used_until_;
}

double RateShare::NextTurn(WallTime now) const {
  const double seconds = ToWallSeconds(now);
  return NextTurnAfter(
      std::max(UsedUntil(seconds), seconds - ToSeconds(max_age_)));
}

std::optional<Duration> RateShare::OldestTurnAge(WallTime now) const {
  const double age = ToWallSeconds(now) - NextTurn(now);
  return age >= 0 ? std::optional<Duration>(FromSeconds(age)) : std::nullopt;
}

void RateShare::Use(WallTime now) {
  used_until_ = NextTurn(now);
}

Duration RateShare::UntilNextTurn(WallTime now) const {
  return FromSeconds(std::max(0.0, NextTurn(now) - ToWallSeconds(now)));
}

}  // namespace teaselhill::gateway
