/// \file
/// Decides whether a request runs, is held or is refused.

#include "teaselhill/gateway/crash_history.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace teaselhill::gateway {

/// Teams with crashes under a part from which on all teams are refused it.
static constexpr size_t kTeamsToRefuseAll = 2;

std::string CauseText(const CrashAssessment& assessment) {
  if (!assessment.cause)
    return "";
  return std::string(CrashKeyField(*assessment.cause)) + " " +
         CrashKeyText(*assessment.cause);
}

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

/// Adds what is known of one key of a request to that of the others.
static void Merge(const CrashAssessment& of_key, CrashAssessment* merged) {
  const auto strength = [](const CrashAssessment& assessment) {
    return std::make_tuple(assessment.evidence != CauseEvidence::kNone,
                           assessment.is_trial, assessment.suspected_crashes);
  };
  if (!merged->cause || strength(of_key) > strength(*merged)) {
    merged->cause = of_key.cause;
    merged->evidence = of_key.evidence;
  }
  merged->crashes = std::max(merged->crashes, of_key.crashes);
  merged->suspected_crashes =
      std::max(merged->suspected_crashes, of_key.suspected_crashes);
  merged->isolate |= of_key.isolate;
  merged->is_trial |= of_key.is_trial;
  merged->hold_for = std::max(merged->hold_for, of_key.hold_for);
  merged->refused_for = std::max(merged->refused_for, of_key.refused_for);
  merged->isolated_keys.insert(merged->isolated_keys.end(),
                               of_key.isolated_keys.begin(),
                               of_key.isolated_keys.end());
}

CrashAssessment CrashHistory::Assess(const CrashKeys& keys,
                                     TimePoint now) const {
  CrashAssessment assessment;
  keys.ForEach([&](const CrashKey& key) {
    const auto found = entries_.find(key);
    if (found != entries_.end())
      Merge(AssessEntry(key, found->second,
                        IsRefusalJustified(key, found->second, keys), now),
            &assessment);
  });
  return assessment;
}

CrashAssessment CrashHistory::AssessKey(const CrashKey& key,
                                        TimePoint now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return {};
  return AssessEntry(key, found->second, /*refusal_justified=*/true, now);
}

CrashAssessment CrashHistory::AssessEntry(const CrashKey& key,
                                          const Entry& entry,
                                          bool refusal_justified,
                                          TimePoint now) const {
  CrashAssessment assessment;
  assessment.cause = key;
  assessment.crashes = entry.crash_count;
  assessment.suspected_crashes = CountSuspected(entry);
  if (IsTrusted(key, entry))
    return assessment;
  assessment.isolate =
      assessment.suspected_crashes > 1 ||
      std::any_of(entry.crashes.begin(), entry.crashes.end(),
                  [this](const Crash& crash) {
                    return crash.counts() && !crash.explained &&
                           crash.answering_for <= options_.early_crash;
                  });
  if (!assessment.isolate)
    return assessment;
  assessment.isolated_keys = {key};
  assessment.is_trial =
      assessment.suspected_crashes >= options_.crashes_to_hold;
  const Duration hold = refusal_justified
                            ? HoldOf(entry, assessment.suspected_crashes, now)
                            : options_.report_delay;
  assessment.hold_for =
      std::max(Duration::zero(), Duration(LastCrashAt(entry) + hold - now));
  if (!refusal_justified)
    return assessment;
  assessment.refused_for = RefusedFor(entry, now);
  assessment.evidence = EvidenceAt(entry, now);
  return assessment;
}

bool CrashHistory::IsRefusalJustified(const CrashKey& key,
                                      const Entry& entry,
                                      const CrashKeys& keys) const {
  // A part that this host has seen answered, or may not have had the time to
  // see, is tried before it is refused: a host that started a short time ago
  // may have blamed a part that many requests share.
  const bool was_answered = answered_parts_.Count(key) > 0;
  const bool knows_parts = part_answers_ >= options_.answers_to_know_parts;
  if (entry.is_part &&
      ((was_answered &&
        entry.crash_count < options_.crashes_to_quarantine_among_others) ||
       (!knows_parts && entry.crash_count < options_.max_crashes)))
    return false;
  const bool has_all =
      std::all_of(entry.inseparable.begin(), entry.inseparable.end(),
                  [&](const CrashKey& other) { return keys.Contains(other); });
  if (!has_all || !PromptPartId(key))
    return has_all;
  std::set<uint64_t> teams;
  for (const Crash& crash : entry.crashes) {
    if (crash.verified && crash.counts())
      teams.insert(crash.team);
  }
  return teams.size() >= kTeamsToRefuseAll || teams.count(keys.team) != 0;
}

bool CrashHistory::IsTrusted(const CrashKey& key, const Entry& entry) const {
  if (!PromptPartId(key) || entry.identified())
    return false;
  return entry.has_stronger ||
         (answered_parts_.Count(key) > 0 &&
          entry.crash_count < options_.crashes_to_quarantine);
}

CauseEvidence CrashHistory::EvidenceAt(const Entry& entry,
                                       TimePoint now) const {
  const bool is_overdue =
      entry.needs_trial && now >= LastCrashAt(entry) + options_.max_trial_delay;
  return is_overdue ? CauseEvidence::kNoTrialInTime : entry.evidence;
}

Duration CrashHistory::HoldOf(const Entry& entry,
                              int suspected_crashes,
                              TimePoint now) const {
  if (EvidenceAt(entry, now) != CauseEvidence::kNone)
    return options_.confirmation_delay;
  const bool is_own = std::any_of(entry.crashes.begin(), entry.crashes.end(),
                                  [](const Crash& crash) { return crash.own; });
  return suspected_crashes < options_.crashes_to_hold && is_own
             ? options_.first_retry_delay
             : options_.report_delay;
}

Duration CrashHistory::RefusedFor(const Entry& entry, TimePoint now) const {
  if (EvidenceAt(entry, now) == CauseEvidence::kNone ||
      now < LastCrashAt(entry) + HoldOf(entry, entry.crash_count, now))
    return Duration::zero();
  const int doublings =
      std::min(entry.crash_count - options_.crashes_to_quarantine,
               options_.max_quarantine_doublings);
  const Duration duration = options_.quarantine_duration * (1 << doublings);
  return std::max(Duration::zero(), LastCrashAt(entry) + duration - now);
}

std::vector<CrashKey> CrashHistory::TakeNewlyRefused(TimePoint now) {
  std::vector<CrashKey> newly_refused;
  for (auto& [key, entry] : entries_) {
    const bool refused = RefusedFor(entry, now) > Duration::zero();
    if (refused && !entry.refused)
      newly_refused.push_back(key);
    entry.refused = refused;
  }
  return newly_refused;
}

}  // namespace teaselhill::gateway
