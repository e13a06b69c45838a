/// \file
/// Counting, sharing and expiry of crashes.

#include "teaselhill/gateway/crash_history.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselhill::gateway {

/// Maximum number of crashes that are kept for one request.
static constexpr size_t kMaxCrashesPerRequest = 16;

static CrashRecord MakeWithdrawal(const Hash128& fingerprint, uint64_t id) {
  CrashRecord record;
  record.fingerprint = fingerprint;
  record.id = id;
  record.withdrawn = true;
  return record;
}

int CrashHistory::CountSequential(const Entry& entry,
                                  bool verified_only) const {
  std::vector<const Crash*> by_end;
  for (const Crash& crash : entry.crashes) {
    if (!crash.explained && !crash.refuted &&
        (crash.verified || !verified_only))
      by_end.push_back(&crash);
  }
  std::sort(by_end.begin(), by_end.end(), [](const Crash* a, const Crash* b) {
    return a->crashed_at < b->crashed_at;
  });
  int count = 0;
  TimePoint last_counted_at{};
  for (const Crash* crash : by_end) {
    if (count > 0 && crash->sent_at + options_.time_tolerance < last_counted_at)
      continue;
    ++count;
    last_counted_at = crash->crashed_at;
  }
  return count;
}

TimePoint CrashHistory::LastCrashAt(const Entry& entry) {
  TimePoint last = TimePoint::min();
  for (const Crash& crash : entry.crashes)
    last = std::max(last, crash.crashed_at);
  return last;
}

CrashHistory::Crash* CrashHistory::FindRecord(Entry& entry,
                                              uint64_t record_id) {
  for (Crash& crash : entry.crashes) {
    if (crash.record_id == record_id)
      return &crash;
  }
  return nullptr;
}

CrashAssessment CrashHistory::Assess(const Hash128& fingerprint,
                                     TimePoint now) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end())
    return {};
  const Entry& entry = found->second;
  CrashAssessment assessment;
  assessment.crashes = entry.crash_count;
  assessment.suspected_crashes =
      CountSequential(entry, /*verified_only=*/false);
  assessment.isolate =
      assessment.suspected_crashes > 1 ||
      std::any_of(entry.crashes.begin(), entry.crashes.end(),
                  [](const Crash& crash) {
                    return !crash.explained && !crash.refuted && crash.early;
                  });
  assessment.refused_for = RefusedFor(entry, now);
  assessment.may_retry =
      assessment.refused_for == Duration::zero() &&
      assessment.suspected_crashes < options_.crashes_to_quarantine;
  if (assessment.refused_for > Duration::zero())
    assessment.provisional_for = std::max(
        Duration::zero(), LastCrashAt(entry) + options_.report_delay - now);
  return assessment;
}

Duration CrashHistory::RefusedFor(const Entry& entry, TimePoint now) const {
  if (!entry.is_cause &&
      entry.crash_count < options_.crashes_to_quarantine_ambiguous)
    return Duration::zero();
  const int doublings =
      std::min(entry.crash_count - options_.crashes_to_quarantine,
               options_.max_quarantine_doublings);
  const Duration duration = options_.quarantine_duration * (1 << doublings);
  return std::max(Duration::zero(), LastCrashAt(entry) + duration - now);
}

std::vector<Hash128> CrashHistory::Classify(TimePoint now) {
  CountCrashes();
  std::vector<Event> events(AssignEvents());
  FindNewest(events);
  FindCauses(events);
  ExplainCrashes(events);
  std::vector<Hash128> newly_refused;
  for (auto& [fingerprint, entry] : entries_) {
    const bool refused = RefusedFor(entry, now) > Duration::zero();
    if (refused && !entry.refused)
      newly_refused.push_back(fingerprint);
    entry.refused = refused;
  }
  return newly_refused;
}

void CrashHistory::CountCrashes() {
  for (auto& [fingerprint, entry] : entries_) {
    for (Crash& crash : entry.crashes)
      crash.explained = false;
    entry.crash_count = CountSequential(entry, /*verified_only=*/true);
  }
}

size_t CrashHistory::AssignEvents() {
  std::vector<Crash*> crashes;
  for (auto& [fingerprint, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      if (!crash.refuted)
        crashes.push_back(&crash);
    }
  }
  std::sort(crashes.begin(), crashes.end(), [](const Crash* a, const Crash* b) {
    return std::tie(a->upstream, a->crashed_at) <
           std::tie(b->upstream, b->crashed_at);
  });
  size_t event_count = 0;
  const Crash* first_of_event = nullptr;
  for (Crash* crash : crashes) {
    const bool same_event =
        first_of_event && first_of_event->upstream == crash->upstream &&
        crash->crashed_at - first_of_event->crashed_at < options_.same_crash;
    if (!same_event) {
      first_of_event = crash;
      ++event_count;
    }
    crash->event = event_count - 1;
  }
  return event_count;
}

