/// \file
/// How long the requests of each route have lasted lately.

#ifndef TEASELHILL_GATEWAY_ROUTE_DURATIONS_H_
#define TEASELHILL_GATEWAY_ROUTE_DURATIONS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Keeps the longest duration of each route over one to two periods. Further
/// routes than `max_routes` stay unknown.
///
/// Deterministic: time is an argument.
class RouteDurations {
 public:
  static constexpr std::chrono::seconds kPeriod{60};

  /// Answers of a route from which on its duration counts as known.
  static constexpr int kMinAnswers = 10;

  explicit RouteDurations(size_t max_routes = 4096) : max_routes_(max_routes) {}

  /// A request was answered after `duration`.
  void OnAnswered(const std::string& route, Duration duration, TimePoint now);

  /// A request has run for `duration` and was not answered within it.
  void OnUnanswered(const std::string& route, Duration duration, TimePoint now);

  /// A duration that few requests of the route exceed; nothing: unknown.
  std::optional<Duration> Expected(const std::string& route,
                                   TimePoint now) const;

  size_t size() const { return routes_.size(); }

 private:
  struct Period {
    Duration longest{};
    int answers = 0;
  };
  struct Entry {
    TimePoint since{};  ///< begin of `current`
    Period current;
    Period previous;
  };

  /// Returns the current period of the route; null: too many routes.
  Period* Add(const std::string& route, Duration duration, TimePoint now);
  /// The entry as of `now`.
  static Entry At(const Entry& entry, TimePoint now);
  /// Removes the routes without requests in the last two periods.
  void RemoveUnused(TimePoint now);

  size_t max_routes_;
  std::unordered_map<std::string, Entry> routes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ROUTE_DURATIONS_H_
