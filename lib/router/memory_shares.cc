/// \file
/// Division of the memory of the process.

#include "teaselhill/router/memory_shares.h"

#include <algorithm>

namespace teaselhill::router {

namespace {

/// The rest holds the state of the host, connections and messages that are
/// being written.
constexpr size_t kUnfinishedDivisor = 8;

}  // namespace

size_t UnfinishedBytesPerThread(size_t memory_bytes,
                                int traffic_threads,
                                size_t max_body_bytes) {
  const size_t threads = static_cast<size_t>(std::max(traffic_threads, 1));
  return std::max(memory_bytes / kUnfinishedDivisor / threads, max_body_bytes);
}

}  // namespace teaselhill::router
