/// \file
/// Shares of a host's memory.

#include "teaselhill/gateway/memory_bounds.h"

#include <algorithm>

namespace teaselhill::gateway {

namespace {

constexpr size_t kMessageShare = 8;  ///< one part of so many

/// Part of the messages' share, one of so many, for the control loop.
constexpr size_t kControlShare = 4;

/// Room for two pages of the store.
constexpr size_t kMinControlBytes = 4 << 20;

}  // namespace

MemoryBounds UnfinishedMessageBounds(size_t max_memory_bytes) {
  const size_t all = max_memory_bytes / kMessageShare;
  MemoryBounds bounds;
  bounds.control_bytes =
      std::min(std::max(all / kControlShare, kMinControlBytes), all / 2);
  bounds.traffic_bytes = all - bounds.control_bytes;
  return bounds;
}

}  // namespace teaselhill::gateway
