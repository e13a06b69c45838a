/// \file
/// Tests of when and whether free memory is given back to the system.

#include "teaselhill/support/allocator.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace teaselhill {

namespace {

constexpr size_t kMegabyte = 1 << 20;

size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t all = 0;
  size_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

// Memory that is never given back is lost to the host; a release that is made
// again and again costs time.
TEST_CASE("memory is released when what messages hold has fallen") {
  struct Row {
    const char* name;
    std::vector<size_t> held_megabytes;
    std::string due;  ///< one letter for each call
  };
  const Row row = GENERATE(values<Row>({
      {"calm", {0, 0, 0}, "nnn"},
      {"it only grows", {1, 4, 9}, "nnn"},
      {"it ends", {9, 0, 0, 0}, "nyyn"},
      {"it falls in steps", {16, 8, 4, 4, 4}, "nyyyn"},
      {"it falls a little", {16, 12, 10}, "nnn"},
      {"it comes again", {9, 0, 0, 9, 0}, "nyyny"},
  }));
  INFO(row.name);
  MemoryReleaseSchedule schedule;
  std::string due;
  for (const size_t megabytes : row.held_megabytes)
    due += schedule.IsDue(megabytes * kMegabyte) ? 'y' : 'n';
  CHECK(due == row.due);
}

// Blocks that are freed below one that is still in use stay with the process.
TEST_CASE("free memory below a block in use is given back") {
  constexpr size_t kBlockBytes = 16 << 10;
  constexpr size_t kBlocks = 4096;
  ConfigureAllocator();
  std::vector<std::unique_ptr<std::string>> blocks;
  for (size_t i = 0; i < kBlocks; ++i)
    blocks.push_back(std::make_unique<std::string>(kBlockBytes, 'x'));
  const size_t resident_full = ResidentBytes();
  blocks.erase(blocks.begin(), blocks.end() - 1);
  ReleaseFreeMemory();
  CHECK(resident_full - ResidentBytes() > kBlocks * kBlockBytes * 3 / 4);
}

}  // namespace teaselhill
