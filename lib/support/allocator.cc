/// \file
/// Settings and calls of glibc's allocator.

#include "teaselhill/support/allocator.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace teaselhill {

namespace {

/// Blocks of this size are mapped on their own, and unmapped when freed.
/// Strings that grow side by side by doubling would leave holes in the heap.
constexpr int kMapThresholdBytes = 32 << 10;

/// Free bytes at the end of the heap above which it shrinks.
constexpr int kTrimThresholdBytes = 1 << 20;

/// A smaller peak is not worth a release.
constexpr size_t kMinPeakBytes = 1 << 20;

}  // namespace

void ConfigureAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void ReleaseFreeMemory() {
  malloc_trim(0);
}

bool MemoryReleaseSchedule::IsDue(size_t held_bytes) {
  peak_bytes_ = std::max(peak_bytes_, held_bytes);
  const bool has_fallen =
      peak_bytes_ >= kMinPeakBytes && held_bytes <= peak_bytes_ / 2;
  if (!has_fallen)
    return std::exchange(release_again_, false);
  peak_bytes_ = held_bytes;
  // What belongs to a message is freed up to a period after its bytes.
  release_again_ = true;
  return true;
}

}  // namespace teaselhill
