/// \file
/// Decides which host writes a snapshot, and when.

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
  /// A snapshot is due when this many records follow the last announced one.
  LogOffset records_between = 256;
  /// The host that ranks n-th waits n such steps and up to one more at random.
  Duration rank_step = std::chrono::seconds(10);
  /// Hosts beyond this rank wait as long as this one, so that a snapshot gets
  /// written within (max_rank + 1) steps even when all first ranks are down.
  size_t max_rank = 8;
};

/// Any host may write a snapshot; rendezvous hashing ranks them for each due
/// snapshot, and each waits by its rank for the announcement of another. Two
/// snapshots are harmless: the highest `through_offset` wins.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(std::string host,
                            SnapshotScheduleOptions options = {});

  /// Call after each change of the state and at least once a second. Returns
  /// true when this host should write a snapshot now. `hosts` are the names of
  /// the live hosts including this one.
  bool Due(LogOffset next_offset,
           LogOffset snapshot_next,
           const std::vector<std::string>& hosts,
           TimePoint now,
           Rng& rng);

  /// Makes a snapshot due whatever the number of records, on the hosts of the
  /// first three ranks. Call it when the log restarted with less, so that new
  /// hosts and clients find the state in force.
  void Force() {
    forced_ = true;
    waiting_for_.reset();
  }

  /// Reports that the log took the snapshot. The caller then announces it with
  /// EncodeSnapshotNote().
  void OnWritten() { forced_ = false; }

  /// Reports that the append failed; the next attempt waits one step.
  void OnWriteFailed(TimePoint now);

 private:
  size_t Rank(LogOffset snapshot_next,
              const std::vector<std::string>& hosts) const;

  std::string host_;
  SnapshotScheduleOptions options_;
  bool forced_ = false;
  std::optional<LogOffset> waiting_for_;
  TimePoint write_at_{};
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_SNAPSHOT_SCHEDULE_H_
