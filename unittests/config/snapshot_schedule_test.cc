/// \file
/// Guards against a due snapshot that no host writes, and against a due
/// snapshot that every host writes at the same time.

#include "teaselhill/config/snapshot_schedule.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace teaselhill::config {

TEST_CASE(
    "a due snapshot is written, by few hosts, while other hosts are down") {
  rc::prop("any hosts down", [] {
    constexpr int kHosts = 20;
    std::vector<std::string> names;
    std::vector<SnapshotSchedule> schedules;
    for (int i = 0; i < kHosts; ++i) {
      names.push_back("host-" + std::to_string(i));
      schedules.emplace_back(names.back());
    }
    Rng rng(*rc::gen::arbitrary<uint64_t>());
    const int down = *rc::gen::inRange(0, kHosts);
    const auto through = *rc::gen::inRange<LogOffset>(1, 5000);
    const LogOffset next = through + 256;
    int writers = 0;
    LogOffset announced = through;
    // The hosts receive the announcement one second after the write.
    for (int second = 0; second < 100; ++second) {
      const TimePoint now{std::chrono::seconds(second)};
      const bool written = writers > 0;
      for (int i = down; i < kHosts; ++i)
        writers += schedules[i].ShouldWrite(next, announced, names, now, rng);
      if (written)
        announced = next;
    }
    RC_ASSERT(writers >= 1);
    // Hosts above the maximum rank of 8 share the delay of that rank.
    RC_ASSERT(writers <= (down < 9 ? 6 : kHosts));
  });
}

}  // namespace teaselhill::config
