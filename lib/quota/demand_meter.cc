/// \file
/// Measures the demand for one contract on this host.

#include "demand_meter.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::quota {
namespace {

constexpr Duration kSmoothingTime = std::chrono::seconds(1);
/// After this long without a request, a host reports zero demand for requests
/// and tokens, and for concurrency if no request is in flight. If the host
/// waited until its smoothed demand has decayed, other hosts would get its
/// share later.
constexpr Duration kIdleTimeout = std::chrono::seconds(1);
/// Replaces kIdleTimeout on a host with few requests and a small fraction of
/// the limits, whose demand would otherwise start and end with each request.
constexpr Duration kInfrequentIdleTimeout = std::chrono::seconds(2);
/// Replaces kInfrequentIdleTimeout on a host with many contracts, where a
/// longer timeout saves messages.
constexpr Duration kInfrequentIdleTimeoutManyContracts =
    std::chrono::seconds(4);
constexpr double kMinFrequentRequestsPerSecond = 2;
constexpr double kMaxInfrequentLimitFraction = 0.02;

float Smooth(float previous,
             double sample,
             double previous_weight,
             double limit) {
  if (limit <= 0)
    return 0;
  const double smoothed =
      previous * previous_weight + sample * (1 - previous_weight);
  return static_cast<float>(std::min(smoothed, limit));
}

}  // namespace

void DemandMeter::OnRequest(double tokens, TimePoint now) {
  has_requests_ = true;
  last_request_at_ = now;
  ++interval_requests_;
  interval_tokens_ += tokens;
}

ContractDemand DemandMeter::Update(const config::Limits& limits,
                                   int in_flight,
                                   bool many_contracts,
                                   TimePoint now) {
  const double interval_seconds = ToSeconds(now - updated_at_);
  if (interval_seconds <= 0)
    return demand_;
  const double previous_weight =
      std::exp(-interval_seconds / ToSeconds(kSmoothingTime));
  ContractDemand& demand = demand_;
  demand.requests_per_second =
      Smooth(demand.requests_per_second, interval_requests_ / interval_seconds,
             previous_weight, limits.requests_per_second);
  demand.tokens_per_second =
      Smooth(demand.tokens_per_second, interval_tokens_ / interval_seconds,
             previous_weight, limits.tokens_per_second);
  demand.concurrency =
      Smooth(demand.concurrency, in_flight + interval_concurrency_refusals_,
             previous_weight, limits.concurrency);
  requests_per_second_ =
      requests_per_second_ * previous_weight +
      interval_requests_ / interval_seconds * (1 - previous_weight);
  if (interval_requests_ > 0) {
    uses_short_idle_timeout_ =
        requests_per_second_ >= kMinFrequentRequestsPerSecond ||
        demand.requests_per_second >
            kMaxInfrequentLimitFraction * limits.requests_per_second ||
        demand.tokens_per_second >
            kMaxInfrequentLimitFraction * limits.tokens_per_second ||
        demand.concurrency > kMaxInfrequentLimitFraction * limits.concurrency;
  }
  const Duration infrequent_timeout = many_contracts
                                          ? kInfrequentIdleTimeoutManyContracts
                                          : kInfrequentIdleTimeout;
  const Duration idle_timeout =
      uses_short_idle_timeout_ ? kIdleTimeout : infrequent_timeout;
  if (!has_requests_ || now - last_request_at_ >= idle_timeout) {
    demand.requests_per_second = 0;
    demand.tokens_per_second = 0;
    if (in_flight == 0)
      demand.concurrency = 0;
  }
  updated_at_ = now;
  interval_requests_ = interval_tokens_ = 0;
  interval_concurrency_refusals_ = 0;
  return demand;
}

}  // namespace teaselhill::quota
