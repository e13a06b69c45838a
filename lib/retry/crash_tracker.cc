/// \file
/// Group testing of the requests that were in flight on crashed upstreams.

#include "teaselhill/retry/crash_tracker.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace teaselhill::retry {

namespace {

constexpr int kMinCrashesToQuarantine = 2;
constexpr int kMaxQuarantineDoublings = 2;
/// A suspect may start only within the first 1 / kStartWindowDivisor of its
/// slot.
constexpr int kStartWindowDivisor = 5;

bool Contains(const std::vector<Hash128>& sorted, const Hash128& fingerprint) {
  return std::binary_search(sorted.begin(), sorted.end(), fingerprint);
}

}  // namespace

Hash128 Fingerprint(std::string_view target, std::string_view body) {
  std::string text;
  text.reserve(target.size() + 1 + body.size());
  text.append(target).push_back('\0');
  text.append(body);
  return HashWide(text);
}

CrashAdvice CrashTracker::Advise(const Hash128& fingerprint,
                                 TimePoint now) const {
  const auto found = suspect_states_.find(fingerprint);
  if (found == suspect_states_.end() || found->second.unexplained_crashes == 0)
    return {};
  const SuspectState& state = found->second;
  const Duration since_last_crash = now - state.last_crash_at;
  CrashAdvice advice;
  advice.crashes = state.crashes;
  if (state.crashes >= kMinCrashesToQuarantine) {
    const int doublings = std::min(state.crashes - kMinCrashesToQuarantine,
                                   kMaxQuarantineDoublings);
    const Duration refusal_duration =
        state.is_cause ? options_.quarantine_duration * (1 << doublings)
                       : options_.ambiguous_quarantine_duration;
    if (since_last_crash < refusal_duration) {
      advice.precaution = CrashPrecaution::kRefuse;
      advice.retry_after = refusal_duration - since_last_crash;
      return advice;
    }
  } else if (since_last_crash >= options_.isolation_duration) {
    return {};
  }
  advice.precaution = CrashPrecaution::kIsolate;
  advice.retry_after = TimeUntilSlot(state, now);
  if (advice.retry_after > Duration{}) {
    advice.precaution = CrashPrecaution::kSuspend;
  } else if (IsRunning(fingerprint, now)) {
    advice.precaution = CrashPrecaution::kSuspend;
    advice.retry_after = options_.suspend_retry_after;
  }
  return advice;
}

CrashCounts CrashTracker::CountFingerprints(TimePoint now) const {
  CrashCounts counts;
  for (const auto& [fingerprint, state] : suspect_states_) {
    const CrashPrecaution precaution = Advise(fingerprint, now).precaution;
    counts.quarantined += precaution == CrashPrecaution::kRefuse ? 1 : 0;
    counts.suspects += precaution == CrashPrecaution::kIsolate ||
                               precaution == CrashPrecaution::kSuspend
                           ? 1
                           : 0;
  }
  return counts;
}

Duration CrashTracker::TimeUntilSlot(const SuspectState& state,
                                     TimePoint now) const {
  if (now < state.first_slot_at)
    return state.first_slot_at - now;
  if (state.slot_period <= options_.start_slot)
    return {};
  const Duration offset_in_period =
      (now - state.first_slot_at) % state.slot_period;
  return offset_in_period < options_.start_slot / kStartWindowDivisor
             ? Duration{}
             : state.slot_period - offset_in_period;
}

bool CrashTracker::IsRunning(const Hash128& fingerprint, TimePoint now) const {
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.fingerprint == fingerprint)
      return true;
  }
  for (auto it = runs_.lower_bound({fingerprint, std::string()});
       it != runs_.end() && it->first.first == fingerprint; ++it) {
    if (it->second.running &&
        now - it->second.updated_at < options_.max_run_wait)
      return true;
  }
  return false;
}

CrashActions CrashTracker::OnAttemptStarted(AttemptId id,
                                            const Hash128& fingerprint,
                                            const std::string& upstream,
                                            TimePoint now) {
  CrashActions actions;
  Attempt attempt{fingerprint, upstream, now, false};
  if (Advise(fingerprint, now).precaution != CrashPrecaution::kNone) {
    attempt.announced = true;
    actions.message.runs.push_back({fingerprint, true});
  }
  if (attempts_.emplace(id, std::move(attempt)).second)
    by_upstream_[upstream].insert(id);
  return FinalizeActions(std::move(actions), now);
}

