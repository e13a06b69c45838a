/// \file
/// Counts the requests that began to run at one host.

#ifndef TEASELHILL_DUTIES_USAGE_COUNTER_H_
#define TEASELHILL_DUTIES_USAGE_COUNTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/name_table.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// Counts by team in short buckets of boot time and keeps the counts for a
/// while, so that a new holder of the duties gets them too. Each count has a
/// number; a report has those after the last one that its reader got.
/// Deterministic: time is an argument. Callable from any thread: the traffic
/// thread counts, the control thread reports.
class UsageCounter {
 public:
  /// A request may be counted in the wrong window if it begins within half of
  /// this time of the window's end. A team with few requests notices one.
  static constexpr std::chrono::milliseconds kBucket{20};
  static constexpr std::chrono::seconds kRetention{30};
  /// Bounds the memory and the size of a report.
  static constexpr size_t kMaxCounts = 32768;

  /// `incarnation`: differs with each start of the host; not 0.
  explicit UsageCounter(uint64_t incarnation) : incarnation_(incarnation) {}

  /// A request of the team began to run at `began`, which may be some time
  /// before `now`.
  void Count(std::string_view team, TimePoint began, TimePoint now);

  /// Sets incarnation, last_count and usage. A count that may still grow is
  /// left to the next report.
  void Report(const HostReportQuery& query, TimePoint now, HostReport* report);

 private:
  using Bucket = Duration::rep;  ///< number of the bucket of boot time
  struct Entry {
    Bucket began = 0;
    uint32_t team = 0;
    uint32_t requests = 0;
  };

  /// Numbers the counts of the open bucket if `now` is past it.
  void CloseBucket(TimePoint now);

  const uint64_t incarnation_;
  std::mutex mutex_;
  NameTable teams_;
  Bucket open_bucket_ = 0;  ///< in which `open_counts_` were counted
  std::map<std::pair<Bucket, uint32_t>, uint32_t> open_counts_;
  std::deque<Entry> entries_;
  uint64_t last_number_ = 0;  ///< of the last entry
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_USAGE_COUNTER_H_
