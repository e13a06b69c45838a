/// \file
/// Group testing of the requests that were in flight on crashed upstreams.

#include "teaselhill/retry/crash_tracker.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace teaselhill::retry {

namespace {

constexpr int kConvictingCrashes = 2;
constexpr int kMaxDoublings = 2;
/// A suspect may start in the first 1 / kStartShare of its slot.
constexpr int kStartShare = 5;

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

CareAdvice CrashTracker::Advise(const Hash128& fingerprint,
                                TimePoint now) const {
  const auto found = verdicts_.find(fingerprint);
  if (found == verdicts_.end() || found->second.unexplained == 0)
    return {};
  const Verdict& verdict = found->second;
  const Duration since = now - verdict.last;
  CareAdvice advice;
  advice.crashes = verdict.crashes;
  if (verdict.crashes >= kConvictingCrashes) {
    const int doublings =
        std::min(verdict.crashes - kConvictingCrashes, kMaxDoublings);
    const Duration refusal = verdict.convicted
                                 ? options_.quarantine * (1 << doublings)
                                 : options_.ambiguous_quarantine;
    if (since < refusal) {
      advice.care = Care::kRefuse;
      advice.retry_after = refusal - since;
      return advice;
    }
  } else if (since >= options_.suspicion) {
    return {};
  }
  advice.care = Care::kIsolate;
  advice.retry_after = UntilSlot(verdict, now);
  if (advice.retry_after > Duration{}) {
    advice.care = Care::kWait;
  } else if (IsRunning(fingerprint, now)) {
    advice.care = Care::kWait;
    advice.retry_after = options_.wait_retry_after;
  }
  return advice;
}

CrashCounts CrashTracker::Count(TimePoint now) const {
  CrashCounts counts;
  for (const auto& [fingerprint, verdict] : verdicts_) {
    const Care care = Advise(fingerprint, now).care;
    counts.quarantined += care == Care::kRefuse ? 1 : 0;
    counts.suspects += care == Care::kIsolate || care == Care::kWait ? 1 : 0;
  }
  return counts;
}

Duration CrashTracker::UntilSlot(const Verdict& verdict, TimePoint now) const {
  if (now < verdict.run_after)
    return verdict.run_after - now;
  if (verdict.slot_period <= options_.start_slot)
    return {};
  const Duration into = (now - verdict.run_after) % verdict.slot_period;
  return into < options_.start_slot / kStartShare ? Duration{}
                                                  : verdict.slot_period - into;
}

bool CrashTracker::IsRunning(const Hash128& fingerprint, TimePoint now) const {
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.fingerprint == fingerprint)
      return true;
  }
  for (auto it = runs_.lower_bound({fingerprint, std::string()});
       it != runs_.end() && it->first.first == fingerprint; ++it) {
    if (it->second.running && now - it->second.at < options_.run_hold)
      return true;
  }
  return false;
}

CrashActions CrashTracker::OnStarted(AttemptId id,
                                     const Hash128& fingerprint,
                                     const std::string& upstream,
                                     TimePoint now) {
  CrashActions actions;
  Attempt attempt{fingerprint, upstream, now, false};
  if (Advise(fingerprint, now).care != Care::kNone) {
    attempt.announced = true;
    actions.message.runs.push_back({fingerprint, true});
  }
  if (attempts_.emplace(id, std::move(attempt)).second)
    by_upstream_[upstream].insert(id);
  return Finish(std::move(actions), now);
}

CrashTracker::Attempt CrashTracker::TakeAttempt(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return {};
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const auto there = by_upstream_.find(attempt.upstream);
  there->second.erase(id);
  if (there->second.empty())
    by_upstream_.erase(there);
  return attempt;
}

void CrashTracker::EndRun(const Attempt& attempt, CrashActions& actions) {
  if (attempt.announced)
    actions.message.runs.push_back({attempt.fingerprint, false});
}

CrashActions CrashTracker::OnCompleted(AttemptId id, TimePoint now) {
  CrashActions actions;
  if (attempts_.count(id) == 0)
    return actions;
  const Attempt attempt = TakeAttempt(id);
  EndRun(attempt, actions);
  if (IsNamed(attempt.fingerprint) && Clear(attempt.fingerprint, now)) {
    actions.message.exonerations.push_back({attempt.fingerprint, Duration{}});
    Judge();
  }
  return Finish(std::move(actions), now);
}

CrashActions CrashTracker::OnEnded(AttemptId id, TimePoint now) {
  CrashActions actions;
  if (attempts_.count(id) == 0)
    return actions;
  EndRun(TakeAttempt(id), actions);
  return Finish(std::move(actions), now);
}

