/// \file
/// Stores the streams of the stand-in log, with append rate and retention
/// limits.

#ifndef TEASELHILL_STANDIN_LOG_STORE_H_
#define TEASELHILL_STANDIN_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "teaselhill/standin/messages.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::standin {

struct LogConfig {
  double appends_per_second = 400;  ///< records per second over all streams
  Duration retention = std::chrono::hours(24);
  uint64_t retained_records = 100000;  ///< maximum for each stream
};

class LogStore {
 public:
  explicit LogStore(LogConfig config)
      : config_(config), available_appends_(config.appends_per_second) {}

  /// Appends `records` and returns the offset of the first of them. Returns
  /// kLogRateLimited if the append rate is exceeded.
  Result<uint64_t> Append(const std::string& stream,
                          std::vector<std::string> records,
                          TimePoint now,
                          WallTime wall);

  /// Returns at most `limit` records, starting at offset `from`. Returns
  /// kOffsetDropped if the record at `from` has been truncated.
  Result<LogPage> Read(const std::string& stream,
                       uint64_t from,
                       size_t limit,
                       TimePoint now);

  /// Returns the lowest offset in `stream` that has not been truncated.
  uint64_t first_retained(const std::string& stream, TimePoint now);

 private:
  struct StoredRecord {
    LogRecord record;
    TimePoint appended_at;
  };
  struct Stream {
    uint64_t next_offset = 1;
    std::deque<StoredRecord> records;
  };

  Stream& TruncateStream(const std::string& stream, TimePoint now);
  bool ConsumeAppendQuota(size_t records, TimePoint now);

  LogConfig config_;
  double available_appends_;
  TimePoint refilled_at_{};
  std::map<std::string, Stream> streams_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_LOG_STORE_H_
