/// \file
/// Ranking of the hosts that may write a snapshot, and their delays.

#include "teaselhill/config/snapshot_schedule.h"

#include <algorithm>

#include "teaselhill/config/change.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::config {

namespace {

/// Number of ranks whose hosts write a snapshot after ForceSnapshot(). While
/// the log ends before a host's offset, the host cannot read the announcements
/// of other hosts, so without this limit every host would write. With three
/// ranks, a snapshot is written even if two of the three hosts are down.
constexpr size_t kForcedWriters = 3;

uint64_t RankScore(const std::string& host, LogOffset snapshot_next) {
  return Hash64(host, snapshot_next);
}

}  // namespace

SnapshotSchedule::SnapshotSchedule(std::string host,
                                   SnapshotScheduleOptions options)
    : host_(std::move(host)), options_(options) {}

bool SnapshotSchedule::ShouldWrite(LogOffset next_offset,
                                   LogOffset snapshot_next,
                                   const std::vector<std::string>& hosts,
                                   TimePoint now,
                                   Rng& rng) {
  if (next_offset == kFirstOffset)
    return false;
  const size_t rank = Rank(snapshot_next, hosts);
  forced_ &= rank < kForcedWriters;
  if (!forced_ && next_offset < snapshot_next + options_.records_between) {
    scheduled_for_.reset();
    return false;
  }
  // An announced snapshot of another host changes `snapshot_next` and thereby
  // the ranks, so the delay starts again.
  if (scheduled_for_ != snapshot_next) {
    scheduled_for_ = snapshot_next;
    const auto steps = static_cast<double>(std::min(rank, options_.max_rank));
    next_write_at_ = now + FromSeconds(ToSeconds(options_.rank_step) *
                                       (steps + rng.Uniform()));
  }
  if (now < next_write_at_)
    return false;
  // If no snapshot is announced by this time, the host makes another attempt.
  next_write_at_ =
      now + options_.rank_step * static_cast<int>(options_.max_rank + 1);
  return true;
}

void SnapshotSchedule::OnWriteFailed(TimePoint now) {
  next_write_at_ = now + options_.rank_step;
}

size_t SnapshotSchedule::Rank(LogOffset snapshot_next,
                              const std::vector<std::string>& hosts) const {
  const uint64_t own = RankScore(host_, snapshot_next);
  return static_cast<size_t>(
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != host_ && RankScore(host, snapshot_next) < own;
      }));
}

}  // namespace teaselhill::config
