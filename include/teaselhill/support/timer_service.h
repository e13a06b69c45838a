/// \file
/// Timer service that parts subscribe to, and a manual one for tests.

#ifndef TEASELHILL_SUPPORT_TIMER_SERVICE_H_
#define TEASELHILL_SUPPORT_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "teaselhill/support/time.h"

namespace teaselhill {

/// Cancels its timer when destroyed. Movable; an empty one does nothing.
class TimerSubscription {
 public:
  TimerSubscription() = default;
  explicit TimerSubscription(std::shared_ptr<void> handle)
      : handle_(std::move(handle)) {}

  void Cancel() { handle_.reset(); }

 private:
  std::shared_ptr<void> handle_;
};

/// Runs callbacks on the thread that owns the service.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  virtual ~TimerService() = default;
  virtual TimePoint Now() const = 0;

  /// Calls `callback` every `period` until the subscription is destroyed.
  virtual TimerSubscription Subscribe(Duration period, Callback callback) = 0;

  /// Calls `callback` once after `delay` unless the subscription is destroyed.
  virtual TimerSubscription After(Duration delay, Callback callback) = 0;
};

/// A timer service whose time moves only when told.
class ManualTimerService : public TimerService {
 public:
  TimePoint Now() const override { return now_; }
  TimerSubscription Subscribe(Duration period, Callback callback) override;
  TimerSubscription After(Duration delay, Callback callback) override;

  /// Moves time forward and runs all callbacks that fall due, in order.
  void Advance(Duration step);

 private:
  struct Entry;
  TimerSubscription Add(Duration delay, Duration period, Callback callback);

  TimePoint now_{};
  std::multimap<TimePoint, std::weak_ptr<Entry>> due_;
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_TIMER_SERVICE_H_
