/// \file
/// Counts of the crashes that may be due to a request.

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "teaselhill/gateway/crash_history.h"

namespace teaselhill::gateway {

/// Error of the times of crashes, which hosts compare by their wall clocks.
static constexpr std::chrono::milliseconds kTimeTolerance{25};

/// Time in which an outage ends the connections to all upstreams that it hits.
static constexpr std::chrono::milliseconds kOutageSpan{50};

/// Requests whose runs at one process are at most this far apart may have been
/// lost in the same crash.
static constexpr std::chrono::milliseconds kCompanionTolerance{500};

/// Copies of a request that one crash ends from which on many callers seem to
/// send it.
static constexpr int kMinPopularCopies = 3;

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

/// Removes losses at a process that has not been seen alive since an earlier
/// one: it crashes only once.
template <typename Crashes>
static void RemoveRepeated(Crashes* by_end) {
  Crashes kept;
  for (const auto* crash : *by_end) {
    const bool repeated =
        std::any_of(kept.begin(), kept.end(), [crash](const auto* earlier) {
          return earlier->upstream == crash->upstream &&
                 crash->seen_alive_at <= earlier->crashed_at;
        });
    if (!repeated)
      kept.push_back(crash);
  }
  *by_end = std::move(kept);
}

int CrashHistory::CountCrashes(const Entry& entry, bool verified_only) const {
  std::vector<const Crash*> by_end;
  for (const Crash& crash : entry.crashes) {
    if (crash.counts() && (crash.verified || !verified_only))
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

template <typename Predicate>
int CrashHistory::CountCrashesIf(const Entry& entry, Predicate predicate) {
  return static_cast<int>(std::count_if(
      entry.crashes.begin(), entry.crashes.end(),
      [&predicate](const Crash& crash) {
        return crash.verified && crash.counts() && predicate(crash);
      }));
}

bool CrashHistory::RanBeside(const Entry& other, const Crash& crash) {
  return std::any_of(
      other.crashes.begin(), other.crashes.end(), [&](const Crash& lost) {
        return lost.counts() && lost.upstream == crash.upstream &&
               lost.sent_at < crash.crashed_at + kCompanionTolerance &&
               lost.crashed_at > crash.sent_at - kCompanionTolerance;
      });
}

void CrashHistory::FindSuperseded() {
  std::map<UpstreamProcess, std::vector<TimePoint>> crash_times;
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (crash.verified && crash.kind == LossKind::kConnectionLost)
        crash_times[crash.upstream].push_back(crash.crashed_at);
    }
  }
  for (auto& [fingerprint, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      const std::vector<TimePoint>& times = crash_times[crash.upstream];
      const auto precedes = [&crash = crash](TimePoint crashed_at) {
        return crashed_at + kTimeTolerance < crash.sent_at &&
               crash.seen_alive_at < crashed_at + kTimeTolerance;
      };
      crash.superseded = std::any_of(times.begin(), times.end(), precedes);
      if (!crash.superseded || !crash.own ||
          !std::exchange(crash.shared, false))
        continue;
      Withdraw(fingerprint, crash.record_id);
    }
  }
}

void CrashHistory::UpdateCounts() {
  FindSuperseded();
  for (auto& [fingerprint, entry] : entries_)
    entry.crash_count = CountCrashes(entry, /*verified_only=*/true);
  IdentifyCauses();
}

void CrashHistory::IdentifyCauses() {
  std::vector<std::pair<Hash128, Entry*>> candidates;
  for (auto& [fingerprint, entry] : entries_) {
    entry.evidence = CauseEvidence::kNone;
    entry.needs_trial = false;
    if (entry.crash_count >= options_.crashes_to_quarantine)
      candidates.emplace_back(fingerprint, &entry);
  }
  // The one with the most crashes first: it explains those of the others. All
  // hosts take the same order.
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) {
              return a.second->crash_count != b.second->crash_count
                         ? a.second->crash_count > b.second->crash_count
                         : a.first < b.first;
            });
  for (auto& [fingerprint, entry] : candidates)
    Classify(*entry);
}

