/// \file
/// Applies fault commands to a stand-in.

#include "teaselhill/standin/faults.h"

namespace teaselhill::standin {

void Faults::Apply(const FaultCommand& command, TimePoint now) {
  const TimePoint until = command.for_time > Duration::zero()
                              ? now + command.for_time
                              : TimePoint::max();
  switch (command.kind) {
    case FaultKind::kFreeze:
      frozen_until_ = until;
      break;
    case FaultKind::kSlow:
      slow_until_ = until;
      slow_factor_ = command.factor;
      break;
    case FaultKind::kCrash:
      break;
    case FaultKind::kCrashOn:
      crash_marker_ = command.marker;
      break;
    case FaultKind::kRefuse:
      refuse_until_ = until;
      break;
    case FaultKind::kLoseAnswer:
      lose_until_ = until;
      lose_probability_ = command.probability;
      break;
    case FaultKind::kCutOff:
      cut_off_until_ = until;
      cut_off_ = {command.addresses.begin(), command.addresses.end()};
      break;
    case FaultKind::kClear:
      frozen_until_ = refuse_until_ = slow_until_ = TimePoint{};
      lose_until_ = cut_off_until_ = TimePoint{};
      crash_marker_.clear();
      break;
  }
}

}  // namespace teaselhill::standin
