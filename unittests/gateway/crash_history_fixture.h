/// \file
/// A host whose requests meet crashes.

#ifndef TEASELHILL_UNITTESTS_GATEWAY_CRASH_HISTORY_FIXTURE_H_
#define TEASELHILL_UNITTESTS_GATEWAY_CRASH_HISTORY_FIXTURE_H_

#include <chrono>
#include <string>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

constexpr Hash128 kCrashing{1, 1};
constexpr Hash128 kInnocent{2, 2};

/// Longer than the hold before a trial and the one before a refusal.
constexpr std::chrono::milliseconds kMaxHold{6600};

inline UpstreamProcess Engine(int number, uint64_t incarnation = 1) {
  return {"e" + std::to_string(number), incarnation};
}

inline LossVerdict Verdict(const UpstreamProcess& process,
                           bool crashed,
                           TimePoint until) {
  return {process, crashed, TimePoint::min(), until, "test"};
}

/// A host with its history. Times start at a fixed point.
struct Host {
  CrashHistory history{EntropySeed()};
  TimePoint now = TimePoint(std::chrono::hours(5));

  /// The requests run on the engine, which is seen alive until then, and it
  /// crashes.
  void Crash(const UpstreamProcess& engine,
             const std::vector<Hash128>& requests,
             Duration answering_for = {},
             Duration pause = std::chrono::seconds(1)) {
    now += pause;
    for (const Hash128& request : requests)
      history.OnConnectionLost(request, engine, answering_for,
                               now - std::chrono::milliseconds(6),
                               now - std::chrono::milliseconds(5), now);
    history.OnVerdict(Verdict(engine, true, now));
  }

  bool Refuses(const Hash128& request) const {
    return history.Assess(request, now).refused_for > Duration::zero();
  }
  bool Holds(const Hash128& request) const {
    return history.Assess(request, now).hold_for > Duration::zero();
  }
  /// Waits until holds are over that begin now.
  void WaitForHolds() { now += kMaxHold; }
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_UNITTESTS_GATEWAY_CRASH_HISTORY_FIXTURE_H_