CrashTracker::Attempt CrashTracker::RemoveAttempt(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return {};
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const auto on_upstream = by_upstream_.find(attempt.upstream);
  on_upstream->second.erase(id);
  if (on_upstream->second.empty())
    by_upstream_.erase(on_upstream);
  return attempt;
}

void CrashTracker::EndRun(const Attempt& attempt, CrashActions& actions) {
  if (attempt.announced)
    actions.message.runs.push_back({attempt.fingerprint, false});
}

CrashActions CrashTracker::OnAttemptCompleted(AttemptId id, TimePoint now) {
  CrashActions actions;
  if (attempts_.count(id) == 0)
    return actions;
  const Attempt attempt = RemoveAttempt(id);
  EndRun(attempt, actions);
  if (IsReportedSuspect(attempt.fingerprint) &&
      ClearSuspect(attempt.fingerprint, now)) {
    actions.message.cleared_suspects.push_back(
        {attempt.fingerprint, Duration{}});
    ClassifySuspects();
  }
  return FinalizeActions(std::move(actions), now);
}

CrashActions CrashTracker::OnAttemptEnded(AttemptId id, TimePoint now) {
  CrashActions actions;
  if (attempts_.count(id) == 0)
    return actions;
  EndRun(RemoveAttempt(id), actions);
  return FinalizeActions(std::move(actions), now);
}

CrashActions CrashTracker::OnStreamBroken(AttemptId id, TimePoint now) {
  CrashActions actions;
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return actions;
  const std::string upstream = found->second.upstream;
  const TimePoint started_at = found->second.started_at;
  // When the first stream of a crash breaks, all requests in flight on the
  // upstream are reported. Later broken streams of the crash add no report.
  const bool reported =
      std::any_of(reports_.begin(), reports_.end(), [&](const Report& report) {
        return report.observer == self_ && report.upstream == upstream &&
               report.observed_at >= started_at &&
               now - report.observed_at < options_.merge_window;
      });
  if (!reported) {
    Report report{self_, ++last_report_number_, upstream, now, {}};
    for (const AttemptId other : by_upstream_[upstream])
      report.suspects.push_back(attempts_[other].fingerprint);
    AddReport(report);
    ClassifySuspects();
    for (const Report& added : reports_) {
      if (added.observer == self_ && added.number == last_report_number_)
        actions.message.crashes.push_back(ToMessage(added, now));
    }
  }
  EndRun(RemoveAttempt(id), actions);
  return FinalizeActions(std::move(actions), now);
}

CrashActions CrashTracker::OnMessage(const CrashSuspicion& message,
                                     TimePoint now) {
  if (message.sender == self_)
    return {};
  bool changed = false;
  for (const CrashReport& crash : message.crashes) {
    const Duration age = std::max(crash.age, Duration{});
    if (age >= options_.retention || KnowsReport(crash.observer, crash.number))
      continue;
    AddReport({crash.observer, crash.number, crash.upstream, now - age,
               crash.suspects});
    changed = true;
  }
  for (const ClearedSuspect& cleared : message.cleared_suspects) {
    // A cleared suspect may arrive before the report of its crash, so it is
    // stored even if no report names it.
    const Duration age = std::max(cleared.age, Duration{});
    if (age < options_.retention)
      changed |= ClearSuspect(cleared.fingerprint, now - age);
  }
  for (const SuspectRun& run : message.runs) {
    const auto key = std::make_pair(run.fingerprint, message.sender.host);
    if (runs_.count(key) == 0 && runs_.size() >= options_.max_runs)
      continue;
    Run& known = runs_[key];
    const uint64_t incarnation = message.sender.incarnation;
    if (std::tie(incarnation, message.sequence) >
        std::tie(known.incarnation, known.sequence))
      known = Run{incarnation, message.sequence, run.running, now};
  }
  if (changed)
    ClassifySuspects();
  CrashActions actions = FinalizeActions({}, now);
  actions.message = {};
  return actions;
}

