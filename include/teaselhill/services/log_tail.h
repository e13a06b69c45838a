/// \file
/// Reads one stream of the log continuously from an offset.

#ifndef TEASELHILL_SERVICES_LOG_TAIL_H_
#define TEASELHILL_SERVICES_LOG_TAIL_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/services/backoff.h"
#include "teaselhill/services/log_client.h"
#include "teaselhill/support/answer_monitor.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::services {

struct LogTailOptions {
  std::string stream;
  size_t max_batch_records = 256;  ///< maximum number of records in a read
  /// Time for which the log may hold a long poll open.
  Duration poll_wait = std::chrono::seconds(25);
  Backoff::Options backoff;
  /// Delay before the next read after the tail has caught up. Records that many
  /// hosts append during the delay arrive in one answer. ReadNow() ends the
  /// delay.
  Duration batch_delay{};
  /// Delay between reads while the tail's offset is beyond the end of the log
  /// or was truncated. A long poll cannot replace the delay: beyond the end the
  /// tail reads without a wait, and for a truncated offset the log returns an
  /// error at once.
  Duration recheck_interval = std::chrono::seconds(2);
  /// A read without a wait at the log that has no answer within this time is
  /// repeated on another connection, and so is one with a wait after ReadNow().
  /// The answer to the first one still counts, so that a slow log can be read.
  Duration answer_timeout = std::chrono::milliseconds(800);
};

/// State of the log as observed by the tail.
struct LogLag {
  bool reachable = false;   ///< the last read succeeded
  LogOffset behind = 0;     ///< records on the log that are not delivered yet
  TimePoint last_answer{};  ///< time of the log's last answer
  uint64_t failures = 0;    ///< consecutive failed reads
  bool offset_dropped = false;      ///< the tail's offset was truncated
  bool ends_before_offset = false;  ///< the log ends before the tail's offset
};

/// Receives the events of a LogTail on the event loop's thread.
class LogTailObserver {
 public:
  virtual ~LogTailObserver() = default;

  /// `records` have consecutive offsets, starting at the tail's offset.
  virtual void OnRecords(const std::vector<LogRecord>& records) = 0;

  /// The tail's offset `from` was truncated. The observer must load a snapshot
  /// and call Seek(). Until then the tail reads again at intervals of
  /// `recheck_interval` and repeats this call.
  virtual void OnGap(LogOffset from) = 0;

  /// The log restarted with fewer records: its next offset `log_next` is below
  /// the tail's offset `from`. Called once each time this condition
  /// begins.
  virtual void OnLogRestartedWithFewerRecords(LogOffset from,
                                              LogOffset log_next) = 0;
};

/// Delivers the records of a stream to an observer and retries failed reads.
/// All functions must be called on the event loop's thread. The objects passed
/// by reference to the constructor must outlive this object.
class LogTail : private AnswerMonitor::Observer {
 public:
  LogTail(LogClient& client,
          TimerService& timers,
          Rng& rng,
          LogTailOptions options,
          LogTailObserver& observer);
  ~LogTail() override;
  LogTail(const LogTail&) = delete;
  LogTail& operator=(const LogTail&) = delete;

  void Start(LogOffset from);

  /// Continues at `from` and ignores the answer to a read in flight.
  void Seek(LogOffset from);

  /// Reads at once, for instance after a peer's hint that the log has new
  /// records. A read in flight is repeated without a wait if it has no answer
  /// within `answer_timeout`: a long poll whose answer was lost would otherwise
  /// delay new records until the poll times out.
  void ReadNow();

  /// Repeats a read that waits at the log, which may not answer any more.
  void Check() { OnSourceInDoubt(); }

  LogOffset next_offset() const { return next_offset_; }
  const LogLag& lag() const { return lag_; }

 private:
  void OnSourceInDoubt() override;
  void Read();
  void ReadAfter(Duration delay);
  /// Repeats the read in flight, which keeps the chance to be answered.
  void RepeatRead();
  /// Ignores the answers to the reads in flight.
  void ForgetReads();
  void OnAnswer(uint64_t read_number, const Result<LogPage>& answer);
  void OnFailure(const Error& error);
  void OnUnreachable();
  void Deliver(const LogPage& page);

  LogClient& client_;
  TimerService& timers_;
  LogTailOptions options_;
  LogTailObserver& observer_;
  Backoff backoff_;
  LogOffset next_offset_ = 0;
  LogLag lag_;
  bool reading_ = false;
  bool long_poll_ = false;  ///< the last read waits at the log
  uint64_t reads_sent_ = 0;
  TimerSubscription timer_;         ///< starts the next read
  TimerSubscription repeat_timer_;  ///< repeats the read in flight
  bool repeat_scheduled_ = false;
  /// Each read holds a weak reference to this object. The object is replaced
  /// when a read is answered, and destroyed with the tail; an answer whose
  /// reference has expired is ignored.
  std::shared_ptr<int> epoch_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_LOG_TAIL_H_
