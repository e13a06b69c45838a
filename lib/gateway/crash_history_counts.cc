/// \file
/// Counts of the crashes that may be due to a request.

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "crash_times.h"
#include "teaselhill/gateway/crash_history.h"

namespace teaselhill::gateway {

/// Time for which an upstream may go on with a request after its connection was
/// closed.
static constexpr std::chrono::milliseconds kAbandonedRunTime{500};

/// Counts the crashes, given in the order of their times. An outage of several
/// upstreams ends copies of one request at the same time, or makes them time
/// out one after the other; these count once.
template <typename Crashes>
static int CountEvents(const Crashes& by_end) {
  int count = 0;
  TimePoint last_counted_at{};
  for (const auto* crash : by_end) {
    const bool ran_at_once = crash->sent_at + kTimeTolerance < last_counted_at;
    const bool lost_at_once = crash->crashed_at < last_counted_at + kOutageSpan;
    if (count > 0 && ran_at_once &&
        (lost_at_once || crash->kind == LossKind::kGivenUp))
      continue;
    ++count;
    last_counted_at = crash->crashed_at;
  }
  return count;
}

/// Whether two losses at one process, in the order of their times, were lost in
/// the same crash: it crashes only once, unless it was seen alive in between. A
/// sign of life before a loss says that an attempt given up earlier was none.
template <typename Crash>
static bool IsSameCrash(const Crash& earlier, const Crash& later) {
  return earlier.upstream == later.upstream &&
         (later.seen_alive_at <= earlier.crashed_at ||
          earlier.kind == LossKind::kGivenUp ||
          later.kind == LossKind::kGivenUp);
}

/// Keeps one loss of each crash; of these, the first lost connection.
template <typename Crashes>
static void RemoveRepeated(Crashes* by_end) {
  Crashes kept;
  for (const auto* crash : *by_end) {
    const auto same = std::find_if(
        kept.begin(), kept.end(),
        [crash](const auto* earlier) { return IsSameCrash(*earlier, *crash); });
    if (same == kept.end()) {
      kept.push_back(crash);
    } else if ((*same)->kind == LossKind::kGivenUp) {
      kept.erase(same);
      kept.push_back(crash);
    }
  }
  *by_end = std::move(kept);
}

template <typename Predicate>
int CrashHistory::CountCrashes(const Entry& entry, Predicate predicate) const {
  std::vector<const Crash*> by_end;
  for (const Crash& crash : entry.crashes) {
    if (crash.counts() && predicate(crash))
      by_end.push_back(&crash);
  }
  if (by_end.size() < 2)
    return static_cast<int>(by_end.size());
  std::sort(by_end.begin(), by_end.end(), [](const Crash* a, const Crash* b) {
    return a->crashed_at < b->crashed_at;
  });
  RemoveRepeated(&by_end);
  int most = 0;
  for (const Crash* first : by_end) {
    std::vector<const Crash*> alike;
    for (const Crash* crash : by_end) {
      const Duration later = crash->answering_for - first->answering_for;
      if (later >= Duration::zero() && later <= options_.early_crash)
        alike.push_back(crash);
    }
    most = std::max(most, CountEvents(alike));
  }
  return most;
}

int CrashHistory::CountSuspected(const Entry& entry) const {
  return CountCrashes(entry,
                      [](const Crash& crash) { return !crash.explained; });
}

void CrashHistory::FindSuperseded() {
  std::map<UpstreamProcess, std::vector<TimePoint>> crash_times;
  for (const auto& [key, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (crash.verified && crash.kind == LossKind::kConnectionLost)
        crash_times[crash.upstream].push_back(crash.crashed_at);
    }
  }
  for (auto& [key, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      const std::vector<TimePoint>& times = crash_times[crash.upstream];
      const auto precedes = [&crash = crash](TimePoint crashed_at) {
        return crashed_at + kTimeTolerance < crash.sent_at &&
               crash.seen_alive_at < crashed_at + kTimeTolerance;
      };
      const bool was_superseded = std::exchange(
          crash.superseded, std::any_of(times.begin(), times.end(), precedes));
      if (crash.superseded && !was_superseded && crash.own)
        WithdrawRevised(key, crash);
    }
  }
}

std::optional<TimePoint> CrashHistory::CrashedBetween(
    const UpstreamProcess& process,
    TimePoint begin,
    TimePoint end) const {
  for (const auto& [key, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (crash.upstream == process && crash.verified && crash.counts() &&
          crash.kind == LossKind::kConnectionLost &&
          crash.crashed_at >= begin && crash.crashed_at <= end)
        return crash.crashed_at;
    }
  }
  return std::nullopt;
}

void CrashHistory::FindCrashesOfAbandoned() {
  for (auto trial = abandoned_trials_.begin();
       trial != abandoned_trials_.end();) {
    Crash crash = trial->crash;
    const std::optional<TimePoint> crashed_at = CrashedBetween(
        crash.upstream, crash.crashed_at, crash.crashed_at + kAbandonedRunTime);
    if (!crashed_at) {
      ++trial;
      continue;
    }
    crash.crashed_at = *crashed_at;
    crash.verified = true;
    trial->keys.ForEach([&](const CrashKey& key) {
      if (!IsCleared(key))
        RecordLoss(key, crash);
    });
    has_unshared_ = true;
    trial = abandoned_trials_.erase(trial);
  }
}

void CrashHistory::UpdateCounts() {
  FindCrashesOfAbandoned();
  FindSuperseded();
  for (auto& [key, entry] : entries_)
    entry.crash_count =
        CountCrashes(entry, [](const Crash& crash) { return crash.verified; });
  IdentifyCauses();
}

}  // namespace teaselhill::gateway
