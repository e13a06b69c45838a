/// \file
/// Exchanges records of crashes with other hosts.

#include "teaselhill/gateway/crash_history.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace teaselhill::gateway {

/// Parts of CrashHistoryOptions::withdrawal_spread that hosts choose from.
static constexpr int64_t kSpreadSteps = 1000;

/// Identifies the record of one key; the records of an attempt share their id.
static Hash128 RecordKey(const CrashKey& key, uint64_t record_id) {
  const std::string id = std::to_string(record_id);
  return {Hash64(id, key.high), Hash64(id, key.low)};
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
  // It may arrive after its withdrawal, as another host and the log bring both.
  if (IsWithdrawn(record.key, record.id))
    return;
  // The host that shared the record has ended without withdrawing it, or does
  // not know that the request was answered here.
  if (record.age >= options_.retention || IsCleared(record.key))
    return WithdrawForeign(record, now);
  Entry& entry = FindOrAdd(record.key);
  Crash* crash = FindRecord(entry, record.id);
  if (!crash) {
    if (entry.crashes.size() >= kMaxCrashesPerKey)
      return;
    crash = &entry.crashes.emplace_back();
    crash->record_id = record.id;
    crash->upstream = record.upstream;
    crash->crashed_at = now - record.age;
    crash->sent_at = crash->crashed_at - record.run_time;
    crash->answering_for = record.answering_for;
    crash->kind = record.kind;
    crash->team = record.team;
    crash->seen_alive_at = crash->crashed_at - record.silent_for;
  }
  crash->verified = true;
  crash->shared = true;
  crashed_processes_.emplace(crash->upstream, crash->crashed_at);
}

void CrashHistory::RemoveRecord(const CrashRecord& record) {
  withdrawn_records_.OnAnswer(RecordKey(record.key, record.id));
  const auto found = entries_.find(record.key);
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

CrashHistory::Crash* CrashHistory::FindRecord(Entry& entry,
                                              uint64_t record_id) {
  for (Crash& crash : entry.crashes) {
    if (crash.record_id == record_id)
      return &crash;
  }
  return nullptr;
}

std::vector<CrashRecord> CrashHistory::TakeRecords(TimePoint now) {
  WithdrawDue(now);
  if (!std::exchange(has_unshared_, false))
    return {};
  std::vector<CrashRecord> records = std::exchange(withdrawals_, {});
  for (auto& [key, entry] : entries_) {
    const bool repeated = entry.crash_count > 1;
    for (Crash& crash : entry.crashes) {
      const bool share =
          repeated || crash.answering_for <= options_.early_crash;
      if (crash.shared || !crash.verified || crash.superseded || !share)
        continue;
      crash.shared = true;
      records.push_back({key, crash.record_id, /*withdrawn=*/false,
                         crash.upstream, now - crash.crashed_at,
                         crash.crashed_at - crash.sent_at, crash.answering_for,
                         crash.crashed_at - crash.seen_alive_at, crash.kind,
                         crash.team});
    }
  }
  return records;
}

bool CrashHistory::IsWithdrawn(const CrashKey& key, uint64_t record_id) const {
  return withdrawn_records_.Count(RecordKey(key, record_id)) > 0;
}

void CrashHistory::Withdraw(const CrashKey& key, uint64_t record_id) {
  if (IsWithdrawn(key, record_id))
    return;
  withdrawn_records_.OnAnswer(RecordKey(key, record_id));
  CrashRecord record;
  record.key = key;
  record.id = record_id;
  record.withdrawn = true;
  withdrawals_.push_back(std::move(record));
  has_unshared_ = true;
}

void CrashHistory::WithdrawShared(const CrashKey& key, const Entry& entry) {
  for (const Crash& crash : entry.crashes) {
    if (crash.shared)
      Withdraw(key, crash.record_id);
  }
}

void CrashHistory::WithdrawOwn(const CrashKey& key, const Entry& entry) {
  for (const Crash& crash : entry.crashes) {
    if (crash.shared && crash.own)
      Withdraw(key, crash.record_id);
  }
}

void CrashHistory::WithdrawForeign(const CrashRecord& record, TimePoint now) {
  // A request that crashed upstreams may be held by other hosts until then.
  if (!PromptPartId(record.key))
    return Withdraw(record.key, record.id);
  if (delayed_withdrawals_.size() >= options_.max_keys)
    return;
  const uint64_t draw = Hash64(std::to_string(record.id), record_id_seed_);
  const Duration delay = options_.withdrawal_spread *
                         static_cast<int64_t>(draw % kSpreadSteps) /
                         kSpreadSteps;
  delayed_withdrawals_.push_back({now + delay, record.key, record.id});
}

void CrashHistory::WithdrawDue(TimePoint now) {
  const auto due = std::partition(
      delayed_withdrawals_.begin(), delayed_withdrawals_.end(),
      [now](const DelayedWithdrawal& delayed) { return delayed.due_at > now; });
  for (auto delayed = due; delayed != delayed_withdrawals_.end(); ++delayed)
    Withdraw(delayed->key, delayed->record_id);
  delayed_withdrawals_.erase(due, delayed_withdrawals_.end());
}

void CrashHistory::WithdrawRevised(const CrashKey& key, Crash& crash) {
  if (std::exchange(crash.shared, false))
    Withdraw(key, crash.record_id);
  crash.record_id = Hash64(std::to_string(crash.record_id), record_id_seed_);
}

}  // namespace teaselhill::gateway