CrashActions CrashTracker::OnBroken(AttemptId id, TimePoint now) {
  CrashActions actions;
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return actions;
  const std::string upstream = found->second.upstream;
  const TimePoint started = found->second.started;
  // The first broken stream of a crash has reported all requests in flight.
  const bool reported =
      std::any_of(reports_.begin(), reports_.end(), [&](const Report& report) {
        return report.observer == self_ && report.upstream == upstream &&
               report.at >= started && now - report.at < options_.merge_window;
      });
  if (!reported) {
    Report report{self_, ++next_number_, upstream, now, {}};
    for (const AttemptId other : by_upstream_[upstream])
      report.suspects.push_back(attempts_[other].fingerprint);
    AddReport(report);
    Judge();
    for (const Report& added : reports_) {
      if (added.observer == self_ && added.number == next_number_)
        actions.message.crashes.push_back(ToMessage(added, now));
    }
  }
  EndRun(TakeAttempt(id), actions);
  return Finish(std::move(actions), now);
}

CrashActions CrashTracker::OnMessage(const CrashSuspicion& message,
                                     TimePoint now) {
  if (message.sender == self_)
    return {};
  bool changed = false;
  for (const CrashReport& crash : message.crashes) {
    const Duration age = std::max(crash.age, Duration{});
    if (age >= options_.memory || KnowsReport(crash.observer, crash.number))
      continue;
    AddReport({crash.observer, crash.number, crash.upstream, now - age,
               crash.suspects});
    changed = true;
  }
  for (const Exoneration& exoneration : message.exonerations) {
    // It may arrive before the report of the crash, so it is stored in any
    // case.
    const Duration age = std::max(exoneration.age, Duration{});
    if (age < options_.memory)
      changed |= Clear(exoneration.fingerprint, now - age);
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
    Judge();
  CrashActions actions = Finish({}, now);
  actions.message = {};
  return actions;
}

CrashActions CrashTracker::Finish(CrashActions actions, TimePoint now) {
  if (!actions.message.empty()) {
    actions.message.sender = self_;
    actions.message.sequence = ++sequence_;
  }
  if (verdicts_.empty())
    return actions;
  for (const auto& [id, attempt] : attempts_) {
    if (Advise(attempt.fingerprint, now).care == Care::kRefuse)
      actions.cancel.push_back(id);
  }
  std::sort(actions.cancel.begin(), actions.cancel.end());
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
    // Suspects of an earlier crash are the likely cause and are kept.
    std::stable_partition(
        suspects.begin(), suspects.end(),
        [&](const Hash128& suspect) { return verdicts_.count(suspect) != 0; });
    suspects.resize(options_.max_suspects_per_report);
    std::sort(suspects.begin(), suspects.end());
  }
  if (reports_.size() >= options_.max_reports) {
    reports_.erase(std::min_element(
        reports_.begin(), reports_.end(),
        [](const Report& a, const Report& b) { return a.at < b.at; }));
  }
  reports_.push_back(std::move(report));
}

