/// \file
/// Predicts output lengths from histograms with geometric buckets.

#include "teaselhill/admission/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::admission {
namespace {

constexpr double kBucketsPerDoubling = 4;
/// Factor by which each new sample reduces the weights of all earlier samples.
/// After 138 new samples, the weight of a sample is halved.
constexpr float kDecayPerSample = 0.995f;
/// Prior distribution: log-normal with this median in tokens, this standard
/// deviation in doublings, and the weight of this many samples.
constexpr double kPriorMedianTokens = 256;
constexpr double kPriorDeviationDoublings = 1.5;
constexpr double kPriorSamples = 2;
/// If the total weight above a length is less than this, the length counts as
/// longer than all samples.
constexpr double kMinTailWeight = 1e-3;
/// Ratio of the predicted to the produced length when the produced length
/// counts as longer than all samples.
constexpr double kGrowthBeyondSamples = 1.25;

double BucketLowerBound(int bucket) {
  return std::exp2(bucket / kBucketsPerDoubling);
}

}  // namespace

LengthSketch::LengthSketch() {
  const double center = std::log2(kPriorMedianTokens) * kBucketsPerDoubling;
  const double deviation = kPriorDeviationDoublings * kBucketsPerDoubling;
  double sum = 0;
  for (int i = 0; i < kBuckets; ++i) {
    const double z = (i - center) / deviation;
    weights_[i] = static_cast<float>(std::exp(-z * z / 2));
    sum += weights_[i];
  }
  for (float& weight : weights_)
    weight *= static_cast<float>(kPriorSamples / sum);
}

int LengthSketch::BucketOf(double tokens) {
  if (tokens <= 1)
    return 0;
  const int bucket = static_cast<int>(std::log2(tokens) * kBucketsPerDoubling);
  return std::min(bucket, kBuckets - 1);
}

void LengthSketch::Add(uint64_t tokens) {
  for (float& weight : weights_)
    weight *= kDecayPerSample;
  weights_[BucketOf(static_cast<double>(tokens))] += 1;
}

uint64_t LengthSketch::Quantile(double quantile,
                                uint64_t produced_tokens) const {
  const double min_length = static_cast<double>(produced_tokens);
  const int first_bucket = BucketOf(min_length);
  // Returns the weight of the part of a bucket that is above `produced_tokens`.
  // For the bucket that contains `produced_tokens`, this part is interpolated
  // linearly.
  const auto tail_weight = [&](int bucket) -> double {
    const double low = BucketLowerBound(bucket);
    const double high = BucketLowerBound(bucket + 1);
    if (bucket != first_bucket || min_length <= low)
      return weights_[bucket];
    return weights_[bucket] * std::max(0.0, (high - min_length) / (high - low));
  };
  double total_weight = 0;
  for (int i = first_bucket; i < kBuckets; ++i)
    total_weight += tail_weight(i);
  if (total_weight < kMinTailWeight)
    return static_cast<uint64_t>(min_length * kGrowthBeyondSamples) + 1;
  double remaining_weight = quantile * total_weight;
  for (int i = first_bucket; i < kBuckets; ++i) {
    const double weight = tail_weight(i);
    if (remaining_weight <= weight || i + 1 == kBuckets) {
      const double low = std::max(BucketLowerBound(i), min_length);
      const double bucket_fraction =
          weight > 0 ? std::min(1.0, remaining_weight / weight) : 1;
      const double value =
          low + bucket_fraction * (BucketLowerBound(i + 1) - low);
      return std::max(produced_tokens + 1, static_cast<uint64_t>(value));
    }
    remaining_weight -= weight;
  }
  return produced_tokens + 1;
}

std::string LengthPredictor::MakeKey(const std::string& customer,
                                     const std::string& class_name) {
  // The length prefix makes the keys of ("a", "bc") and ("ab", "c") differ.
  return std::to_string(customer.size()) + ':' + customer + class_name;
}

void LengthPredictor::Add(const std::string& customer,
                          const std::string& class_name,
                          uint64_t tokens) {
  std::string key = MakeKey(customer, class_name);
  const auto found = sketches_.find(key);
  if (found != sketches_.end()) {
    sketches_by_recency_.splice(sketches_by_recency_.begin(),
                                sketches_by_recency_, found->second);
  } else {
    if (sketches_.size() >= max_sketches_) {
      sketches_.erase(sketches_by_recency_.back().key);
      sketches_by_recency_.pop_back();
    }
    sketches_by_recency_.push_front(KeyedSketch{key, {}});
    sketches_.emplace(std::move(key), sketches_by_recency_.begin());
  }
  sketches_by_recency_.front().sketch.Add(tokens);
}

uint64_t LengthPredictor::Predict(const std::string& customer,
                                  const std::string& class_name,
                                  double quantile,
                                  uint64_t produced_tokens) const {
  static const LengthSketch prior;
  const auto found = sketches_.find(MakeKey(customer, class_name));
  const LengthSketch& sketch =
      found == sketches_.end() ? prior : found->second->sketch;
  return sketch.Quantile(quantile, produced_tokens);
}

}  // namespace teaselhill::admission
