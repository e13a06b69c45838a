/// \file
/// Recording, verification and expiry of crashes.

#include "teaselhill/gateway/crash_history.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselhill::gateway {

/// Time for which it is remembered that a process crashed. Longer than a part
/// takes to be found.
static constexpr std::chrono::minutes kCrashedProcessRetention{2};

/// Time in which crashes after an abandoned trial become known.
static constexpr std::chrono::seconds kAbandonedTrialRetention{10};

/// Time for which a loss that was no crash is kept. Its verdict may be revised
/// while LossReviewer reviews the process.
static constexpr std::chrono::seconds kRefutedRetention{10};

CrashHistory::Crash CrashHistory::MakeLoss(const CrashKeys& keys,
                                           const UpstreamProcess& upstream,
                                           Duration answering_for,
                                           TimePoint sent_at,
                                           TimePoint now) {
  Crash crash;
  crash.record_id = Hash64(std::to_string(++records_created_), record_id_seed_);
  crash.upstream = upstream;
  crash.sent_at = sent_at;
  crash.crashed_at = now;
  crash.team = keys.team;
  crash.answering_for = answering_for;
  crash.own = true;
  return crash;
}

void CrashHistory::OnConnectionLost(const CrashKeys& keys,
                                    const UpstreamProcess& upstream,
                                    Duration answering_for,
                                    TimePoint seen_alive_at,
                                    TimePoint sent_at,
                                    TimePoint now,
                                    LossKind kind) {
  Crash crash = MakeLoss(keys, upstream, answering_for, sent_at, now);
  crash.seen_alive_at = seen_alive_at;
  crash.kind = kind;
  keys.ForEach([&](const CrashKey& key) {
    if (!IsCleared(key))
      RecordLoss(key, crash);
  });
}

void CrashHistory::OnTrialAbandoned(const CrashKeys& keys,
                                    const UpstreamProcess& upstream,
                                    Duration answering_for,
                                    TimePoint sent_at,
                                    TimePoint now) {
  Crash crash = MakeLoss(keys, upstream, answering_for, sent_at, now);
  crash.seen_alive_at = now;
  abandoned_trials_.push_back({keys, crash});
}

void CrashHistory::RecordLoss(const CrashKey& key, Crash crash) {
  Entry& entry = FindOrAdd(key);
  // The upstream may have outlived a silence of this attempt before it crashed.
  const auto is_own_silence = [&crash](const Crash& other) {
    return other.own && other.kind == LossKind::kGivenUp && !other.verified &&
           other.upstream == crash.upstream && other.sent_at == crash.sent_at;
  };
  entry.crashes.erase(std::remove_if(entry.crashes.begin(), entry.crashes.end(),
                                     is_own_silence),
                      entry.crashes.end());
  // An attempt that was sent after a crash of this process ran on a new process
  // of the upstream, of which the directory does not know yet.
  const bool same_crash = std::any_of(
      entry.crashes.begin(), entry.crashes.end(), [&](const Crash& other) {
        return other.upstream == crash.upstream &&
               other.crashed_at > crash.sent_at;
      });
  if (same_crash)
    return;
  if (entry.crashes.size() >= kMaxCrashesPerKey) {
    const auto refuted =
        std::find_if(entry.crashes.begin(), entry.crashes.end(),
                     [](const Crash& other) { return other.refuted; });
    if (refuted == entry.crashes.end())
      return;
    entry.crashes.erase(refuted);
  }
  entry.crashes.push_back(std::move(crash));
}

std::vector<UpstreamProcess> CrashHistory::CrashedProcesses(
    const CrashKeys& keys) const {
  std::vector<UpstreamProcess> processes;
  keys.ForEach([&](const CrashKey& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || IsTrusted(key, found->second))
      return;
    for (const Crash& crash : found->second.crashes) {
      if (crash.counts())
        processes.push_back(crash.upstream);
    }
  });
  return processes;
}