void CrashHistory::Classify(Entry& entry) const {
  const bool at_limit = entry.crash_count >= options_.max_crashes;
  if (!at_limit && HasRival(entry))
    return;
  if (CrashedInTrial(entry)) {
    entry.evidence = CauseEvidence::kTrial;
    return;
  }
  const int without_suspects = CountWithoutSuspects(entry);
  const bool enough_unexplained =
      CountUnexplained(entry) >= options_.unexplained_crashes_to_quarantine;
  if (enough_unexplained && at_limit)
    entry.evidence = CauseEvidence::kMaxCrashes;
  else if (enough_unexplained &&
           without_suspects >= options_.crashes_to_quarantine)
    entry.evidence = CauseEvidence::kStandsOut;
  else
    entry.needs_trial = without_suspects > 0;
}

bool CrashHistory::CrashedInTrial(const Entry& entry) const {
  return CountCrashesIf(entry, [&](const Crash& crash) {
           return IsTrial(entry, crash) && !IsExplained(entry, crash) &&
                  !IsContested(entry, crash);
         }) > 0;
}

bool CrashHistory::IsContested(const Entry& entry, const Crash& crash) const {
  const bool popular = IsPopular(entry);
  const auto crashed_before = [&](const Entry& other) {
    return CountCrashesIf(other, [&](const Crash& earlier) {
             return earlier.crashed_at < crash.sent_at &&
                    (popular || !RanBeside(entry, earlier)) &&
                    !IsExplained(other, earlier);
           }) > 0;
  };
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return &item.second != &entry && RanBeside(item.second, crash) &&
           crashed_before(item.second);
  });
}

bool CrashHistory::IsPopular(const Entry& entry) {
  return std::any_of(
      entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
        return CountCrashesIf(entry, [&](const Crash& copy) {
                 return copy.upstream == crash.upstream &&
                        copy.crashed_at < crash.crashed_at + kOutageSpan &&
                        crash.crashed_at < copy.crashed_at + kOutageSpan;
               }) >= kMinPopularCopies;
      });
}

bool CrashHistory::IsTrial(const Entry& entry, const Crash& crash) const {
  int crashes_before = 0;
  for (const Crash& other : entry.crashes) {
    if (!other.counts() || other.crashed_at >= crash.crashed_at ||
        other.upstream == crash.upstream)
      continue;
    ++crashes_before;
    if (other.crashed_at + options_.report_delay >
        crash.sent_at + kTimeTolerance)
      return false;
  }
  return crashes_before >= options_.crashes_to_hold;
}

int CrashHistory::CountWithoutSuspects(const Entry& entry) const {
  const bool popular = IsPopular(entry);
  const auto is_suspect = [&](const Entry& other) {
    return other.crash_count > 1 &&
           CountCrashesIf(other, [&](const Crash& crash) {
             return popular || !RanBeside(entry, crash);
           }) > 0;
  };
  return CountCrashesIf(entry, [&](const Crash& crash) {
    return std::none_of(
        entries_.begin(), entries_.end(), [&](const auto& item) {
          return &item.second != &entry && RanBeside(item.second, crash) &&
                 is_suspect(item.second);
        });
  });
}

bool CrashHistory::HasRival(const Entry& entry) const {
  return std::any_of(
      entries_.begin(), entries_.end(), [&entry](const auto& item) {
        const Entry& other = item.second;
        return &other != &entry && other.crash_count >= entry.crash_count &&
               CountCrashesIf(entry, [&other](const Crash& crash) {
                 return !RanBeside(other, crash);
               }) == 0;
      });
}

bool CrashHistory::IsExplained(const Entry& entry, const Crash& crash) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return &item.second != &entry && item.second.identified() &&
           RanBeside(item.second, crash);
  });
}

int CrashHistory::CountUnexplained(const Entry& entry) const {
  return CountCrashesIf(
      entry, [&](const Crash& crash) { return !IsExplained(entry, crash); });
}

}  // namespace teaselhill::gateway
