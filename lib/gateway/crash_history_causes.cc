/// \file
/// Tells which requests are the causes of crashes.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "crash_times.h"
#include "teaselhill/gateway/crash_history.h"

namespace teaselhill::gateway {

/// Requests whose runs at one process are at most this far apart may have been
/// lost in the same crash.
static constexpr std::chrono::milliseconds kCompanionTolerance{500};

/// Copies of a request that one crash ends from which on many callers seem to
/// send it.
static constexpr int kMinPopularCopies = 3;

template <typename Predicate>
int CrashHistory::CountCrashesIf(const Entry& entry, Predicate predicate) {
  return static_cast<int>(std::count_if(
      entry.crashes.begin(), entry.crashes.end(),
      [&predicate](const Crash& crash) {
        return crash.verified && crash.counts() && predicate(crash);
      }));
}

template <typename Predicate>
int CrashHistory::CountProcessesIf(const Entry& entry, Predicate predicate) {
  std::set<UpstreamProcess> processes;
  for (const Crash& crash : entry.crashes) {
    if (crash.verified && crash.counts() && predicate(crash))
      processes.insert(crash.upstream);
  }
  return static_cast<int>(processes.size());
}

bool CrashHistory::RanBeside(const Entry& other, const Crash& crash) {
  return std::any_of(
      other.crashes.begin(), other.crashes.end(), [&](const Crash& lost) {
        return lost.counts() && lost.upstream == crash.upstream &&
               lost.sent_at < crash.crashed_at + kCompanionTolerance &&
               lost.crashed_at > crash.sent_at - kCompanionTolerance;
      });
}

void CrashHistory::IndexByProcess() {
  entries_by_process_.clear();
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      std::vector<const Entry*>& entries = entries_by_process_[crash.upstream];
      if (entries.empty() || entries.back() != &entry)
        entries.push_back(&entry);
    }
  }
}

template <typename Predicate>
bool CrashHistory::AnyBeside(const Entry& entry,
                             const Crash& crash,
                             Predicate predicate) const {
  const std::vector<const Entry*>& entries =
      entries_by_process_.at(crash.upstream);
  return std::any_of(entries.begin(), entries.end(), [&](const Entry* other) {
    return other != &entry && RanBeside(*other, crash) && predicate(*other);
  });
}

void CrashHistory::IdentifyCauses() {
  std::vector<std::pair<Hash128, Entry*>> candidates;
  for (auto& [fingerprint, entry] : entries_) {
    entry.evidence = CauseEvidence::kNone;
    entry.needs_trial = false;
    if (entry.crash_count >= options_.crashes_to_quarantine)
      candidates.emplace_back(fingerprint, &entry);
  }
  if (candidates.empty())
    return;
  IndexByProcess();
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
  else if (enough_unexplained || !IsPopular(entry))
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
  return AnyBeside(entry, crash, crashed_before);
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
  return CountProcessesIf(entry, [&](const Crash& crash) {
    return !AnyBeside(entry, crash, is_suspect);
  });
}

bool CrashHistory::HasRival(const Entry& entry) const {
  const auto ran_at_all = [&](const Entry& other) {
    return other.crash_count >= entry.crash_count &&
           CountCrashesIf(entry, [&other](const Crash& crash) {
             return !RanBeside(other, crash);
           }) == 0;
  };
  // A rival ran at each crash, so it is enough to look at one of them.
  const auto first = std::find_if(
      entry.crashes.begin(), entry.crashes.end(),
      [](const Crash& crash) { return crash.verified && crash.counts(); });
  return AnyBeside(entry, *first, ran_at_all);
}

bool CrashHistory::IsExplained(const Entry& entry, const Crash& crash) const {
  return AnyBeside(entry, crash,
                   [](const Entry& other) { return other.identified(); });
}

int CrashHistory::CountUnexplained(const Entry& entry) const {
  return CountProcessesIf(
      entry, [&](const Crash& crash) { return !IsExplained(entry, crash); });
}

}  // namespace teaselhill::gateway
