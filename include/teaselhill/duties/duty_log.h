/// \file
/// The log that the lease on the duties and the kept texts live in.

#ifndef TEASELHILL_DUTIES_DUTY_LOG_H_
#define TEASELHILL_DUTIES_DUTY_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

enum class RecordKind {
  kTake,
  kRenew,
  kRelease,
  kText,        ///< a kept text, which renews as well
  kUnreadable,  ///< of another version, or not by a host
};

struct LeaseRecord {
  RecordKind kind = RecordKind::kUnreadable;
  std::string holder;   ///< name of the host
  uint64_t writer = 0;  ///< number of the host's process; differs at each start
  uint64_t number = 0;  ///< of the append; the process uses each number once
  Duration length{};    ///< of the lease, from before the append was sent
  Epoch epoch = 0;      ///< zero in a record that takes the lease
  std::string duty;     ///< Duty::name(), of a text
  std::string text;
};

/// Records from an offset on, without gaps.
struct LogPage {
  uint64_t from = 0;
  uint64_t end = 0;  ///< offset after the newest record of the log
  /// The log does not retain the offset from which was read, or does not have
  /// it; nothing was read.
  bool dropped = false;
  uint64_t first = 0;  ///< retained offset; set if `dropped`
  /// Rises when the log comes back from an older copy; zero: not told.
  uint64_t era = 0;
  std::vector<LeaseRecord> records;
};

struct LogAppend {
  uint64_t at = 0;  ///< required end of the log
  LeaseRecord record;
};

enum class AppendOutcome {
  kAccepted,
  kRejected,  ///< the log ends elsewhere
  kUnknown,   ///< failed or without an answer; it may be executed yet
};

struct AppendAnswer {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  uint64_t offset = 0;  ///< of the record that was accepted
  uint64_t era = 0;     ///< see LogPage::era
};

/// Used on one event loop, on whose thread callbacks run, after the call has
/// returned.
class DutyLog {
 public:
  using ReadCallback = std::function<void(Result<LogPage>)>;
  using AppendCallback = std::function<void(AppendAnswer)>;

  virtual ~DutyLog() = default;
  /// Waits up to `max_wait` for the first record. One read at a time.
  virtual void Read(uint64_t from,
                    Duration max_wait,
                    ReadCallback callback) = 0;
  /// Gives up the read in progress; its callback is not called.
  virtual void CancelRead() = 0;
  virtual void Append(const LogAppend& append, AppendCallback callback) = 0;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_DUTY_LOG_H_
