/// \file
/// Measures the service rate of one model while requests wait.

#include "service_rate.h"

namespace teaselhill::admission {
namespace {

/// An interval ends after kMinInterval if at least kMinRequestsForSample
/// requests were started in it, because fewer do not give a useful sample. It
/// ends after kMaxInterval in any case.
constexpr Duration kMinInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxInterval = std::chrono::seconds(4);
constexpr int kMinRequestsForSample = 8;
constexpr double kSampleWeight = 0.3;
/// A rate that was measured longer ago than this counts as unknown, because the
/// capacity may have changed.
constexpr Duration kRateLifetime = std::chrono::seconds(30);

}  // namespace

void ServiceRate::CloseInterval(TimePoint now) {
  const double sampled_rate =
      interval_work_tokens_ / ToSeconds(now - *interval_started_at_);
  tokens_per_second_ = TokensPerSecond(now) == 0
                           ? sampled_rate
                           : tokens_per_second_ * (1 - kSampleWeight) +
                                 sampled_rate * kSampleWeight;
  measured_at_ = now;
  interval_started_at_ = now;
  interval_work_tokens_ = 0;
  interval_request_count_ = 0;
}

void ServiceRate::Update(bool has_waiting, TimePoint now) {
  if (interval_started_at_) {
    const Duration interval = now - *interval_started_at_;
    const bool has_enough_requests =
        interval_request_count_ >= kMinRequestsForSample;
    if ((interval >= kMinInterval && has_enough_requests) ||
        interval >= kMaxInterval)
      CloseInterval(now);
  }
  if (!has_waiting) {
    interval_started_at_.reset();
  } else if (!interval_started_at_) {
    interval_started_at_ = now;
    interval_work_tokens_ = 0;
    interval_request_count_ = 0;
  }
}

void ServiceRate::OnRequestStarted(double work_tokens) {
  interval_work_tokens_ += work_tokens;
  ++interval_request_count_;
}

double ServiceRate::TokensPerSecond(TimePoint now) const {
  return tokens_per_second_ > 0 && now - measured_at_ < kRateLifetime
             ? tokens_per_second_
             : 0;
}

}  // namespace teaselhill::admission
