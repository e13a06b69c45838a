/// \file
/// Bounds on what the unfinished messages of a host hold.

#ifndef TEASELHILL_GATEWAY_MEMORY_BOUNDS_H_
#define TEASELHILL_GATEWAY_MEMORY_BOUNDS_H_

#include <cstddef>

namespace teaselhill::gateway {

struct MemoryBounds {
  size_t traffic_bytes = 0;  ///< requests of callers and their answers
  size_t control_bytes = 0;  ///< calls of the store and of other hosts
};

/// All unfinished messages together may hold an eighth of the process's memory:
/// the rest is for what the gateway knows, and for buffers that are not counted
/// (of sockets, of the HTTP libraries, and of strings that are being copied).
MemoryBounds UnfinishedMessageBounds(size_t max_memory_bytes);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_MEMORY_BOUNDS_H_
