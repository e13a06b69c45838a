/// \file
/// Prediction of output lengths from past lengths of the same customer and
/// class.

#ifndef TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_
#define TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace teaselhill::admission {

/// A histogram of lengths with geometric buckets. Older samples lose weight, so
/// that it follows a change of the lengths; its size is fixed.
class LengthSketch {
 public:
  /// Starts with a weak prior around a few hundred tokens.
  LengthSketch();

  void Add(uint64_t tokens);

  /// Returns the `quantile` (in (0, 1)) of the lengths greater than `produced`.
  uint64_t Quantile(double quantile, uint64_t produced = 0) const;

 private:
  static constexpr int kBuckets = 80;
  static int BucketOf(double tokens);

  std::array<float, kBuckets> weights_{};
};

/// Keeps one sketch for each (customer, class), the most recently used ones.
class LengthPredictor {
 public:
  explicit LengthPredictor(size_t max_sketches) : max_sketches_(max_sketches) {}

  void Add(const std::string& customer,
           const std::string& class_name,
           uint64_t tokens);

  /// Returns the `quantile` of the whole length given that `produced` tokens
  /// were produced without an end.
  uint64_t Predict(const std::string& customer,
                   const std::string& class_name,
                   double quantile,
                   uint64_t produced = 0) const;

  size_t size() const { return sketches_.size(); }

 private:
  struct Entry {
    std::string key;
    LengthSketch sketch;
  };
  static std::string Key(const std::string& customer,
                         const std::string& class_name);

  size_t max_sketches_;
  std::list<Entry> recent_;  // most recently added first
  std::unordered_map<std::string, std::list<Entry>::iterator> sketches_;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_ADMISSION_LENGTH_PREDICTOR_H_
