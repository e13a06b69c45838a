/// \file
/// Follows one stream of the log from an offset.

#ifndef TEASELHILL_SERVICES_LOG_TAIL_H_
#define TEASELHILL_SERVICES_LOG_TAIL_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/services/backoff.h"
#include "teaselhill/services/log_client.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::services {

struct LogTailOptions {
  std::string stream;
  size_t batch = 256;
  Duration poll_wait = std::chrono::seconds(25);
  Backoff::Options backoff;
  /// Delay after records that reach the end of the log, so that those of many
  /// hosts come in one answer; `Poke` ends it.
  Duration pause{};
  /// Delay between reads while the log ends before the tail's offset or its
  /// offset was dropped. A long poll cannot be used there.
  Duration recheck = std::chrono::seconds(2);
  /// A read that does not answer within this time after Poke() counts as
  /// failed. Doubled after each such read, so that a slow log is still read.
  Duration poke_patience = std::chrono::seconds(1);
  Duration max_poke_patience = std::chrono::seconds(8);
};

/// What the tail knows of the log.
struct LogLag {
  bool reachable = false;   ///< the last read succeeded
  LogOffset behind = 0;     ///< records known on the log but not delivered
  TimePoint last_answer{};  ///< when the log last answered
  uint64_t failures = 0;    ///< reads in a row that failed
  bool offset_dropped = false;
  bool ends_before = false;  ///< the log ends before the tail's offset
};

class LogTailObserver {
 public:
  virtual ~LogTailObserver() = default;

  /// Records in order without holes, starting at the tail's offset.
  virtual void OnRecords(const std::vector<LogRecord>& records) = 0;

  /// Retention dropped the tail's offset. The observer loads a snapshot and
  /// calls Seek(); until then the tail checks again slowly and repeats this.
  virtual void OnGap(LogOffset from) = 0;

  /// The log ends at `log_next`, before the tail's offset: it restarted with
  /// less. Called once for each time this begins.
  virtual void OnLogRestartedWithLess(LogOffset from, LogOffset log_next) = 0;
};

/// All functions must be called on the loop's thread.
class LogTail {
 public:
  LogTail(LogClient& client,
          TimerService& timers,
          Rng& rng,
          LogTailOptions options,
          LogTailObserver& observer);
  ~LogTail();
  LogTail(const LogTail&) = delete;
  LogTail& operator=(const LogTail&) = delete;

  void Start(LogOffset from);

  /// Continues at `from`; an answer to a read in flight is dropped.
  void Seek(LogOffset from);

  /// Reads at once, for instance after a peer's hint that the log has more.
  /// A read in flight is given `poke_patience` to answer: a long poll whose
  /// answer was lost would otherwise hide new records until it times out.
  void Poke();

  LogOffset next_offset() const { return next_; }
  const LogLag& lag() const { return lag_; }

 private:
  void Read();
  void ReadAfter(Duration delay);
  void GiveUpRead();
  void OnAnswer(const Result<LogPage>& answer);
  void OnFailure(const Error& error);
  void Deliver(const LogPage& page);

  LogClient& client_;
  TimerService& timers_;
  LogTailOptions options_;
  LogTailObserver& observer_;
  Backoff backoff_;
  LogOffset next_ = 0;
  LogLag lag_;
  bool reading_ = false;
  bool poked_ = false;  ///< during the read in flight
  Duration patience_{};
  TimerSubscription timer_;
  TimerSubscription patience_timer_;
  /// Replaced by Seek() and released with the tail; answers to older reads find
  /// it expired.
  std::shared_ptr<int> epoch_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_LOG_TAIL_H_
