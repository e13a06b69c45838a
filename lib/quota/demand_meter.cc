/// \file
/// Measures the demand for one contract on this host.

#include "demand_meter.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::quota {
namespace {

constexpr Duration kSmoothing = std::chrono::seconds(1);
/// A host reports no demand after this long without a request. If it waited for
/// the smoothed values to decay, other hosts would get its share later.
constexpr Duration kIdleAfter = std::chrono::seconds(1);
/// The same for a host with few requests and a small fraction of the limit,
/// whose demand would otherwise start and end with each request.
constexpr Duration kRarelyIdleAfter = std::chrono::seconds(2);
/// The same as kRarelyIdleAfter, on a host with many contracts, where it saves
/// messages.
constexpr Duration kRarelyIdleAfterWithMany = std::chrono::seconds(4);
constexpr double kFewRequestsPerSecond = 2;
constexpr double kSmallPart = 0.02;

float Smooth(float old, double sample, double keep, double limit) {
  if (limit <= 0)
    return 0;
  const double mixed = old * keep + sample * (1 - keep);
  return static_cast<float>(std::min(mixed, limit));
}

}  // namespace

void DemandMeter::OnAttempt(double tokens, TimePoint now) {
  attempted_ = true;
  last_attempt_ = now;
  ++requests_;
  tokens_ += tokens;
}

ContractDemand DemandMeter::Update(const config::Limits& limits,
                                   int in_flight,
                                   bool many_contracts,
                                   TimePoint now) {
  const double seconds = ToSeconds(now - updated_);
  if (seconds <= 0)
    return smoothed_;
  const double keep = std::exp(-seconds / ToSeconds(kSmoothing));
  ContractDemand& demand = smoothed_;
  demand.requests_per_second =
      Smooth(demand.requests_per_second, requests_ / seconds, keep,
             limits.requests_per_second);
  demand.tokens_per_second = Smooth(demand.tokens_per_second, tokens_ / seconds,
                                    keep, limits.tokens_per_second);
  demand.concurrency = Smooth(demand.concurrency, in_flight + refused_, keep,
                              limits.concurrency);
  rate_ = rate_ * keep + requests_ / seconds * (1 - keep);
  if (requests_ > 0) {
    busy_ =
        rate_ >= kFewRequestsPerSecond ||
        demand.requests_per_second > kSmallPart * limits.requests_per_second ||
        demand.tokens_per_second > kSmallPart * limits.tokens_per_second ||
        demand.concurrency > kSmallPart * limits.concurrency;
  }
  const Duration rarely =
      many_contracts ? kRarelyIdleAfterWithMany : kRarelyIdleAfter;
  const Duration idle_after = busy_ ? kIdleAfter : rarely;
  if (!attempted_ || now - last_attempt_ >= idle_after) {
    demand.requests_per_second = 0;
    demand.tokens_per_second = 0;
    if (in_flight == 0)
      demand.concurrency = 0;
  }
  updated_ = now;
  requests_ = tokens_ = 0;
  refused_ = 0;
  return demand;
}

}  // namespace teaselhill::quota