CrashActions CrashTracker::FinalizeActions(CrashActions actions,
                                           TimePoint now) {
  if (!actions.message.empty()) {
    actions.message.sender = self_;
    actions.message.sequence = ++sequence_;
  }
  if (suspect_states_.empty())
    return actions;
  for (const auto& [id, attempt] : attempts_) {
    if (Advise(attempt.fingerprint, now).precaution == CrashPrecaution::kRefuse)
      actions.attempts_to_cancel.push_back(id);
  }
  std::sort(actions.attempts_to_cancel.begin(),
            actions.attempts_to_cancel.end());
  return actions;
}

bool CrashTracker::KnowsReport(const HostIncarnation& observer,
                               uint64_t number) const {
  return std::any_of(
      reports_.begin(), reports_.end(), [&](const Report& known) {
        return known.observer == observer && known.number == number;
      });
}

void CrashTracker::AddReport(Report report) {
  auto& suspects = report.suspects;
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  if (suspects.size() > options_.max_suspects_per_report) {
    // Suspects of earlier crashes are the more likely cause, so they are kept
    // when the report is cut to its maximum size.
    std::stable_partition(suspects.begin(), suspects.end(),
                          [&](const Hash128& suspect) {
                            return suspect_states_.count(suspect) != 0;
                          });
    suspects.resize(options_.max_suspects_per_report);
    std::sort(suspects.begin(), suspects.end());
  }
  if (reports_.size() >= options_.max_reports) {
    reports_.erase(std::min_element(reports_.begin(), reports_.end(),
                                    [](const Report& a, const Report& b) {
                                      return a.observed_at < b.observed_at;
                                    }));
  }
  reports_.push_back(std::move(report));
}

bool CrashTracker::ClearSuspect(const Hash128& fingerprint, TimePoint at) {
  if (cleared_.size() >= options_.max_cleared_suspects &&
      cleared_.count(fingerprint) == 0)
    return false;
  const auto [it, added] = cleared_.emplace(fingerprint, at);
  if (added)
    return true;
  if (at <= it->second)
    return false;
  it->second = at;
  return true;
}

bool CrashTracker::IsCleared(const Hash128& fingerprint,
                             TimePoint crash_at) const {
  const auto found = cleared_.find(fingerprint);
  return found != cleared_.end() && crash_at <= found->second;
}

bool CrashTracker::IsReportedSuspect(const Hash128& fingerprint) const {
  return std::any_of(reports_.begin(), reports_.end(),
                     [&](const Report& report) {
                       return Contains(report.suspects, fingerprint);
                     });
}

std::vector<CrashTracker::Crash> CrashTracker::GroupReports() const {
  std::vector<const Report*> ordered;
  for (const Report& report : reports_)
    ordered.push_back(&report);
  std::sort(
      ordered.begin(), ordered.end(), [](const Report* a, const Report* b) {
        return std::tie(a->upstream, a->observed_at, a->observer, a->number) <
               std::tie(b->upstream, b->observed_at, b->observer, b->number);
      });
  std::vector<Crash> crashes;
  std::set<HostIncarnation> observers;
  for (const Report* report : ordered) {
    // A host reports each crash once, so a second report of the same host
    // belongs to another crash.
    const bool same = !crashes.empty() &&
                      crashes.back().upstream == report->upstream &&
                      report->observed_at - crashes.back().first_observed_at <
                          options_.merge_window &&
                      observers.count(report->observer) == 0;
    if (!same) {
      crashes.push_back({report->observed_at, report->upstream, {}, {}});
      observers.clear();
    }
    observers.insert(report->observer);
    for (const Hash128& suspect : report->suspects) {
      crashes.back().reported_suspects.push_back(suspect);
      if (!IsCleared(suspect, report->observed_at))
        crashes.back().suspects.push_back(suspect);
    }
  }
  for (Crash& crash : crashes) {
    for (std::vector<Hash128>* list :
         {&crash.suspects, &crash.reported_suspects}) {
      std::sort(list->begin(), list->end());
      list->erase(std::unique(list->begin(), list->end()), list->end());
    }
  }
  return crashes;
}

