/// \file
/// Measures the service rate of one model while requests wait.

#include "service_rate.h"

namespace teaselhill::admission {
namespace {

/// An interval ends after kShortInterval if it has kEnoughStarts starts, which
/// make it a useful sample, and after kLongInterval in any case.
constexpr Duration kShortInterval = std::chrono::milliseconds(500);
constexpr Duration kLongInterval = std::chrono::seconds(4);
constexpr int kEnoughStarts = 8;
constexpr double kSmoothing = 0.3;
/// An older rate counts as unknown, because the capacity may have changed.
constexpr Duration kMeasurementLifetime = std::chrono::seconds(30);

}  // namespace

void ServiceRate::CloseInterval(TimePoint now) {
  const double sample = interval_work_ / ToSeconds(now - *interval_start_);
  rate_ =
      Get(now) == 0 ? sample : rate_ * (1 - kSmoothing) + sample * kSmoothing;
  measured_ = now;
  interval_start_ = now;
  interval_work_ = 0;
  interval_starts_ = 0;
}

void ServiceRate::Update(bool waiting, TimePoint now) {
  if (interval_start_) {
    const Duration length = now - *interval_start_;
    const bool enough = interval_starts_ >= kEnoughStarts;
    if ((length >= kShortInterval && enough) || length >= kLongInterval)
      CloseInterval(now);
  }
  if (!waiting) {
    interval_start_.reset();
  } else if (!interval_start_) {
    interval_start_ = now;
    interval_work_ = 0;
    interval_starts_ = 0;
  }
}

void ServiceRate::OnStart(double work) {
  interval_work_ += work;
  ++interval_starts_;
}

double ServiceRate::Get(TimePoint now) const {
  return rate_ > 0 && now - measured_ < kMeasurementLifetime ? rate_ : 0;
}

}  // namespace teaselhill::admission
