/// \file
/// Verification of crashes, and isolation of the requests under which upstreams
/// crashed.

#include "teaselhill/gateway/crash_guard.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

/// Time for which it is remembered when an upstream was last seen alive.
static constexpr std::chrono::minutes kSeenAliveRetention{1};

static std::string_view ProbeOutcomeName(ProbeReport::Outcome outcome) {
  switch (outcome) {
    case ProbeReport::Outcome::kAnswered:
      return "answered";
    case ProbeReport::Outcome::kRefused:
      return "refused";
    case ProbeReport::Outcome::kClosed:
      return "closed";
    case ProbeReport::Outcome::kSilent:
      return "silent";
  }
  return "unknown";
}

CrashGuard::SuspectRun::SuspectRun(CrashGuard& guard,
                                   std::string upstream_id,
                                   const CrashAssessment& assessment)
    : guard_(guard),
      keys_(assessment.isolated_keys),
      upstream_id_(std::move(upstream_id)),
      repeat_(assessment.suspected_crashes > 1),
      trial_(assessment.is_trial) {
  guard_.ChangeRuns(upstream_id_, repeat_, 1);
  for (const CrashKey& key : keys_)
    guard_.running_suspects_.insert(key);
  if (trial_)
    guard_.trial_queue_.OnTrialStarted();
}

CrashGuard::SuspectRun::~SuspectRun() {
  guard_.ChangeRuns(upstream_id_, repeat_, -1);
  for (const CrashKey& key : keys_)
    guard_.running_suspects_.erase(guard_.running_suspects_.find(key));
  if (!trial_)
    return;
  guard_.trial_queue_.OnTrialEnded();
  guard_.ShareRecords();
}

void CrashGuard::SuspectRun::OnLost(const UpstreamProcess& process,
                                    TimePoint now) {
  if (!trial_)
    return;
  guard_.lost_trial_at_ = process;
  guard_.trial_queue_.OnTrialLost(now);
}

void CrashGuard::ChangeRuns(const std::string& upstream_id,
                            bool repeat,
                            int difference) {
  RunCounts& counts = runs_by_upstream_[upstream_id];
  counts.suspects += difference;
  counts.repeat_suspects += repeat ? difference : 0;
  if (counts.suspects == 0)
    runs_by_upstream_.erase(upstream_id);
}

CrashGuard::CrashGuard(net::EventLoop& loop,
                       net::HttpClient& client,
                       const UpstreamProtocol& protocol,
                       const SharedState& shared_state,
                       EventLog& log,
                       Handler& handler,
                       CrashGuardOptions options)
    : loop_(loop),
      shared_state_(shared_state),
      log_(log),
      handler_(handler),
      prober_(client, protocol, options.probe_timeout),
      reviewer_(options.review),
      history_(EntropySeed(), options.history),
      trial_queue_(EntropySeed(), options.trial_queue) {}

CrashGuard::~CrashGuard() = default;

std::vector<std::string> CrashGuard::UpstreamsToAvoid(
    const CrashKeys& keys,
    const CrashAssessment& assessment) const {
  std::vector<std::string> upstreams;
  for (const auto& [id, counts] : runs_by_upstream_) {
    if (assessment.isolate || counts.repeat_suspects > 0)
      upstreams.push_back(id);
  }
  const auto list = shared_state_.upstreams();
  for (const UpstreamProcess& process : history_.CrashedProcesses(keys)) {
    if (list && list->Lists(process))
      upstreams.push_back(process.id);
  }
  return upstreams;
}

std::unique_ptr<CrashGuard::SuspectRun> CrashGuard::StartRun(
    const std::string& upstream_id,
    const CrashAssessment& assessment) {
  return std::make_unique<SuspectRun>(*this, upstream_id, assessment);
}

bool CrashGuard::MayStartRun(const CrashAssessment& assessment, TimePoint now) {
  const bool is_running =
      std::any_of(assessment.isolated_keys.begin(),
                  assessment.isolated_keys.end(), [this](const CrashKey& key) {
                    return running_suspects_.count(key) != 0;
                  });
  if (is_running)
    return false;
  if (!assessment.is_trial)
    return true;
  const bool may_start = trial_queue_.TryStart(now);
  ShareRecords();
  return may_start;
}

void CrashGuard::OnConnectionLost(const CrashKeys& keys,
                                  const UpstreamEntry& upstream,
                                  Duration answering_for,
                                  TimePoint sent_at,
                                  TimePoint now) {
  RecordLoss(keys, upstream, answering_for, sent_at, now,
             LossKind::kConnectionLost);
}

