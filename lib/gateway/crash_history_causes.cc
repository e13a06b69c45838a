/// \file
/// Tells which requests are the causes of crashes.

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "crash_times.h"
#include "teaselhill/gateway/crash_history.h"

namespace teaselhill::gateway {

/// Requests whose runs at one process are at most this far apart may have been
/// lost in the same crash.
static constexpr std::chrono::milliseconds kCompanionTolerance{500};

/// Requests that are compared with each other. In an outage that crashes many
/// upstreams again and again, hundreds may have three crashes, and the search
/// for a cause must not hold up traffic.
static constexpr size_t kMaxCandidates = 32;

/// Copies of a request that one crash ends from which on many callers seem to
/// send it.
static constexpr int kMinPopularCopies = 3;

/// Time from a crash to the start of the next process, at an upstream that is
/// started again at once.
static constexpr std::chrono::seconds kMaxRestartTime{5};

/// Error of the start times that upstreams tell, by their own clocks.
static constexpr std::chrono::milliseconds kClockTolerance{500};

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

bool CrashHistory::AreInseparable(const Entry& a, const Entry& b) {
  return &a == &b || (!a.attempts.empty() && a.attempts == b.attempts);
}

void CrashHistory::ListAttempts(Entry& entry) {
  entry.attempts.clear();
  for (const Crash& crash : entry.crashes) {
    if (crash.verified && crash.counts())
      entry.attempts.push_back(crash.record_id);
  }
  std::sort(entry.attempts.begin(), entry.attempts.end());
}

void CrashHistory::IndexByProcess() {
  entries_by_process_.clear();
  for (const auto& [key, entry] : entries_) {
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
    return !AreInseparable(entry, *other) && RanBeside(*other, crash) &&
           predicate(*other);
  });
}

void CrashHistory::IdentifyCauses() {
  std::vector<Candidate> candidates;
  for (auto& [key, entry] : entries_) {
    entry.evidence = CauseEvidence::kNone;
    entry.needs_trial = false;
    entry.has_stronger = false;
    entry.inseparable.clear();
    for (Crash& crash : entry.crashes)
      crash.explained = false;
    if (entry.crash_count >= options_.crashes_to_quarantine)
      candidates.push_back({key, &entry});
  }
  if (candidates.empty())
    return;
  for (auto& [key, entry] : entries_)
    ListAttempts(entry);
  KeepMostSuspected(&candidates);
  FindInseparable(candidates);
  IndexByProcess();
  // Each cause that is found explains crashes of others, so they are found one
  // after the other.
  while (IdentifyStrongest(candidates)) {
  }
  DropExplained(candidates);
  IdentifyAtLimit(candidates);
  for (const Candidate& candidate : candidates)
    candidate.entry->needs_trial = NeedsTrial(*candidate.entry);
  MarkExplained(candidates);
}

void CrashHistory::MarkExplained(const std::vector<Candidate>& candidates) {
  for (auto& [key, entry] : entries_) {
    if (entry.identified() || !entry.is_part)
      continue;
    entry.has_stronger = HasStronger(entry, candidates);
    for (Crash& crash : entry.crashes)
      crash.explained = IsExplained(entry, crash);
  }
}

bool CrashHistory::HasStronger(const Entry& entry,
                               const std::vector<Candidate>& candidates) {
  const auto ran_at = [](const Entry& other) {
    return [&other](const Crash& crash) {
      return !crash.counts() || RanBeside(other, crash);
    };
  };
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const Candidate& candidate) {
                       const Entry& other = *candidate.entry;
                       return other.crash_count > entry.crash_count &&
                              std::all_of(entry.crashes.begin(),
                                          entry.crashes.end(), ran_at(other));
                     });
}

void CrashHistory::KeepMostSuspected(std::vector<Candidate>* candidates) {
  if (candidates->size() <= kMaxCandidates)
    return;
  const auto more_suspected = [](const Candidate& a, const Candidate& b) {
    return std::make_tuple(a.entry->crash_count, a.key) >
           std::make_tuple(b.entry->crash_count, b.key);
  };
  std::nth_element(candidates->begin(), candidates->begin() + kMaxCandidates,
                   candidates->end(), more_suspected);
  candidates->resize(kMaxCandidates);
}

bool CrashHistory::IdentifyStrongest(const std::vector<Candidate>& candidates) {
  // All hosts take the same order.
  const auto strength = [](const Candidate& candidate, int unexplained) {
    return std::make_tuple(unexplained, candidate.entry->crash_count,
                           candidate.key);
  };
  const Candidate* strongest = nullptr;
  int most_unexplained = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.entry->identified() ||
        EvidenceAgainst(*candidate.entry) == CauseEvidence::kNone)
      continue;
    const int unexplained = CountUnexplained(*candidate.entry);
    if (strongest && strength(candidate, unexplained) <
                         strength(*strongest, most_unexplained))
      continue;
    strongest = &candidate;
    most_unexplained = unexplained;
  }
  if (!strongest)
    return false;
  const CauseEvidence evidence = EvidenceAgainst(*strongest->entry);
  for (const Candidate& candidate : candidates) {
    if (AreInseparable(*candidate.entry, *strongest->entry))
      candidate.entry->evidence = evidence;
  }
  return true;
}

