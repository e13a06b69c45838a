/// \file
/// Division of the memory of the process.

#ifndef TEASELHILL_ROUTER_MEMORY_SHARES_H_
#define TEASELHILL_ROUTER_MEMORY_SHARES_H_

#include <cstddef>

namespace teaselhill::router {

/// Returns how many bytes the unfinished messages of one traffic thread may
/// hold together: an equal part of an eighth of `memory_bytes`, but no less
/// than one request of `max_body_bytes`.
size_t UnfinishedBytesPerThread(size_t memory_bytes,
                                int traffic_threads,
                                size_t max_body_bytes);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_MEMORY_SHARES_H_
