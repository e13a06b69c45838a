/// \file
/// Decides which host writes a configuration snapshot, and when.

#ifndef TEASELHILL_CONFIG_SNAPSHOT_SCHEDULE_H_
#define TEASELHILL_CONFIG_SNAPSHOT_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::config {

struct SnapshotScheduleOptions {
  /// A snapshot is due when this many records follow the last announced
  /// snapshot.
  LogOffset records_between = 256;
  /// A host with rank n (from 0) waits n steps plus a uniformly random part of
  /// one step.
  Duration rank_step = std::chrono::seconds(10);
  /// Hosts with a higher rank wait as if they had this rank, so that a snapshot
  /// is written within (max_rank + 1) steps even if all hosts with lower ranks
  /// are down.
  size_t max_rank = 8;
};

/// Any host may write a snapshot. Rendezvous hashing ranks the hosts for each
/// due snapshot, and a host writes the snapshot if no other host has announced
/// a snapshot within a delay that grows with the rank. If two hosts write a
/// snapshot, readers use the snapshot with the highest `through_offset`.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(std::string host,
                            SnapshotScheduleOptions options = {});

  /// Returns true if this host should write a snapshot now. Must be called
  /// after each change of the state and at least once a second. `snapshot_next`
  /// is the first offset that no announced snapshot covers; `hosts` are the
  /// names of the live hosts including this one.
  bool ShouldWrite(LogOffset next_offset,
                   LogOffset snapshot_next,
                   const std::vector<std::string>& hosts,
                   TimePoint now,
                   Rng& rng);

  /// Makes a snapshot due on the hosts of the first three ranks, regardless of
  /// the number of records. To be called when the log restarted with fewer
  /// records, so that new hosts and clients find the state in force.
  void ForceSnapshot() {
    forced_ = true;
    scheduled_for_.reset();
  }

  /// Reports that the snapshot was appended to the log. The caller then
  /// announces the snapshot with EncodeSnapshotNote().
  void OnWritten() { forced_ = false; }

  /// Reports that the append failed; the next attempt follows after one
  /// `rank_step`.
  void OnWriteFailed(TimePoint now);

 private:
  size_t Rank(LogOffset snapshot_next,
              const std::vector<std::string>& hosts) const;

  std::string host_;
  SnapshotScheduleOptions options_;
  bool forced_ = false;
  std::optional<LogOffset> scheduled_for_;
  TimePoint next_write_at_{};
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_SNAPSHOT_SCHEDULE_H_
