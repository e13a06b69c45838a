/// \file
/// Tests of the shares of a host's memory.

#include "teaselhill/gateway/memory_bounds.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

// A bound that is too large lets the process be ended; one that is too small
// keeps the control loop from reading a page of the store.
TEST_CASE("messages hold an eighth of the memory, with room for the store") {
  constexpr size_t kMegabyte = 1'000'000;
  constexpr size_t kStorePageBytes = 2 << 20;
  const size_t megabytes = GENERATE(110u, 160u, 260u, 1000u);
  CAPTURE(megabytes);
  const MemoryBounds bounds = UnfinishedMessageBounds(megabytes * kMegabyte);
  const size_t all = bounds.traffic_bytes + bounds.control_bytes;
  CHECK(all == megabytes * kMegabyte / 8);
  CHECK(bounds.control_bytes >= 2 * kStorePageBytes);
  CHECK(bounds.traffic_bytes >= bounds.control_bytes);
}

TEST_CASE("a process without memory to speak of has small bounds") {
  const MemoryBounds bounds = UnfinishedMessageBounds(8 << 20);
  CHECK(bounds.control_bytes == 512 << 10);
  CHECK(bounds.traffic_bytes == 512 << 10);
}

}  // namespace teaselhill::gateway
