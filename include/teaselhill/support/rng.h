/// \file
/// Seeded random numbers for decisions and load generation.

#ifndef TEASELHILL_SUPPORT_RNG_H_
#define TEASELHILL_SUPPORT_RNG_H_

#include <cstdint>
#include <pcg_random.hpp>

namespace teaselhill {

/// A seeded generator; the same seed gives the same sequence on every machine.
class Rng {
 public:
  explicit Rng(uint64_t seed) : engine_(seed) {}

  uint64_t Next() { return engine_(); }

  /// Returns a value in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  /// Returns a value in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  pcg64 engine_;
};

/// Returns a seed from the operating system's entropy source.
uint64_t EntropySeed();

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_RNG_H_