void CrashHistory::OnVerdict(const LossVerdict& verdict) {
  if (verdict.crashed)
    crashed_processes_[verdict.process] = verdict.until;
  else
    crashed_processes_.erase(verdict.process);
  for (auto& [key, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      if (!crash.own || !(crash.upstream == verdict.process) ||
          crash.crashed_at <= verdict.after || crash.crashed_at > verdict.until)
        continue;
      crash.verified = verdict.crashed;
      crash.refuted = !verdict.crashed;
      if (crash.refuted)
        WithdrawRevised(key, crash);
    }
  }
  has_unshared_ = true;
  UpdateCounts();
}

void CrashHistory::OnRestarts(
    const std::map<UpstreamProcess, TimePoint>& restarts) {
  restarted_processes_.insert(restarts.begin(), restarts.end());
  if (!restarts.empty() && !entries_.empty())
    UpdateCounts();
}

void CrashHistory::OnAnswerCompleted(const CrashKeys& keys) {
  answered_requests_.OnAnswer(keys.fingerprint);
  for (const CrashKey& part : keys.parts)
    answered_parts_.OnAnswer(part);
  part_answers_ += keys.parts.empty() ? 0 : 1;
  const size_t before = entries_.size();
  keys.ForEach([this](const CrashKey& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end())
      return;
    WithdrawShared(key, found->second);
    entries_.erase(found);
  });
  if (entries_.size() != before)
    UpdateCounts();
}

bool CrashHistory::IsCleared(const CrashKey& key) const {
  return PromptPartId(key)
             ? answered_parts_.Count(key) >= options_.answers_to_trust_part
             : answered_requests_.Count(key) > 0;
}

static void ForgetOldProcesses(std::map<UpstreamProcess, TimePoint>* processes,
                               TimePoint now) {
  for (auto it = processes->begin(); it != processes->end();) {
    const bool is_old = now - it->second > kCrashedProcessRetention;
    it = is_old ? processes->erase(it) : std::next(it);
  }
}

void CrashHistory::Expire(TimePoint now) {
  answered_requests_.ForgetOld(now);
  answered_parts_.ForgetOld(now);
  withdrawn_records_.ForgetOld(now);
  const auto is_over = [now](const AbandonedTrial& trial) {
    return now - trial.crash.crashed_at > kAbandonedTrialRetention;
  };
  abandoned_trials_.erase(std::remove_if(abandoned_trials_.begin(),
                                         abandoned_trials_.end(), is_over),
                          abandoned_trials_.end());
  ForgetOldProcesses(&crashed_processes_, now);
  ForgetOldProcesses(&restarted_processes_, now);
  const size_t before = entries_.size();
  for (auto it = entries_.begin(); it != entries_.end();) {
    RemoveRefuted(it->second, now);
    if (now - LastCrashAt(it->second) < RetentionOf(it->second) ||
        HasRecentlyRefuted(it->second)) {
      ++it;
      continue;
    }
    WithdrawOwn(it->first, it->second);
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
  for (const auto& [key, entry] : entries_) {
    if (RefusedFor(entry, now) > Duration::zero())
      ++counts.quarantined;
    else if (entry.crash_count > 0)
      ++counts.suspects;
  }
  return counts;
}

size_t CrashHistory::CountAt(const UpstreamProcess& upstream) const {
  size_t count = 0;
  for (const auto& [key, entry] : entries_)
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

CrashHistory::Entry& CrashHistory::FindOrAdd(const CrashKey& key) {
  const auto found = entries_.find(key);
  if (found != entries_.end())
    return found->second;
  if (entries_.size() >= options_.max_keys)
    EvictLeastSuspected();
  Entry& entry = entries_[key];
  entry.is_part = PromptPartId(key).has_value();
  return entry;
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

TimePoint CrashHistory::LastCrashAt(const Entry& entry) {
  TimePoint last{};
  for (const Crash& crash : entry.crashes) {
    if (crash.counts())
      last = std::max(last, crash.crashed_at);
  }
  return last;
}

}  // namespace teaselhill::gateway
