/// \file
/// Predicts output lengths from histograms with geometric buckets.

#include "teaselhill/admission/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::admission {
namespace {

constexpr double kBucketsPerDoubling = 4;
/// Factor by which each new sample reduces all weights. The weight of a sample
/// is halved by 138 later ones.
constexpr float kDecay = 0.995f;
/// Prior distribution: log-normal with this median in tokens, this standard
/// deviation in doublings, and the weight of this many samples.
constexpr double kPriorMedian = 256;
constexpr double kPriorDoublings = 1.5;
constexpr double kPriorSamples = 2;
/// A length with less total weight above it counts as longer than all samples.
constexpr double kMinimumTail = 1e-3;
/// Ratio of predicted to produced length beyond all samples.
constexpr double kUnseenGrowth = 1.25;

double LowerBound(int bucket) {
  return std::exp2(bucket / kBucketsPerDoubling);
}

}  // namespace

LengthSketch::LengthSketch() {
  const double center = std::log2(kPriorMedian) * kBucketsPerDoubling;
  const double width = kPriorDoublings * kBucketsPerDoubling;
  double sum = 0;
  for (int i = 0; i < kBuckets; ++i) {
    const double z = (i - center) / width;
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
    weight *= kDecay;
  weights_[BucketOf(static_cast<double>(tokens))] += 1;
}

uint64_t LengthSketch::Quantile(double quantile, uint64_t produced) const {
  const double from = static_cast<double>(produced);
  const int first = BucketOf(from);
  // Weight of a bucket above `produced`: for the bucket that contains
  // `produced` a fraction, interpolated linearly.
  const auto tail_weight = [&](int bucket) -> double {
    const double low = LowerBound(bucket);
    const double high = LowerBound(bucket + 1);
    if (bucket != first || from <= low)
      return weights_[bucket];
    return weights_[bucket] * std::max(0.0, (high - from) / (high - low));
  };
  double total = 0;
  for (int i = first; i < kBuckets; ++i)
    total += tail_weight(i);
  if (total < kMinimumTail)
    return static_cast<uint64_t>(from * kUnseenGrowth) + 1;
  double left = quantile * total;
  for (int i = first; i < kBuckets; ++i) {
    const double weight = tail_weight(i);
    if (left <= weight || i + 1 == kBuckets) {
      const double low = std::max(LowerBound(i), from);
      const double part = weight > 0 ? std::min(1.0, left / weight) : 1;
      const double value = low + part * (LowerBound(i + 1) - low);
      return std::max(produced + 1, static_cast<uint64_t>(value));
    }
    left -= weight;
  }
  return produced + 1;
}

std::string LengthPredictor::Key(const std::string& customer,
                                 const std::string& class_name) {
  // The length prefix makes the keys of ("a", "bc") and ("ab", "c") differ.
  return std::to_string(customer.size()) + ':' + customer + class_name;
}

void LengthPredictor::Add(const std::string& customer,
                          const std::string& class_name,
                          uint64_t tokens) {
  std::string key = Key(customer, class_name);
  const auto found = sketches_.find(key);
  if (found != sketches_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
  } else {
    if (sketches_.size() >= max_sketches_) {
      sketches_.erase(recent_.back().key);
      recent_.pop_back();
    }
    recent_.push_front(Entry{key, {}});
    sketches_.emplace(std::move(key), recent_.begin());
  }
  recent_.front().sketch.Add(tokens);
}

uint64_t LengthPredictor::Predict(const std::string& customer,
                                  const std::string& class_name,
                                  double quantile,
                                  uint64_t produced) const {
  static const LengthSketch prior;
  const auto found = sketches_.find(Key(customer, class_name));
  const LengthSketch& sketch =
      found == sketches_.end() ? prior : found->second->sketch;
  return sketch.Quantile(quantile, produced);
}

}  // namespace teaselhill::admission
