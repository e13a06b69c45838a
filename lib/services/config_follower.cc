/// \file
/// Replay of the configuration stream and writing of snapshots.

#include "teaselhill/services/config_follower.h"

#include <utility>

namespace teaselhill::services {

namespace {

constexpr Duration kSnapshotCheckPeriod = std::chrono::seconds(1);

LogTailOptions ForConfigStream(LogTailOptions options) {
  options.stream = std::string(config::kConfigStream);
  return options;
}

}  // namespace

ConfigFollower::ConfigFollower(LogClient& client,
                               TimerService& timers,
                               Rng& rng,
                               ConfigFollowerOptions options,
                               ConfigFollowerObserver& observer)
    : client_(client),
      timers_(timers),
      rng_(rng),
      observer_(observer),
      schedule_(options.host, options.snapshots),
      tail_(client, timers, rng, ForConfigStream(options.tail), *this),
      snapshots_(client),
      first_snapshot_backoff_(rng, options.first_snapshot_reads),
      snapshot_backoff_(rng, options.snapshot_reads),
      hosts_{options.host},
      notified_view_(state_.View()) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::Start() {
  snapshot_check_timer_ = timers_.Subscribe(
      kSnapshotCheckPeriod, [this](TimePoint now) { WriteSnapshotIfDue(now); });
  ReadSnapshots();
}

Result<config::SnapshotOutcome> ConfigFollower::AdoptFromPeer(
    std::string_view state) {
  auto outcome = state_.Adopt(state);
  if (!outcome || *outcome != config::SnapshotOutcome::kAdopted)
    return outcome;
  if (started_)
    tail_.Seek(state_.next_offset());
  NotifyIfChanged();
  return outcome;
}

void ConfigFollower::OnPeerOffset(LogOffset next_offset) {
  if (started_ && next_offset > state_.next_offset())
    tail_.ReadNow();
}

void ConfigFollower::OnPeerWithoutLog() {
  if (started_)
    tail_.Check();
}

void ConfigFollower::OnRecords(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records)
    observer_.OnVerdict(state_.Apply(record.offset, record.data));
  NotifyIfChanged();
}

void ConfigFollower::OnGap(LogOffset from) {
  if (timers_.Now() >= next_snapshot_read_)
    ReadSnapshots();
}

void ConfigFollower::OnLogRestartedWithFewerRecords(LogOffset from,
                                                    LogOffset log_next) {
  schedule_.ForceSnapshot();
  observer_.OnProblem(
      {ResultCode::kLogUnavailable,
       "the log restarted with fewer records: its next offset is " +
           std::to_string(log_next) + ", below the next offset " +
           std::to_string(from) + " of the configuration in force"});
}

void ConfigFollower::ReadSnapshots() {
  if (reading_snapshots_)
    return;
  reading_snapshots_ = true;
  next_snapshot_read_ = timers_.Now() + snapshot_backoff_.NextDelay();
  snapshots_.Read([this](const Result<std::vector<std::string>>& snapshots) {
    OnSnapshots(snapshots);
  });
}

void ConfigFollower::OnSnapshots(
    const Result<std::vector<std::string>>& snapshots) {
  reading_snapshots_ = false;
  if (!snapshots) {
    // The tail starts only after the snapshots have been read. If the log has
    // restarted with fewer records, replay without a snapshot could lead to an
    // older state than the state of the peers.
    if (!started_)
      snapshot_retry_timer_ =
          timers_.After(first_snapshot_backoff_.NextDelay(),
                        [this](TimePoint) { ReadSnapshots(); });
    return;
  }
  const LogOffset before = state_.next_offset();
  for (const std::string& snapshot : *snapshots) {
    const auto outcome = state_.Adopt(snapshot);
    if (!outcome)
      observer_.OnProblem(outcome.error());
  }
  const bool advanced = state_.next_offset() > before;
  if (advanced)
    snapshot_backoff_.Reset();
  if (!started_ || advanced) {
    started_ = true;
    tail_.Seek(state_.next_offset());
  } else if (tail_.lag().offset_dropped) {
    observer_.OnProblem({ResultCode::kOffsetDropped,
                         "no snapshot covers the truncated offset " +
                             std::to_string(before) +
                             "; keeping the configuration in force"});
  }
  NotifyIfChanged();
}

void ConfigFollower::NotifyIfChanged() {
  const auto view = state_.View();
  if (view == notified_view_)
    return;
  notified_view_ = view;
  observer_.OnConfig(view);
}

void ConfigFollower::WriteSnapshotIfDue(TimePoint now) {
  if (writing_snapshot_ || !tail_.lag().reachable ||
      !schedule_.ShouldWrite(state_.next_offset(), state_.snapshot_next(),
                             hosts_, now, rng_))
    return;
  writing_snapshot_ = true;
  const LogOffset through = state_.next_offset() - 1;
  client_.Append(std::string(config::kSnapshotStream), {state_.Export()},
                 [this, through, alive = std::weak_ptr<int>(alive_)](
                     const Result<LogOffset>& answer) {
                   if (!alive.expired())
                     OnSnapshotAppended(through, answer);
                 });
}

void ConfigFollower::OnSnapshotAppended(LogOffset through,
                                        const Result<LogOffset>& answer) {
  writing_snapshot_ = false;
  if (!answer) {
    schedule_.OnWriteFailed(timers_.Now());
    return;
  }
  schedule_.OnWritten();
  // Errors are ignored: a lost note causes at most one additional snapshot.
  client_.Append(std::string(config::kConfigStream),
                 {config::EncodeSnapshotNote(through)},
                 [](const Result<LogOffset>&) {});
}

}  // namespace teaselhill::services