bool CrashGuard::OnAttemptSilent(const CrashKeys& keys,
                                 const UpstreamEntry& upstream,
                                 Duration answering_for,
                                 TimePoint sent_at,
                                 TimePoint now) {
  if (SeenAliveAt({upstream.id, upstream.incarnation}) + kMinSilence > now)
    return false;
  RecordLoss(keys, upstream, answering_for, sent_at, now, LossKind::kGivenUp);
  return true;
}

void CrashGuard::OnTrialAbandoned(const CrashKeys& keys,
                                  const UpstreamEntry& upstream,
                                  Duration answering_for,
                                  TimePoint sent_at,
                                  TimePoint now) {
  history_.OnTrialAbandoned(keys, {upstream.id, upstream.incarnation},
                            answering_for, sent_at, now);
}

void CrashGuard::RecordLoss(const CrashKeys& keys,
                            const UpstreamEntry& upstream,
                            Duration answering_for,
                            TimePoint sent_at,
                            TimePoint now,
                            LossKind kind) {
  const auto upstreams = shared_state_.upstreams();
  if (!upstreams ||
      !reviewer_.OnConnectionLost(upstream, *upstreams, sent_at, now, kind))
    return;
  const UpstreamProcess process{upstream.id, upstream.incarnation};
  history_.OnConnectionLost(keys, process, answering_for, SeenAliveAt(process),
                            sent_at, now, kind);
  ScheduleReview();
}

void CrashGuard::OnDataReceived(const UpstreamEntry& upstream,
                                TimePoint sent_at,
                                TimePoint now) {
  seen_alive_at_[{upstream.id, upstream.incarnation}] = now;
  if (!reviewer_.empty())
    ApplyVerdicts(reviewer_.OnData(upstream.id, sent_at, now), now);
}

TimePoint CrashGuard::SeenAliveAt(const UpstreamProcess& process) const {
  const auto found = seen_alive_at_.find(process);
  return found == seen_alive_at_.end() ? TimePoint{} : found->second;
}

void CrashGuard::ScheduleReview() {
  const std::optional<TimePoint> due = reviewer_.NextDue();
  if (!due || (review_due_at_ && *review_due_at_ <= *due))
    return;
  review_due_at_ = due;
  review_timer_ =
      loop_.timers().After(std::max(Duration::zero(), *due - BootNow()),
                           [this](TimePoint) { Review(); });
}

void CrashGuard::Review() {
  review_due_at_.reset();
  const TimePoint now = BootNow();
  if (const auto upstreams = shared_state_.upstreams())
    ApplyVerdicts(reviewer_.OnDirectory(*upstreams,
                                        shared_state_.upstreams_read_at(), now),
                  now);
  for (const LossReviewer::DueProbe& probe : reviewer_.TakeDueProbes(now)) {
    if (handler_.MayProbe(probe.process))
      SendProbe(probe);
    else
      reviewer_.OnProbeSkipped(probe.process, now);
  }
  ScheduleReview();
}

void CrashGuard::SendProbe(const LossReviewer::DueProbe& probe) {
  const auto routes = shared_state_.routes();
  const Service* service =
      routes ? routes->FindService(probe.upstream.service) : nullptr;
  prober_.Probe(probe.upstream, service ? service->health_path : "",
                [this, process = probe.process](const ProbeReport& report) {
                  OnProbed(process, report);
                });
}

void CrashGuard::OnProbed(const UpstreamProcess& process,
                          const ProbeReport& report) {
  const TimePoint now = BootNow();
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "upstream_probed")
                 .Field("upstream", process.id)
                 .Field("incarnation", process.incarnation)
                 .Field("result", ProbeOutcomeName(report.outcome))
                 .Field("answered_by", report.identity.id.value_or(""))
                 .Field("answered_by_incarnation",
                        report.identity.incarnation.value_or(0))
                 .Field("after_ms", now - report.sent_at),
             now);
  if (report.identity.id == process.id)
    seen_alive_at_[process] = report.sent_at;
  const std::optional<TimePoint> lost_at = reviewer_.FirstLostAt(process);
  const bool answered = report.outcome == ProbeReport::Outcome::kAnswered;
  const bool reaches_others =
      answered || !lost_at || handler_.HasReachedUpstreamSince(*lost_at);
  ApplyVerdicts(
      reviewer_.OnProbe(process, report, reaches_others, now, WallNow()), now);
  ScheduleReview();
}

