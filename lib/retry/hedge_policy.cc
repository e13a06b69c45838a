/// \file
/// Quantiles of the time to first token, and the budget for hedges.

#include "teaselhill/retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::retry {

namespace {

constexpr double kBucketsPerDoubling = 4;
/// The counts of a histogram are halved when their total reaches this number of
/// samples, so that old latencies lose weight.
constexpr float kMaxHistogramSamples = 2000;
constexpr size_t kMaxModels = 256;

double ExpectedWorkTokens(const HedgeCandidate& candidate) {
  return static_cast<double>(candidate.prompt_tokens) +
         candidate.predicted_output_tokens;
}

}  // namespace

void HedgePolicy::OnFirstTokenLatency(const std::string& model,
                                      Duration latency) {
  if (latencies_.count(model) == 0 && latencies_.size() >= kMaxModels)
    return;
  Histogram& histogram = latencies_[model];
  const double milliseconds = std::max(1.0, ToMilliseconds(latency));
  const auto bucket = static_cast<size_t>(
      std::ceil(std::log2(milliseconds) * kBucketsPerDoubling));
  histogram.counts[std::min(bucket, histogram.counts.size() - 1)] += 1;
  histogram.total += 1;
  if (histogram.total < kMaxHistogramSamples)
    return;
  histogram.total = 0;
  for (float& count : histogram.counts) {
    count /= 2;
    histogram.total += count;
  }
}

void HedgePolicy::OnWorkDone(uint64_t tokens) {
  credit_tokens_ = std::min(
      credit_tokens_ + options_.work_fraction * static_cast<double>(tokens),
      options_.max_credit_tokens);
}

std::optional<Duration> HedgePolicy::HedgeDelay(
    const std::string& model) const {
  const auto found = latencies_.find(model);
  if (found == latencies_.end() ||
      found->second.total < static_cast<float>(options_.min_samples))
    return std::nullopt;
  const Histogram& histogram = found->second;
  const double target_count = options_.delay_quantile * histogram.total;
  double cumulative_count = 0;
  size_t bucket = 0;
  for (; bucket + 1 < histogram.counts.size(); ++bucket) {
    cumulative_count += histogram.counts[bucket];
    if (cumulative_count >= target_count)
      break;
  }
  const double milliseconds =
      std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
  return FromSeconds(milliseconds / 1000);
}

bool HedgePolicy::ShouldHedge(const HedgeCandidate& candidate,
                              TimePoint now) const {
  if (!candidate.urgent || !candidate.idempotent || candidate.suspect)
    return false;
  if (pairs_.count(candidate.attempt) != 0 ||
      pairs_.size() >= 2 * options_.max_hedges)
    return false;
  const std::optional<Duration> delay = HedgeDelay(candidate.model);
  return delay && now - candidate.sent_at >= *delay &&
         credit_tokens_ >= ExpectedWorkTokens(candidate);
}

void HedgePolicy::OnHedgeStarted(const HedgeCandidate& candidate,
                                 AttemptId hedge) {
  const HedgePair pair{candidate.attempt, hedge, ExpectedWorkTokens(candidate)};
  credit_tokens_ -= pair.charged_tokens;
  pairs_[candidate.attempt] = pair;
  pairs_[hedge] = pair;
}

std::optional<AttemptId> HedgePolicy::OnFirstToken(AttemptId attempt) {
  const auto found = pairs_.find(attempt);
  if (found == pairs_.end())
    return std::nullopt;
  const HedgePair pair = found->second;
  pairs_.erase(pair.primary);
  pairs_.erase(pair.hedge);
  const AttemptId loser = attempt == pair.primary ? pair.hedge : pair.primary;
  if (unsettled_charges_.size() < options_.max_hedges)
    unsettled_charges_[loser] = pair.charged_tokens;
  return loser;
}

bool HedgePolicy::OnEndedBeforeFirstToken(AttemptId attempt) {
  const auto found = pairs_.find(attempt);
  if (found == pairs_.end())
    return false;
  // The charge for the hedge is not refunded, because the work that the ended
  // attempt had done is unknown.
  const HedgePair pair = found->second;
  pairs_.erase(pair.primary);
  pairs_.erase(pair.hedge);
  return true;
}

void HedgePolicy::OnLoserSettled(AttemptId loser, uint64_t tokens) {
  const auto found = unsettled_charges_.find(loser);
  if (found == unsettled_charges_.end())
    return;
  credit_tokens_ =
      std::min(credit_tokens_ + found->second - static_cast<double>(tokens),
               options_.max_credit_tokens);
  unsettled_charges_.erase(found);
}

}  // namespace teaselhill::retry
