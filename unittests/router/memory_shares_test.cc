/// \file
/// Guards against shares of the memory that exceed it, or that hold no request.

#include "teaselhill/router/memory_shares.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

TEST_CASE("the threads share an eighth of the memory") {
  constexpr size_t kMegabyte = 1 << 20;
  struct Row {
    size_t memory_bytes;
    int threads;
    size_t max_body_bytes;
    size_t share;
  };
  const Row row = GENERATE(values<Row>({
      {128 * kMegabyte, 4, 4 * kMegabyte, 4 * kMegabyte},
      {1024 * kMegabyte, 4, 4 * kMegabyte, 32 * kMegabyte},
      {1024 * kMegabyte, 1, 4 * kMegabyte, 128 * kMegabyte},
      {64 * kMegabyte, 4, 1 * kMegabyte, 2 * kMegabyte},
      {64 * kMegabyte, 4, 8 * kMegabyte, 8 * kMegabyte},
      {64 * kMegabyte, 0, 1 * kMegabyte, 8 * kMegabyte},
  }));
  CHECK(UnfinishedBytesPerThread(row.memory_bytes, row.threads,
                                 row.max_body_bytes) == row.share);
}

}  // namespace teaselhill::router
