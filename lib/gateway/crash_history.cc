/// \file
/// Sharing, judging and expiry of crashes.

#include "teaselhill/gateway/crash_history.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselhill::gateway {

/// Maximum number of crashes that are kept for one request.
static constexpr size_t kMaxCrashesPerRequest = 16;

/// Time for which a loss that was no crash is kept. Its verdict may be revised
/// while LossReviewer reviews the process.
static constexpr std::chrono::seconds kRefutedRetention{10};

std::string_view CauseEvidenceName(CauseEvidence evidence) {
  switch (evidence) {
    case CauseEvidence::kNone:
      return "none";
    case CauseEvidence::kTrial:
      return "trial";
    case CauseEvidence::kStandsOut:
      return "stands_out";
    case CauseEvidence::kMaxCrashes:
      return "max_crashes";
    case CauseEvidence::kNoTrialInTime:
      return "no_trial_in_time";
  }
  return "unknown";
}

void CrashHistory::Withdraw(const Hash128& fingerprint, uint64_t record_id) {
  CrashRecord record;
  record.fingerprint = fingerprint;
  record.id = record_id;
  record.withdrawn = true;
  withdrawals_.push_back(std::move(record));
  has_unshared_ = true;
}

TimePoint CrashHistory::LastCrashAt(const Entry& entry) {
  TimePoint last{};
  for (const Crash& crash : entry.crashes) {
    if (crash.counts())
      last = std::max(last, crash.crashed_at);
  }
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
  assessment.suspected_crashes = CountCrashes(entry, /*verified_only=*/false);
  assessment.isolate =
      assessment.suspected_crashes > 1 ||
      std::any_of(entry.crashes.begin(), entry.crashes.end(),
                  [this](const Crash& crash) {
                    return crash.counts() &&
                           crash.answering_for <= options_.early_crash;
                  });
  assessment.is_trial =
      assessment.suspected_crashes >= options_.crashes_to_hold;
  if (assessment.isolate)
    assessment.hold_for =
        std::max(Duration::zero(),
                 HeldUntil(entry, assessment.suspected_crashes, now) - now);
  assessment.refused_for = RefusedFor(entry, now);
  assessment.evidence = EvidenceAt(entry, now);
  return assessment;
}

CauseEvidence CrashHistory::EvidenceAt(const Entry& entry,
                                       TimePoint now) const {
  const bool is_overdue =
      entry.needs_trial && now >= LastCrashAt(entry) + options_.max_trial_delay;
  return is_overdue ? CauseEvidence::kNoTrialInTime : entry.evidence;
}

TimePoint CrashHistory::HeldUntil(const Entry& entry,
                                  int suspected_crashes,
                                  TimePoint now) const {
  const bool is_own = std::any_of(entry.crashes.begin(), entry.crashes.end(),
                                  [](const Crash& crash) { return crash.own; });
  Duration hold = options_.report_delay;
  if (suspected_crashes < options_.crashes_to_hold && is_own)
    hold = options_.first_retry_delay;
  if (EvidenceAt(entry, now) != CauseEvidence::kNone)
    hold = options_.confirmation_delay;
  return LastCrashAt(entry) + hold;
}

Duration CrashHistory::RefusedFor(const Entry& entry, TimePoint now) const {
  if (EvidenceAt(entry, now) == CauseEvidence::kNone ||
      now < HeldUntil(entry, entry.crash_count, now))
    return Duration::zero();
  const int doublings =
      std::min(entry.crash_count - options_.crashes_to_quarantine,
               options_.max_quarantine_doublings);
  const Duration duration = options_.quarantine_duration * (1 << doublings);
  return std::max(Duration::zero(), LastCrashAt(entry) + duration - now);
}

std::vector<Hash128> CrashHistory::TakeNewlyRefused(TimePoint now) {
  std::vector<Hash128> newly_refused;
  for (auto& [fingerprint, entry] : entries_) {
    const bool refused = RefusedFor(entry, now) > Duration::zero();
    if (refused && !entry.refused)
      newly_refused.push_back(fingerprint);
    entry.refused = refused;
  }
  return newly_refused;
}