void CrashGuard::FollowRestarts(TimePoint now) {
  const auto routes = shared_state_.routes();
  const WallTime wall_now = WallNow();
  std::map<UpstreamProcess, TimePoint> of_engines;
  for (const UpstreamRestart& restart :
       restarts_.OnUpstreams(shared_state_.upstreams())) {
    const Service* service =
        routes ? routes->FindService(restart.service) : nullptr;
    if (!service || !service->is_engine)
      continue;
    const Duration age =
        std::max<Duration>(Duration::zero(), wall_now - restart.started_at);
    of_engines[restart.ended] = now - age;
  }
  history_.OnRestarts(of_engines);
}

void CrashGuard::ApplyVerdicts(const std::vector<LossVerdict>& verdicts,
                               TimePoint now) {
  for (const LossVerdict& verdict : verdicts) {
    history_.OnVerdict(verdict);
    if (verdict.crashed)
      handler_.OnUpstreamCrashed(verdict.process);
    log_.Write(
        LineKind::kFailure,
        LogLine(verdict.crashed ? LogLevel::kWarning : LogLevel::kInfo,
                verdict.crashed ? "upstream_crashed" : "upstream_outlived_loss")
            .Field("upstream", verdict.process.id)
            .Field("incarnation", verdict.process.incarnation)
            .Field("evidence", verdict.evidence)
            .Field("requests",
                   static_cast<uint64_t>(history_.CountAt(verdict.process))),
        now);
  }
  const bool concerns_trial =
      lost_trial_at_ && std::any_of(verdicts.begin(), verdicts.end(),
                                    [this](const LossVerdict& verdict) {
                                      return verdict.process == *lost_trial_at_;
                                    });
  if (concerns_trial) {
    lost_trial_at_.reset();
    trial_queue_.OnVerdict();
  }
  if (!verdicts.empty())
    ShareRecords();
}

void CrashGuard::OnAnswerCompleted(const CrashKeys& keys) {
  history_.OnAnswerCompleted(keys);
  ShareRecords();
}

void CrashGuard::OnRecords(const std::vector<CrashRecord>& records,
                           TimePoint now) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "crash_records_received")
                 .Field("records", static_cast<uint64_t>(records.size())),
             now);
  history_.OnRecords(records, now);
  ShareRecords();
}

void CrashGuard::OnTrialClaims(const std::vector<TrialClaim>& claims,
                               TimePoint now) {
  trial_queue_.OnClaims(claims, now);
}

void CrashGuard::Expire(TimePoint now) {
  trial_queue_.Expire(now);
  FollowRestarts(now);
  for (auto it = seen_alive_at_.begin(); it != seen_alive_at_.end();) {
    const bool is_old = now - it->second > kSeenAliveRetention;
    it = is_old ? seen_alive_at_.erase(it) : std::next(it);
  }
  history_.Expire(now);
  LogQuarantined(history_.TakeNewlyRefused(now), now);
  ShareRecords();
}

void CrashGuard::LogQuarantined(const std::vector<CrashKey>& keys,
                                TimePoint now) {
  for (const CrashKey& key : keys) {
    const CrashAssessment assessment = history_.AssessKey(key, now);
    log_.Write(LineKind::kState,
               LogLine(LogLevel::kWarning, "quarantined")
                   .Field(CrashKeyField(key), CrashKeyText(key))
                   .Field("crashes", assessment.crashes)
                   .Field("evidence", CauseEvidenceName(assessment.evidence))
                   .Field("for_ms", assessment.refused_for),
               now);
  }
}

void CrashGuard::ShareRecords() {
  const TimePoint now = BootNow();
  // Crashes go before claims: the next host must know of a crash in a trial
  // when it sees that the claim of the trial is released.
  ShareCrashes(now);
  ShareClaims(now);
}

void CrashGuard::ShareCrashes(TimePoint now) {
  std::vector<CrashRecord> records = history_.TakeRecords(now);
  if (records.empty())
    return;
  const auto withdrawn =
      std::count_if(records.begin(), records.end(),
                    [](const CrashRecord& record) { return record.withdrawn; });
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "crash_records_shared")
                 .Field("records", static_cast<uint64_t>(records.size()))
                 .Field("withdrawn", static_cast<uint64_t>(withdrawn)),
             now);
  handler_.OnRecordsToShare(std::move(records));
}

void CrashGuard::ShareClaims(TimePoint now) {
  std::vector<TrialClaim> claims = trial_queue_.TakeClaims();
  for (const TrialClaim& claim : claims)
    log_.Write(LineKind::kFailure,
               LogLine(LogLevel::kInfo, claim.released ? "trial_claim_released"
                                                       : "trial_claimed")
                   .Field("claim", claim.host),
               now);
  if (!claims.empty())
    handler_.OnClaimsToShare(std::move(claims));
}

}  // namespace teaselhill::gateway
