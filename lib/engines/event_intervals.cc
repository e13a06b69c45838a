/// \file
/// Quartile of the intervals between a stream's events.

#include "teaselhill/engines/event_intervals.h"

#include <algorithm>
#include <utility>

namespace teaselhill::engines {

namespace {

/// Fewer intervals do not tell a usual one from one with a prompt beside it.
constexpr size_t kMinIntervals = 5;

/// Bounds the memory of a long stream.
constexpr size_t kMaxIntervals = 64;

}  // namespace

void EventIntervals::OnEvents(uint64_t events, TimePoint now) {
  const std::optional<TimePoint> previous =
      std::exchange(last_events_at_, std::optional<TimePoint>(now));
  if (previous && intervals_.size() < kMaxIntervals)
    intervals_.push_back((now - *previous) / static_cast<int64_t>(events));
}

std::optional<Duration> EventIntervals::Typical() const {
  if (intervals_.size() < kMinIntervals)
    return std::nullopt;
  std::vector<Duration> sorted = intervals_;
  const auto quartile =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
  std::nth_element(sorted.begin(), quartile, sorted.end());
  return *quartile;
}

}  // namespace teaselhill::engines