void CrashTracker::ExcludeBursts(std::vector<Crash>& crashes,
                                 const CrashTrackerOptions& options) {
  const auto near = [&](const Crash& a, const Crash& b) {
    return a.first_observed_at - b.first_observed_at < options.merge_window &&
           b.first_observed_at - a.first_observed_at < options.merge_window;
  };
  for (Crash& crash : crashes) {
    std::set<std::string> upstreams;
    for (const Crash& other : crashes) {
      if (near(crash, other))
        upstreams.insert(other.upstream);
    }
    crash.burst = upstreams.size() >= options.min_burst_upstreams;
  }
  std::vector<std::vector<Hash128>> remaining_suspects(crashes.size());
  for (size_t i = 0; i < crashes.size(); ++i) {
    for (const Hash128& suspect : crashes[i].suspects) {
      const auto shared = [&](const Crash& other) {
        return &other != &crashes[i] && near(crashes[i], other) &&
               Contains(other.suspects, suspect);
      };
      if (!crashes[i].burst ||
          std::any_of(crashes.begin(), crashes.end(), shared))
        remaining_suspects[i].push_back(suspect);
    }
  }
  for (size_t i = 0; i < crashes.size(); ++i)
    crashes[i].suspects = std::move(remaining_suspects[i]);
}

void CrashTracker::ClassifySuspects() {
  std::vector<Crash> crashes = GroupReports();
  ExcludeBursts(crashes, options_);
  suspect_states_.clear();
  for (const Crash& crash : crashes) {
    for (const Hash128& suspect : crash.suspects) {
      SuspectState& state = suspect_states_[suspect];
      ++state.crashes;
      state.last_crash_at =
          std::max(state.last_crash_at, crash.first_observed_at);
    }
  }
  // If exactly one suspect of a crash is also a suspect of another crash, this
  // suspect is identified as the cause. All crashes of which it is a suspect
  // are then explained.
  for (const Crash& crash : crashes) {
    SuspectState* common_suspect = nullptr;
    int common_count = 0;
    for (const Hash128& suspect : crash.suspects) {
      SuspectState& state = suspect_states_[suspect];
      if (state.crashes >= kMinCrashesToQuarantine) {
        common_suspect = &state;
        ++common_count;
      }
    }
    if (common_count == 1)
      common_suspect->is_cause = true;
  }
  for (Crash& crash : crashes) {
    crash.explained = std::any_of(crash.suspects.begin(), crash.suspects.end(),
                                  [&](const Hash128& suspect) {
                                    return suspect_states_[suspect].is_cause;
                                  });
    if (!crash.explained) {
      AssignSlots(crash);
      continue;
    }
    for (const Hash128& suspect : crash.suspects) {
      SuspectState& state = suspect_states_[suspect];
      state.unexplained_crashes += state.is_cause ? 1 : 0;
    }
  }
}

void CrashTracker::AssignSlots(const Crash& crash) {
  const int slots = std::min(static_cast<int>(crash.reported_suspects.size()),
                             options_.max_slots);
  for (const Hash128& suspect : crash.suspects) {
    SuspectState& state = suspect_states_[suspect];
    ++state.unexplained_crashes;
    const auto rank = std::lower_bound(crash.reported_suspects.begin(),
                                       crash.reported_suspects.end(), suspect) -
                      crash.reported_suspects.begin();
    const TimePoint first = crash.first_observed_at + options_.report_delay +
                            options_.start_slot * rank;
    if (first < state.first_slot_at)
      continue;
    state.first_slot_at = first;
    state.slot_period = options_.start_slot * slots;
  }
}

CrashReport CrashTracker::ToMessage(const Report& report, TimePoint now) const {
  return {report.observer, report.number, report.upstream,
          now - report.observed_at, report.suspects};
}

CrashSuspicion CrashTracker::Snapshot(TimePoint now) {
  CrashSuspicion message;
  message.sender = self_;
  message.sequence = ++sequence_;
  for (const Report& report : reports_)
    message.crashes.push_back(ToMessage(report, now));
  for (const auto& [fingerprint, at] : cleared_)
    message.cleared_suspects.push_back({fingerprint, now - at});
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.announced)
      message.runs.push_back({attempt.fingerprint, true});
  }
  return message;
}

void CrashTracker::Expire(TimePoint now) {
  const size_t before = reports_.size();
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(),
                                [&](const Report& report) {
                                  return now - report.observed_at >=
                                         options_.retention;
                                }),
                 reports_.end());
  for (auto it = cleared_.begin(); it != cleared_.end();) {
    it = now - it->second >= options_.retention ? cleared_.erase(it)
                                                : std::next(it);
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = now - it->second.updated_at >= options_.max_run_wait ? runs_.erase(it)
                                                              : std::next(it);
  }
  if (reports_.size() != before)
    ClassifySuspects();
}

}  // namespace teaselhill::retry