void CrashHistory::FindNewest(std::vector<Event>& events) {
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (crash.refuted)
        continue;
      Duration& min_run_time = events[crash.event].min_run_time;
      min_run_time = std::min(min_run_time, crash.run_time());
    }
  }
  for (auto& [fingerprint, entry] : entries_) {
    const auto newest_count = std::count_if(
        entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
          return !crash.refuted &&
                 crash.run_time() <=
                     events[crash.event].min_run_time + options_.same_run_time;
        });
    const auto crash_count =
        std::count_if(entry.crashes.begin(), entry.crashes.end(),
                      [](const Crash& crash) { return !crash.refuted; });
    entry.is_mostly_newest = 2 * newest_count > crash_count;
  }
}

void CrashHistory::FindCauses(std::vector<Event>& events) {
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (!crash.verified || !entry.is_mostly_newest)
        continue;
      Event& event = events[crash.event];
      if (!event.most_suspected ||
          entry.crash_count > event.most_suspected->crash_count) {
        event.most_suspected = &entry;
        event.is_tied = false;
      } else if (event.most_suspected != &entry &&
                 entry.crash_count == event.most_suspected->crash_count) {
        event.is_tied = true;
      }
    }
  }
  for (auto& [fingerprint, entry] : entries_) {
    const auto is_cause_of = [&, &entry = entry](const Crash& crash) {
      return !crash.refuted && events[crash.event].most_suspected == &entry &&
             !events[crash.event].is_tied;
    };
    entry.is_cause =
        entry.crash_count >= options_.crashes_to_quarantine &&
        std::any_of(entry.crashes.begin(), entry.crashes.end(), is_cause_of);
  }
}

void CrashHistory::ExplainCrashes(std::vector<Event>& events) {
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (!crash.refuted)
        events[crash.event].explained |= entry.is_cause;
    }
  }
  for (auto& [fingerprint, entry] : entries_) {
    if (entry.is_cause)
      continue;
    for (Crash& crash : entry.crashes)
      crash.explained = !crash.refuted && events[crash.event].explained;
    entry.crash_count = CountSequential(entry, /*verified_only=*/true);
  }
}

void CrashHistory::OnConnectionLost(const Hash128& fingerprint,
                                    const UpstreamProcess& upstream,
                                    Duration answering_for,
                                    TimePoint sent_at,
                                    TimePoint now) {
  if (HasCompleted(fingerprint))
    return;
  Entry& entry = FindOrAdd(fingerprint);
  // An attempt that was sent after a crash of this process ran on a new process
  // of the upstream, of which the directory does not know yet.
  const bool same_crash = std::any_of(
      entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
        return crash.upstream == upstream && crash.crashed_at > sent_at;
      });
  if (same_crash || entry.crashes.size() >= kMaxCrashesPerRequest)
    return;
  Crash crash;
  crash.record_id = Hash64(std::to_string(++records_created_), record_id_seed_);
  crash.upstream = upstream;
  crash.sent_at = sent_at;
  crash.crashed_at = now;
  crash.early = answering_for <= options_.early_crash;
  crash.own = true;
  entry.crashes.push_back(std::move(crash));
}

std::vector<Hash128> CrashHistory::OnVerdict(const LossVerdict& verdict,
                                             TimePoint now) {
  for (auto& [fingerprint, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      if (!crash.own || !(crash.upstream == verdict.process) ||
          crash.crashed_at <= verdict.after || crash.crashed_at > verdict.until)
        continue;
      crash.verified = verdict.crashed;
      crash.refuted = !verdict.crashed;
      if (crash.refuted && std::exchange(crash.shared, false))
        withdrawals_.push_back(MakeWithdrawal(fingerprint, crash.record_id));
    }
  }
  has_unshared_ = true;
  return Classify(now);
}

std::vector<Hash128> CrashHistory::OnAnswerCompleted(const Hash128& fingerprint,
                                                     TimePoint now) {
  RememberCompletion(fingerprint);
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end())
    return {};
  WithdrawShared(fingerprint, found->second);
  entries_.erase(found);
  return Classify(now);
}

bool CrashHistory::HasCompleted(const Hash128& fingerprint) const {
  return completions_.count(fingerprint) != 0 ||
         older_completions_.count(fingerprint) != 0;
}

void CrashHistory::RememberCompletion(const Hash128& fingerprint) {
  if (completions_.size() >= options_.max_completions / 2)
    older_completions_ = std::exchange(completions_, {});
  completions_.insert(fingerprint);
}

void CrashHistory::ForgetOldCompletions(TimePoint now) {
  if (now - completions_since_ < options_.completion_retention / 2)
    return;
  older_completions_ = std::exchange(completions_, {});
  completions_since_ = now;
}

