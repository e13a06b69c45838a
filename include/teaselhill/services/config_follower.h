/// \file
/// Keeps a host's configuration state up to date from the log and its peers.

#ifndef TEASELHILL_SERVICES_CONFIG_FOLLOWER_H_
#define TEASELHILL_SERVICES_CONFIG_FOLLOWER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/config/config_state.h"
#include "teaselhill/config/snapshot_schedule.h"
#include "teaselhill/services/log_tail.h"
#include "teaselhill/services/snapshot_reader.h"

namespace teaselhill::services {

struct ConfigFollowerOptions {
  std::string host;  ///< name of this host, for the ranking of snapshot writers
  LogTailOptions tail;  ///< `stream` is set by the follower
  config::SnapshotScheduleOptions snapshots;
  /// Delays between reads of the snapshots until they were read once. Together
  /// with the timeout of the first read, they bound the time from the return of
  /// the log to the configuration of a host that started meanwhile.
  Backoff::Options first_snapshot_reads{std::chrono::milliseconds(200),
                                        std::chrono::milliseconds(900)};
  /// The same later. A read may transfer megabytes.
  Backoff::Options snapshot_reads{std::chrono::seconds(1),
                                  std::chrono::minutes(2)};
};

/// Receives the events of a ConfigFollower on the event loop's thread.
class ConfigFollowerObserver {
 public:
  virtual ~ConfigFollowerObserver() = default;

  /// The configuration in force has changed.
  virtual void OnConfig(std::shared_ptr<const config::ConfigView> view) = 0;

  /// A record of the log got `verdict`.
  virtual void OnVerdict(const config::Verdict& verdict) = 0;

  /// The log or a snapshot could not be used to update the configuration in
  /// force. kOffsetDropped: this host's next offset was truncated from the log
  /// and no snapshot covers the gap. kLogUnavailable: the log restarted with
  /// fewer records. kSnapshotInvalid: a snapshot cannot be read and is skipped.
  virtual void OnProblem(const Error& error) = 0;
};

/// Reads the snapshots, replays the log and writes snapshots when they are due.
/// All functions must be called on the event loop's thread. The objects passed
/// by reference to the constructor must outlive this object.
class ConfigFollower : private LogTailObserver {
 public:
  ConfigFollower(LogClient& client,
                 TimerService& timers,
                 Rng& rng,
                 ConfigFollowerOptions options,
                 ConfigFollowerObserver& observer);
  ~ConfigFollower() override;

  void Start();

  /// Adopts the state that a peer exported, for instance while the log is
  /// unavailable. Errors as for config::ConfigState::Adopt().
  Result<config::SnapshotOutcome> AdoptFromPeer(std::string_view state);

  /// Reports the next offset of a peer. If the peer's offset is ahead of this
  /// host's offset, the log is read at once.
  void OnPeerOffset(LogOffset next_offset);

  /// A peer has no answer from the log. A read that waits at the log may have
  /// lost its connection as well, and is repeated.
  void OnPeerWithoutLog();

  /// Sets the names of the live hosts including this one.
  void SetHosts(std::vector<std::string> hosts) { hosts_ = std::move(hosts); }

  const config::ConfigState& state() const { return state_; }
  const LogLag& lag() const { return tail_.lag(); }

 private:
  void OnRecords(const std::vector<LogRecord>& records) override;
  void OnGap(LogOffset from) override;
  void OnLogRestartedWithFewerRecords(LogOffset from,
                                      LogOffset log_next) override;

  void ReadSnapshots();
  void OnSnapshots(const Result<std::vector<std::string>>& snapshots);
  void NotifyIfChanged();
  void WriteSnapshotIfDue(TimePoint now);
  void OnSnapshotAppended(LogOffset through, const Result<LogOffset>& answer);

  LogClient& client_;
  TimerService& timers_;
  Rng& rng_;
  ConfigFollowerObserver& observer_;
  config::ConfigState state_;
  config::SnapshotSchedule schedule_;
  LogTail tail_;
  SnapshotReader snapshots_;
  Backoff first_snapshot_backoff_;
  Backoff snapshot_backoff_;
  std::vector<std::string> hosts_;
  std::shared_ptr<const config::ConfigView> notified_view_;
  bool started_ = false;  ///< the tail is running
  bool reading_snapshots_ = false;
  bool writing_snapshot_ = false;
  TimePoint next_snapshot_read_{};
  TimerSubscription snapshot_retry_timer_;
  TimerSubscription snapshot_check_timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_CONFIG_FOLLOWER_H_
