/// \file
/// Predicts output lengths from past lengths of the same customer and class.

#ifndef TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_
#define TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace teaselhill::admission {

/// Fixed-size histogram of output lengths with geometric buckets. The weights
/// of the samples decay exponentially with each new sample, so that the
/// histogram follows a change of the lengths.
class LengthSketch {
 public:
  /// Starts with a prior distribution around a few hundred tokens, which has
  /// the weight of few samples.
  LengthSketch();

  void Add(uint64_t tokens);

  /// Returns the `quantile`, in (0, 1), of the distribution of the lengths
  /// above `produced_tokens`. The result is greater than `produced_tokens`.
  uint64_t Quantile(double quantile, uint64_t produced_tokens = 0) const;

 private:
  static constexpr int kBuckets = 80;
  static int BucketOf(double tokens);

  std::array<float, kBuckets> weights_{};
};

/// Keeps a sketch for each pair of customer and class. If there are already
/// `max_sketches` sketches, a new one replaces the least recently updated one.
class LengthPredictor {
 public:
  explicit LengthPredictor(size_t max_sketches) : max_sketches_(max_sketches) {}

  void Add(const std::string& customer,
           const std::string& class_name,
           uint64_t tokens);

  /// Returns the `quantile` of the total length, in tokens, of an output that
  /// has already produced `produced_tokens` and has not ended.
  uint64_t Predict(const std::string& customer,
                   const std::string& class_name,
                   double quantile,
                   uint64_t produced_tokens = 0) const;

  size_t size() const { return sketches_.size(); }

 private:
  struct KeyedSketch {
    std::string key;
    LengthSketch sketch;
  };
  static std::string MakeKey(const std::string& customer,
                             const std::string& class_name);

  size_t max_sketches_;
  // In order of the last `Add`, most recent first.
  std::list<KeyedSketch> sketches_by_recency_;
  std::unordered_map<std::string, std::list<KeyedSketch>::iterator> sketches_;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_
