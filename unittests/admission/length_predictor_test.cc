/// \file
/// Tests of the output-length prediction.

#include "teaselhill/admission/length_predictor.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace teaselhill::admission {

// Guards against wrong buckets or interpolation: a predicted quantile must be
// within one bucket (19%) of the lengths whose rank is close to the quantile,
// also if only lengths above a produced length count.
TEST_CASE("predicted quantiles match those of the samples") {
  rc::prop("quantile is close to that of the samples", [] {
    const auto lengths = *rc::gen::container<std::vector<uint64_t>>(
        100, rc::gen::inRange<uint64_t>(50, 3000));
    const auto produced = *rc::gen::inRange<uint64_t>(0, 800);
    LengthSketch sketch;
    for (int round = 0; round < 20; ++round) {
      for (uint64_t length : lengths)
        sketch.Add(length);
    }
    std::vector<uint64_t> remaining_lengths;
    for (uint64_t length : lengths) {
      if (length > produced)
        remaining_lengths.push_back(length);
    }
    RC_PRE(remaining_lengths.size() >= 20u);
    std::sort(remaining_lengths.begin(), remaining_lengths.end());
    for (double quantile : {0.25, 0.5, 0.9}) {
      const auto predicted =
          static_cast<double>(sketch.Quantile(quantile, produced));
      const double rank_tolerance = 0.15;  // recent samples weigh more
      const auto exact_quantile = [&](double q) {
        const double last_index =
            static_cast<double>(remaining_lengths.size() - 1);
        return static_cast<double>(remaining_lengths[static_cast<size_t>(
            std::clamp(q, 0.0, 1.0) * last_index)]);
      };
      RC_ASSERT(predicted >=
                exact_quantile(quantile - rank_tolerance) / 1.2 - 1);
      RC_ASSERT(predicted <=
                exact_quantile(quantile + rank_tolerance) * 1.2 + 1);
      RC_ASSERT(predicted > static_cast<double>(produced));
    }
  });
}

// Guards against old samples that dominate the prediction after a change of the
// lengths.
TEST_CASE("the prediction follows a change of the lengths") {
  LengthPredictor predictor(2);
  for (int i = 0; i < 1000; ++i)
    predictor.Add("a", "c", 50);
  CHECK(predictor.Predict("a", "c", 0.5) == Approx(50).epsilon(0.2));
  for (int i = 0; i < 300; ++i)
    predictor.Add("a", "c", 2000);
  CHECK(predictor.Predict("a", "c", 0.5) == Approx(2000).epsilon(0.2));
}

// Guards against memory use that grows with the number of customers and
// classes.
TEST_CASE("the least recently updated sketch is evicted at the bound") {
  LengthPredictor predictor(2);
  predictor.Add("a", "bc", 50);
  predictor.Add("ab", "c", 5000);
  predictor.Add("a", "bc", 50);
  CHECK(predictor.Predict("ab", "c", 0.9) > 1000);
  predictor.Add("x", "y", 10);
  CHECK(predictor.size() == 2);
  CHECK(predictor.Predict("a", "bc", 0.1) <= 60);
}

}  // namespace teaselhill::admission