bool CrashTracker::Clear(const Hash128& fingerprint, TimePoint at) {
  if (cleared_.size() >= options_.max_exonerations &&
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

bool CrashTracker::IsNamed(const Hash128& fingerprint) const {
  return std::any_of(reports_.begin(), reports_.end(),
                     [&](const Report& report) {
                       return Contains(report.suspects, fingerprint);
                     });
}

std::vector<CrashTracker::Crash> CrashTracker::GroupReports() const {
  std::vector<const Report*> ordered;
  for (const Report& report : reports_)
    ordered.push_back(&report);
  std::sort(ordered.begin(), ordered.end(),
            [](const Report* a, const Report* b) {
              return std::tie(a->upstream, a->at, a->observer, a->number) <
                     std::tie(b->upstream, b->at, b->observer, b->number);
            });
  std::vector<Crash> crashes;
  std::set<HostIncarnation> observers;
  for (const Report* report : ordered) {
    // A host reports a crash once, so its next report belongs to the next
    // crash.
    const bool same = !crashes.empty() &&
                      crashes.back().upstream == report->upstream &&
                      report->at - crashes.back().at < options_.merge_window &&
                      observers.count(report->observer) == 0;
    if (!same) {
      crashes.push_back({report->at, report->upstream, {}, {}});
      observers.clear();
    }
    observers.insert(report->observer);
    for (const Hash128& suspect : report->suspects) {
      crashes.back().named.push_back(suspect);
      if (!IsCleared(suspect, report->at))
        crashes.back().suspects.push_back(suspect);
    }
  }
  for (Crash& crash : crashes) {
    for (std::vector<Hash128>* list : {&crash.suspects, &crash.named}) {
      std::sort(list->begin(), list->end());
      list->erase(std::unique(list->begin(), list->end()), list->end());
    }
  }
  return crashes;
}

void CrashTracker::MarkBursts(std::vector<Crash>& crashes,
                              const CrashTrackerOptions& options) {
  const auto near = [&](const Crash& a, const Crash& b) {
    return a.at - b.at < options.merge_window &&
           b.at - a.at < options.merge_window;
  };
  for (Crash& crash : crashes) {
    std::set<std::string> upstreams;
    for (const Crash& other : crashes) {
      if (near(crash, other))
        upstreams.insert(other.upstream);
    }
    crash.burst = upstreams.size() >= options.burst_upstreams;
  }
  std::vector<std::vector<Hash128>> kept(crashes.size());
  for (size_t i = 0; i < crashes.size(); ++i) {
    for (const Hash128& suspect : crashes[i].suspects) {
      const auto shared = [&](const Crash& other) {
        return &other != &crashes[i] && near(crashes[i], other) &&
               Contains(other.suspects, suspect);
      };
      if (!crashes[i].burst ||
          std::any_of(crashes.begin(), crashes.end(), shared))
        kept[i].push_back(suspect);
    }
  }
  for (size_t i = 0; i < crashes.size(); ++i)
    crashes[i].suspects = std::move(kept[i]);
}

void CrashTracker::Judge() {
  std::vector<Crash> crashes = GroupReports();
  MarkBursts(crashes, options_);
  verdicts_.clear();
  for (const Crash& crash : crashes) {
    for (const Hash128& suspect : crash.suspects) {
      Verdict& verdict = verdicts_[suspect];
      ++verdict.crashes;
      verdict.last = std::max(verdict.last, crash.at);
    }
  }
  // A fingerprint is identified as the cause when it is the only suspect of
  // some crash that is a suspect of another crash too. It then explains all
  // crashes of which it is a suspect.
  for (const Crash& crash : crashes) {
    Verdict* repeated = nullptr;
    int count = 0;
    for (const Hash128& suspect : crash.suspects) {
      Verdict& verdict = verdicts_[suspect];
      if (verdict.crashes >= kConvictingCrashes) {
        repeated = &verdict;
        ++count;
      }
    }
    if (count == 1)
      repeated->convicted = true;
  }
  for (Crash& crash : crashes) {
    crash.explained = std::any_of(
        crash.suspects.begin(), crash.suspects.end(),
        [&](const Hash128& suspect) { return verdicts_[suspect].convicted; });
    if (!crash.explained) {
      AssignSlots(crash);
      continue;
    }
    for (const Hash128& suspect : crash.suspects) {
      Verdict& verdict = verdicts_[suspect];
      verdict.unexplained += verdict.convicted ? 1 : 0;
    }
  }
}

void CrashTracker::AssignSlots(const Crash& crash) {
  const int slots =
      std::min(static_cast<int>(crash.named.size()), options_.max_slots);
  for (const Hash128& suspect : crash.suspects) {
    Verdict& verdict = verdicts_[suspect];
    ++verdict.unexplained;
    const auto rank =
        std::lower_bound(crash.named.begin(), crash.named.end(), suspect) -
        crash.named.begin();
    const TimePoint first =
        crash.at + options_.settle + options_.start_slot * rank;
    if (first < verdict.run_after)
      continue;
    verdict.run_after = first;
    verdict.slot_period = options_.start_slot * slots;
  }
}

CrashReport CrashTracker::ToMessage(const Report& report, TimePoint now) const {
  return {report.observer, report.number, report.upstream, now - report.at,
          report.suspects};
}

CrashSuspicion CrashTracker::Snapshot(TimePoint now) {
  CrashSuspicion message;
  message.sender = self_;
  message.sequence = ++sequence_;
  for (const Report& report : reports_)
    message.crashes.push_back(ToMessage(report, now));
  for (const auto& [fingerprint, at] : cleared_)
    message.exonerations.push_back({fingerprint, now - at});
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
                                  return now - report.at >= options_.memory;
                                }),
                 reports_.end());
  for (auto it = cleared_.begin(); it != cleared_.end();) {
    it = now - it->second >= options_.memory ? cleared_.erase(it)
                                             : std::next(it);
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = now - it->second.at >= options_.run_hold ? runs_.erase(it)
                                                  : std::next(it);
  }
  if (reports_.size() != before)
    Judge();
}

}  // namespace teaselhill::retry
