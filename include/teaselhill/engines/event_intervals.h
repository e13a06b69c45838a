/// \file
/// Time between the events of one stream.

#ifndef TEASELHILL_ENGINES_EVENT_INTERVALS_H_
#define TEASELHILL_ENGINES_EVENT_INTERVALS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::engines {

/// Collects the intervals between the events that one engine sends of a stream.
/// Deterministic: time is an argument.
class EventIntervals {
 public:
  /// `events` events, at least one, have arrived together.
  void OnEvents(uint64_t events, TimePoint now);

  /// Nothing was read for a while, so the time up to the next events says
  /// nothing of the engine.
  void OnReadingPaused() { last_events_at_.reset(); }

  /// The lower quartile of the intervals, which leaves out those in which the
  /// engine also read a prompt; nothing for a stream of too few events.
  std::optional<Duration> Typical() const;

 private:
  std::optional<TimePoint> last_events_at_;
  std::vector<Duration> intervals_;
};

}  // namespace teaselhill::engines

#endif  // TEASELHILL_ENGINES_EVENT_INTERVALS_H_
