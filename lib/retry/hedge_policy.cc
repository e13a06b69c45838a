/// \file
/// Quantiles of the time to first token, and the budget for hedges.

#include "teaselhill/retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::retry {

namespace {

constexpr double kBucketsPerDoubling = 4;
/// Counts are halved when their total reaches this, so that old latencies lose
/// weight.
constexpr float kMaxSamples = 2000;
constexpr size_t kMaxModels = 256;

double Work(const HedgeCandidate& candidate) {
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
  if (histogram.total < kMaxSamples)
    return;
  histogram.total = 0;
  for (float& count : histogram.counts) {
    count /= 2;
    histogram.total += count;
  }
}

void HedgePolicy::OnWorkDone(uint64_t tokens) {
  credit_ =
      std::min(credit_ + options_.work_share * static_cast<double>(tokens),
               options_.max_credit);
}

std::optional<Duration> HedgePolicy::HedgeDelay(
    const std::string& model) const {
  const auto found = latencies_.find(model);
  if (found == latencies_.end() ||
      found->second.total < static_cast<float>(options_.min_samples))
    return std::nullopt;
  const Histogram& histogram = found->second;
  const double wanted = options_.quantile * histogram.total;
  double seen = 0;
  size_t bucket = 0;
  for (; bucket + 1 < histogram.counts.size(); ++bucket) {
    seen += histogram.counts[bucket];
    if (seen >= wanted)
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
         credit_ >= Work(candidate);
}

void HedgePolicy::OnHedgeStarted(const HedgeCandidate& candidate,
                                 AttemptId hedge) {
  const Pair pair{candidate.attempt, hedge, Work(candidate)};
  credit_ -= pair.charged;
  pairs_[candidate.attempt] = pair;
  pairs_[hedge] = pair;
}

std::optional<AttemptId> HedgePolicy::OnFirstToken(AttemptId attempt) {
  const auto found = pairs_.find(attempt);
  if (found == pairs_.end())
    return std::nullopt;
  const Pair pair = found->second;
  pairs_.erase(pair.primary);
  pairs_.erase(pair.hedge);
  const AttemptId loser = attempt == pair.primary ? pair.hedge : pair.primary;
  if (losers_.size() < options_.max_hedges)
    losers_[loser] = pair.charged;
  return loser;
}

bool HedgePolicy::OnEndedEarly(AttemptId attempt) {
  const auto found = pairs_.find(attempt);
  if (found == pairs_.end())
    return false;
  // The charge is not refunded, because the work done is unknown.
  const Pair pair = found->second;
  pairs_.erase(pair.primary);
  pairs_.erase(pair.hedge);
  return true;
}

void HedgePolicy::OnLoserSettled(AttemptId loser, uint64_t tokens) {
  const auto found = losers_.find(loser);
  if (found == losers_.end())
    return;
  credit_ = std::min(credit_ + found->second - static_cast<double>(tokens),
                     options_.max_credit);
  losers_.erase(found);
}

}  // namespace teaselhill::retry
