/// \file
/// Entropy for seeds.

#include "teaselhill/support/rng.h"

#include <random>

namespace teaselhill {

uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace teaselhill
