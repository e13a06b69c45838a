/// \file
/// Longest durations of each route in two periods.

#include "teaselhill/gateway/route_durations.h"

#include <algorithm>

namespace teaselhill::gateway {

namespace {

/// The next request may last longer than any before it. Part of the longest
/// duration that is added to it.
constexpr int kReservePart = 2;

}  // namespace

void RouteDurations::OnAnswered(const std::string& route,
                                Duration duration,
                                TimePoint now) {
  if (Period* period = Add(route, duration, now))
    ++period->answers;
}

void RouteDurations::OnUnanswered(const std::string& route,
                                  Duration duration,
                                  TimePoint now) {
  Add(route, duration, now);
}

RouteDurations::Period* RouteDurations::Add(const std::string& route,
                                            Duration duration,
                                            TimePoint now) {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    if (routes_.size() >= max_routes_)
      RemoveUnused(now);
    if (routes_.size() >= max_routes_)
      return nullptr;
    found = routes_.emplace(route, Entry{now, {}, {}}).first;
  }
  Entry& entry = found->second;
  entry = At(entry, now);
  entry.current.longest = std::max(entry.current.longest, duration);
  return &entry.current;
}

std::optional<Duration> RouteDurations::Expected(const std::string& route,
                                                 TimePoint now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return std::nullopt;
  const Entry entry = At(found->second, now);
  if (entry.current.answers + entry.previous.answers < kMinAnswers)
    return std::nullopt;
  const Duration longest =
      std::max(entry.current.longest, entry.previous.longest);
  return longest + longest / kReservePart;
}

RouteDurations::Entry RouteDurations::At(const Entry& entry, TimePoint now) {
  const Duration age = now - entry.since;
  if (age < kPeriod)
    return entry;
  Entry next;
  next.since = now;
  if (age < 2 * kPeriod) {
    next.since = entry.since + kPeriod;
    next.previous = entry.current;
  }
  return next;
}

void RouteDurations::RemoveUnused(TimePoint now) {
  for (auto entry = routes_.begin(); entry != routes_.end();) {
    if (now - entry->second.since >= 2 * kPeriod)
      entry = routes_.erase(entry);
    else
      ++entry;
  }
}

}  // namespace teaselhill::gateway
