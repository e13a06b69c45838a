/// \file
/// Manual timer service.

#include "teaselhill/support/timer_service.h"

namespace teaselhill {

struct ManualTimerService::Entry {
  Duration period;
  Callback callback;
};

TimerSubscription ManualTimerService::Subscribe(Duration period,
                                                Callback callback) {
  return Add(period, period, std::move(callback));
}

TimerSubscription ManualTimerService::After(Duration delay, Callback callback) {
  return Add(delay, Duration::zero(), std::move(callback));
}

TimerSubscription ManualTimerService::Add(Duration delay,
                                          Duration period,
                                          Callback callback) {
  auto entry = std::make_shared<Entry>(Entry{period, std::move(callback)});
  due_.emplace(now_ + delay, entry);
  return TimerSubscription(entry);
}

void ManualTimerService::Advance(Duration step) {
  const TimePoint end = now_ + step;
  while (!due_.empty() && due_.begin()->first <= end) {
    const auto next = due_.begin();
    now_ = next->first;
    const std::shared_ptr<Entry> entry = next->second.lock();
    due_.erase(next);
    if (!entry)
      continue;
    if (entry->period > Duration::zero())
      due_.emplace(now_ + entry->period, entry);
    entry->callback(now_);
  }
  now_ = end;
}

}  // namespace teaselhill
