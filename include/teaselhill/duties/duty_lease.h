/// \file
/// Lease on the duties, kept in a log by conditional appends.

#ifndef TEASELHILL_DUTIES_DUTY_LEASE_H_
#define TEASELHILL_DUTIES_DUTY_LEASE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/duties/duty_log.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

struct LeaseOptions {
  /// If the holder fails, the duties stop for this time, the pause and the next
  /// host's stagger.
  Duration length = std::chrono::seconds(4);
  /// Lets two renewals without an answer be repeated before the lease ends.
  Duration renew_after = std::chrono::milliseconds(1300);
  /// From the end of a lease to the begin of another host's; longer than
  /// PlatformApi::kCallTimeout, so that the other's last call is over.
  Duration pause = std::chrono::milliseconds(1200);
  /// Between hosts of adjacent ranks, so that the appends of most are saved.
  Duration stagger = std::chrono::milliseconds(150);
  /// A host takes the lease at the earliest this time after it has read that
  /// another one took it.
  Duration min_return = std::chrono::seconds(3);
  /// Before an append is repeated; doubles with each failure in a row.
  Duration min_retry_delay = std::chrono::milliseconds(200);
  Duration max_retry_delay = std::chrono::seconds(2);
};

enum class LossCause {
  kExpired,
  kTaken,           ///< another host has written
  kHistoryDropped,  ///< the log has dropped records that were not read
  kOlderCopy,       ///< the log came back from an older copy
  kReleased,
};
std::string_view LossCauseName(LossCause cause);

struct LeaseEvent {
  enum class Kind { kAcquired, kLost, kTextKept };
  Kind kind = Kind::kAcquired;
  Epoch epoch = 0;
  LossCause cause = LossCause::kExpired;  ///< of a loss
  uint64_t text = 0;                      ///< DutyLease::Text::id that is kept
};

/// Decides when this host takes, renews and releases the lease. Each append
/// states the end of the log that this host has read, so what others wrote
/// meanwhile makes it fail however late it is executed. A holder counts the
/// lease from before the append was sent, and others count from when they read
/// the record, so the holder's ends first, whatever the delays. What was known
/// in one era of the log is void in the next. Deterministic: time, on a clock
/// that goes on while the process is frozen, is an argument.
class DutyLease {
 public:
  /// A text that waits to be kept.
  struct Text {
    uint64_t id = 0;
    std::string duty;
    std::string text;
  };

  /// `writer`: LeaseRecord::writer of this process.
  DutyLease(std::string host, uint64_t writer, LeaseOptions options = {});

  /// The host's place among those that may take the lease; nothing: it may not.
  void SetRank(std::optional<size_t> rank) { rank_ = rank; }

  /// The host takes the lease no more, and releases it once it has no open
  /// calls.
  void Drain() { draining_ = true; }
  void SetOpenCalls(bool open) { open_calls_ = open; }

  /// Offset from which the next read has to begin.
  uint64_t next_offset() const { return next_offset_; }
  /// Whether a read has to tell how the log goes on before this host can write.
  bool needs_read() const { return !caught_up_; }
  /// Whether any page was read.
  bool known() const { return known_; }
  /// When the newest record was read; the first read if there is none.
  TimePoint newest_read_at() const {
    return newest_ ? newest_->read_at : unknown_since_;
  }

  /// Since when this host knows of all that was appended. It may not have read
  /// what was appended before: the host started later, the log came back from
  /// an older copy, or it dropped its history.
  TimePoint complete_since() const { return complete_since_; }

  void OnPage(const LogPage& page, TimePoint now);

  /// Returns the append to send now, if any; OnAppended() has to follow before
  /// there is another one. `text`: the next one to be kept, or null.
  std::optional<LogAppend> NextAppend(const Text* text, TimePoint now);
  void OnAppended(const AppendAnswer& answer, TimePoint now);

  /// Whether this host may begin what ends by then.
  bool IsHeld(TimePoint now, Duration length = Duration::zero()) const;
  /// Epoch of the lease that is held, or zero.
  Epoch epoch() const { return held_ ? held_->epoch : 0; }

  /// Ends the lease if it is over, and returns what has happened since the last
  /// call.
  std::vector<LeaseEvent> TakeEvents(TimePoint now);

  /// When NextAppend() or TakeEvents() will have something new, if nothing is
  /// read or answered until then.
  std::optional<TimePoint> NextWake() const;

 private:
  struct Held {
    Epoch epoch = 0;
    TimePoint until;
  };
  struct Newest {
    uint64_t writer = 0;  ///< zero: unknown
    bool own = false;
    bool released = false;
    Duration length{};
    TimePoint read_at;
  };
  /// An own append that may have been or may be executed.
  struct Sent {
    uint64_t at = 0;
    TimePoint sent_at;
    uint64_t text = 0;
  };

  /// Epoch of a record at this offset that takes the lease; zero if it cannot
  /// be told.
  Epoch EpochAt(uint64_t offset) const;
  bool EnterEra(uint64_t era, TimePoint now);
  void StartOver(LossCause cause, TimePoint now);
  /// Forgets who holds the lease. For a whole lease from now on, another host
  /// may hold it.
  void ForgetState(LossCause cause, TimePoint now);
  void OnRecord(const LeaseRecord& record, uint64_t offset, TimePoint now);
  void OnOwnRecord(const LeaseRecord& record, uint64_t offset, TimePoint now);
  void ForgetSent(uint64_t end);
  void Lose(LossCause cause);
  void Expire(TimePoint now);
  LogAppend MakeAppend(RecordKind kind, const Text* text, TimePoint now);
  TimePoint TakeableAt() const;

  std::string host_;
  uint64_t writer_;
  LeaseOptions options_;
  std::optional<size_t> rank_;
  bool draining_ = false;
  bool open_calls_ = false;

  bool known_ = false;
  uint64_t era_ = 0;
  uint64_t next_offset_ = 0;
  bool caught_up_ = false;
  Epoch max_epoch_ = 0;  ///< highest one of all records read
  std::optional<Newest> newest_;
  TimePoint unknown_since_;  ///< who held the lease before is not known
  TimePoint complete_since_;
  TimePoint changed_at_;  ///< when another writer's first record was read

  std::optional<Held> held_;
  bool releasing_ = false;
  std::optional<LogAppend> in_flight_;
  uint64_t last_number_ = 0;
  std::map<uint64_t, Sent> sent_;  ///< by LeaseRecord::number
  int failures_ = 0;
  TimePoint retry_at_;
  std::vector<LeaseEvent> events_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_DUTY_LEASE_H_
