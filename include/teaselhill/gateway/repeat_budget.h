/// \file
/// Bounds the sends that repeat a request, over all hosts together.

#ifndef TEASELHILL_GATEWAY_REPEAT_BUDGET_H_
#define TEASELHILL_GATEWAY_REPEAT_BUDGET_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct RepeatBudgetOptions {
  /// Repeats allowed for each request of a service in the window. Shares of
  /// hosts add up to the same ratio of all requests.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Repeats that this host may make in each window besides.
  double extra = 2;
  /// Part of the ratio that is used. The rest covers requests that hosts count
  /// in different windows.
  double used_part = 0.8;
};

/// Counts by service. Deterministic: time comes in as an argument.
class RepeatBudget {
 public:
  explicit RepeatBudget(RepeatBudgetOptions options = {}) : options_(options) {}

  void SetOptions(RepeatBudgetOptions options) { options_ = options; }

  /// A caller's request for the service was taken.
  void OnRequest(const std::string& service, TimePoint now);

  /// Takes one repeat, or returns false when the budget is spent.
  bool TryTake(const std::string& service, TimePoint now);

 private:
  struct Counts {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };
  void Trim(std::deque<TimePoint>& times, TimePoint now) const;

  RepeatBudgetOptions options_;
  std::unordered_map<std::string, Counts> services_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_REPEAT_BUDGET_H_