void CrashHistory::DropExplained(std::vector<Candidate> candidates) {
  // All hosts take the same order, in which parts go before requests.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_pair(!a.entry->is_part, a.key) <
                     std::make_pair(!b.entry->is_part, b.key);
            });
  for (const Candidate& candidate : candidates) {
    Entry& entry = *candidate.entry;
    if (!entry.identified() || CountUnexplained(entry) > 0)
      continue;
    for (const Candidate& other : candidates) {
      if (AreInseparable(*other.entry, entry))
        other.entry->evidence = CauseEvidence::kNone;
    }
  }
}

void CrashHistory::FindInseparable(const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    for (const Candidate& other : candidates) {
      if (other.entry != candidate.entry &&
          AreInseparable(*other.entry, *candidate.entry))
        candidate.entry->inseparable.push_back(other.key);
    }
  }
}

void CrashHistory::IdentifyAtLimit(const std::vector<Candidate>& candidates) {
  std::vector<Entry*> at_limit;
  for (const Candidate& candidate : candidates) {
    Entry* entry = candidate.entry;
    if (!entry->identified() && entry->crash_count >= options_.max_crashes &&
        HasEnoughCrashes(*entry) && HasEnoughUnexplained(*entry))
      at_limit.push_back(entry);
  }
  // Requests that cannot be told apart do not explain each other.
  for (Entry* entry : at_limit)
    entry->evidence = CauseEvidence::kMaxCrashes;
}

bool CrashHistory::HasEnoughCrashes(const Entry& entry) const {
  if (!entry.is_part)
    return true;
  const int others = CountCrashesOfOthers(entry);
  if (others <= entry.crash_count + 1)
    return true;
  return entry.crash_count >= options_.crashes_to_quarantine_among_others &&
         others <= options_.max_other_crashes_ratio * entry.crash_count;
}

int CrashHistory::CountCrashesOfOthers(const Entry& entry) const {
  TimePoint first = TimePoint::max();
  for (const Crash& crash : entry.crashes) {
    if (crash.verified && crash.counts())
      first = std::min(first, crash.crashed_at);
  }
  const TimePoint begin = first - options_.other_crashes_span;
  const auto has_crash_at = [&entry](const UpstreamProcess& process) {
    return std::any_of(
        entry.crashes.begin(), entry.crashes.end(),
        [&process](const Crash& crash) { return crash.upstream == process; });
  };
  const auto crashes = std::count_if(
      crashed_processes_.begin(), crashed_processes_.end(),
      [&](const auto& crashed) {
        return crashed.second >= begin && !has_crash_at(crashed.first);
      });
  return static_cast<int>(crashes) + CountOtherRestarts(entry, begin);
}

int CrashHistory::CountOtherRestarts(const Entry& entry,
                                     TimePoint begin) const {
  // A process that starts and crashes between two reads of the directory is not
  // known, so its crash counts at an earlier process of the upstream.
  const auto crashed_before = [&entry](const UpstreamProcess& process,
                                       TimePoint started_at) {
    return std::any_of(
        entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
          return crash.upstream == process ||
                 (crash.upstream.id == process.id &&
                  crash.crashed_at + kMaxRestartTime > started_at &&
                  crash.crashed_at < started_at + kClockTolerance);
        });
  };
  return static_cast<int>(
      std::count_if(restarted_processes_.begin(), restarted_processes_.end(),
                    [&](const auto& restarted) {
                      return restarted.second >= begin &&
                             crashed_processes_.count(restarted.first) == 0 &&
                             !crashed_before(restarted.first, restarted.second);
                    }));
}

CauseEvidence CrashHistory::EvidenceAgainst(const Entry& entry) const {
  if (!HasEnoughCrashes(entry) || HasRival(entry))
    return CauseEvidence::kNone;
  if (CrashedInTrial(entry))
    return CauseEvidence::kTrial;
  const bool stands_out =
      HasEnoughUnexplained(entry) &&
      CountWithoutSuspects(entry) >= options_.crashes_to_quarantine;
  return stands_out ? CauseEvidence::kStandsOut : CauseEvidence::kNone;
}

bool CrashHistory::HasEnoughUnexplained(const Entry& entry) const {
  return CountUnexplained(entry) >= options_.unexplained_crashes_to_quarantine;
}

bool CrashHistory::NeedsTrial(const Entry& entry) const {
  if (entry.identified() || !HasEnoughCrashes(entry) || HasRival(entry))
    return false;
  return (HasEnoughUnexplained(entry) || !IsPopular(entry)) &&
         CountWithoutSuspects(entry) > 0;
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
  const int unexplained = CountUnexplained(entry);
  const int explained = CountProcessesIf(
      entry, [&](const Crash& crash) { return IsExplained(entry, crash); });
  const int min_crashes =
      std::max(entry.crash_count - explained, options_.crashes_to_quarantine);
  const auto ran_at_all = [&](const Entry& other) {
    return !other.identified() && other.crash_count >= min_crashes &&
           CountUnexplained(other) >= unexplained &&
           CountCrashesIf(entry, [&](const Crash& crash) {
             return !RanBeside(other, crash) && !IsExplained(entry, crash);
           }) == 0;
  };
  // A rival ran at each unexplained crash, so it is enough to look at one.
  const auto first = std::find_if(
      entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
        return crash.verified && crash.counts() && !IsExplained(entry, crash);
      });
  return first != entry.crashes.end() && AnyBeside(entry, *first, ran_at_all);
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