void CrashHistory::OnRequestFailed(const Hash128& fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end())
    return;
  found->second.request_failed = true;
  has_unshared_ = true;
}

std::vector<Hash128> CrashHistory::OnRecords(
    const std::vector<CrashRecord>& records,
    TimePoint now) {
  for (const CrashRecord& record : records) {
    if (record.withdrawn)
      RemoveRecord(record);
    else
      AddRecord(record, now);
  }
  return Classify(now);
}

void CrashHistory::AddRecord(const CrashRecord& record, TimePoint now) {
  if (record.age >= options_.retention) {
    // The host that shared the record has ended without withdrawing it.
    withdrawals_.push_back(MakeWithdrawal(record.fingerprint, record.id));
    has_unshared_ = true;
    return;
  }
  if (HasCompleted(record.fingerprint))
    return;
  Entry& entry = FindOrAdd(record.fingerprint);
  Crash* crash = FindRecord(entry, record.id);
  if (!crash) {
    if (entry.crashes.size() >= kMaxCrashesPerRequest)
      return;
    crash = &entry.crashes.emplace_back();
    crash->record_id = record.id;
    crash->upstream = record.upstream;
    crash->crashed_at = now - record.age;
    crash->sent_at = crash->crashed_at - record.run_time;
    crash->early = true;
  }
  crash->verified = true;
  crash->shared = true;
}

void CrashHistory::RemoveRecord(const CrashRecord& record) {
  const auto found = entries_.find(record.fingerprint);
  if (found == entries_.end())
    return;
  std::vector<Crash>& crashes = found->second.crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [&](const Crash& crash) {
                                 return crash.record_id == record.id;
                               }),
                crashes.end());
  if (crashes.empty())
    entries_.erase(found);
}

std::vector<CrashRecord> CrashHistory::TakeRecords(TimePoint now) {
  if (!std::exchange(has_unshared_, false))
    return {};
  std::vector<CrashRecord> records = std::exchange(withdrawals_, {});
  for (auto& [fingerprint, entry] : entries_) {
    const bool repeated = entry.crash_count > 1;
    for (Crash& crash : entry.crashes) {
      const bool share = repeated || (entry.request_failed && crash.early);
      if (crash.shared || !crash.verified || !share)
        continue;
      crash.shared = true;
      records.push_back({fingerprint, crash.record_id, /*withdrawn=*/false,
                         crash.upstream, now - crash.crashed_at,
                         crash.crashed_at - crash.sent_at});
    }
  }
  return records;
}

void CrashHistory::Expire(TimePoint now) {
  ForgetOldCompletions(now);
  const size_t before = entries_.size();
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (now - LastCrashAt(it->second) < RetentionOf(it->second)) {
      ++it;
      continue;
    }
    WithdrawShared(it->first, it->second);
    it = entries_.erase(it);
  }
  if (entries_.size() != before)
    Classify(now);
}

CrashCounts CrashHistory::Count(TimePoint now) const {
  CrashCounts counts;
  for (const auto& [fingerprint, entry] : entries_) {
    if (RefusedFor(entry, now) > Duration::zero())
      ++counts.quarantined;
    else if (entry.crash_count > 0)
      ++counts.suspects;
  }
  return counts;
}

size_t CrashHistory::CountAt(const UpstreamProcess& upstream) const {
  size_t count = 0;
  for (const auto& [fingerprint, entry] : entries_)
    count += std::any_of(
        entry.crashes.begin(), entry.crashes.end(),
        [&](const Crash& crash) { return crash.upstream == upstream; });
  return count;
}

Duration CrashHistory::RetentionOf(const Entry& entry) const {
  return entry.crash_count >= options_.crashes_to_quarantine
             ? options_.retention
             : options_.suspect_retention;
}

CrashHistory::Entry& CrashHistory::FindOrAdd(const Hash128& fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end())
    return found->second;
  if (entries_.size() >= options_.max_fingerprints)
    EvictLeastSuspected();
  return entries_[fingerprint];
}

void CrashHistory::EvictLeastSuspected() {
  const auto suspicion = [](const Entry& entry) {
    return std::make_pair(entry.crash_count, LastCrashAt(entry));
  };
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
        return suspicion(a.second) < suspicion(b.second);
      });
  WithdrawShared(least->first, least->second);
  entries_.erase(least);
}

void CrashHistory::WithdrawShared(const Hash128& fingerprint,
                                  const Entry& entry) {
  for (const Crash& crash : entry.crashes) {
    if (!crash.shared)
      continue;
    withdrawals_.push_back(MakeWithdrawal(fingerprint, crash.record_id));
    has_unshared_ = true;
  }
}

}  // namespace teaselhill::gateway