void CrashHistory::OnConnectionLost(const Hash128& fingerprint,
                                    const UpstreamProcess& upstream,
                                    Duration answering_for,
                                    TimePoint seen_alive_at,
                                    TimePoint sent_at,
                                    TimePoint now,
                                    LossKind kind) {
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
  crash.seen_alive_at = seen_alive_at;
  crash.kind = kind;
  crash.answering_for = answering_for;
  crash.own = true;
  entry.crashes.push_back(std::move(crash));
}

std::vector<UpstreamProcess> CrashHistory::CrashedProcesses(
    const Hash128& fingerprint) const {
  std::vector<UpstreamProcess> processes;
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end())
    return processes;
  for (const Crash& crash : found->second.crashes) {
    if (crash.counts())
      processes.push_back(crash.upstream);
  }
  return processes;
}

void CrashHistory::OnVerdict(const LossVerdict& verdict) {
  for (auto& [fingerprint, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      if (!crash.own || !(crash.upstream == verdict.process) ||
          crash.crashed_at <= verdict.after || crash.crashed_at > verdict.until)
        continue;
      crash.verified = verdict.crashed;
      crash.refuted = !verdict.crashed;
      if (crash.refuted && std::exchange(crash.shared, false))
        Withdraw(fingerprint, crash.record_id);
    }
  }
  has_unshared_ = true;
  UpdateCounts();
}

void CrashHistory::OnAnswerCompleted(const Hash128& fingerprint) {
  RememberCompletion(fingerprint);
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end())
    return;
  WithdrawShared(fingerprint, found->second);
  entries_.erase(found);
  UpdateCounts();
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

void CrashHistory::OnRecords(const std::vector<CrashRecord>& records,
                             TimePoint now) {
  for (const CrashRecord& record : records) {
    if (record.withdrawn)
      RemoveRecord(record);
    else
      AddRecord(record, now);
  }
  UpdateCounts();
}

void CrashHistory::AddRecord(const CrashRecord& record, TimePoint now) {
  // The host that shared the record has ended without withdrawing it, or does
  // not know that the request was answered here.
  if (record.age >= options_.retention || HasCompleted(record.fingerprint)) {
    Withdraw(record.fingerprint, record.id);
    return;
  }
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
    crash->answering_for = record.answering_for;
    crash->kind = record.kind;
    crash->seen_alive_at = crash->crashed_at - record.silent_for;
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
      const bool share =
          repeated || crash.answering_for <= options_.early_crash;
      if (crash.shared || !crash.verified || crash.superseded || !share)
        continue;
      crash.shared = true;
      records.push_back({fingerprint, crash.record_id, /*withdrawn=*/false,
                         crash.upstream, now - crash.crashed_at,
                         crash.crashed_at - crash.sent_at, crash.answering_for,
                         crash.crashed_at - crash.seen_alive_at, crash.kind});
    }
  }
  return records;
}

void CrashHistory::Expire(TimePoint now) {
  ForgetOldCompletions(now);
  const size_t before = entries_.size();
  for (auto it = entries_.begin(); it != entries_.end();) {
    RemoveRefuted(it->second, now);
    if (now - LastCrashAt(it->second) < RetentionOf(it->second) ||
        HasRecentlyRefuted(it->second)) {
      ++it;
      continue;
    }
    WithdrawShared(it->first, it->second);
    it = entries_.erase(it);
  }
  if (entries_.size() != before)
    UpdateCounts();
}

void CrashHistory::RemoveRefuted(Entry& entry, TimePoint now) {
  const auto is_old = [now](const Crash& crash) {
    return crash.refuted && now - crash.crashed_at > kRefutedRetention;
  };
  entry.crashes.erase(
      std::remove_if(entry.crashes.begin(), entry.crashes.end(), is_old),
      entry.crashes.end());
}

bool CrashHistory::HasRecentlyRefuted(const Entry& entry) {
  return std::any_of(entry.crashes.begin(), entry.crashes.end(),
                     [](const Crash& crash) { return crash.refuted; });
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
    Withdraw(fingerprint, crash.record_id);
  }
}

}  // namespace teaselhill::gateway
