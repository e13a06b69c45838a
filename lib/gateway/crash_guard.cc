/// \file
/// Verification of crashes, and isolation of the requests under which upstreams
/// crashed.

#include "teaselhill/gateway/crash_guard.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

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
                                   bool repeat)
    : guard_(guard), upstream_id_(std::move(upstream_id)), repeat_(repeat) {
  guard_.ChangeRuns(upstream_id_, repeat_, 1);
}

CrashGuard::SuspectRun::~SuspectRun() {
  guard_.ChangeRuns(upstream_id_, repeat_, -1);
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
      history_(EntropySeed(), options.history) {}

CrashGuard::~CrashGuard() = default;

std::vector<std::string> CrashGuard::UpstreamsToAvoid(
    const CrashAssessment& assessment) const {
  std::vector<std::string> upstreams;
  for (const auto& [id, counts] : runs_by_upstream_) {
    if (assessment.isolate || counts.repeat_suspects > 0)
      upstreams.push_back(id);
  }
  return upstreams;
}

std::unique_ptr<CrashGuard::SuspectRun> CrashGuard::StartRun(
    const std::string& upstream_id,
    const CrashAssessment& assessment) {
  if (!assessment.isolate)
    return nullptr;
  return std::make_unique<SuspectRun>(*this, upstream_id,
                                      assessment.suspected_crashes > 1);
}

void CrashGuard::OnConnectionLost(const Hash128& fingerprint,
                                  const UpstreamEntry& upstream,
                                  Duration answering_for,
                                  TimePoint sent_at,
                                  TimePoint now) {
  if (!reviewer_.OnConnectionLost(upstream, sent_at, now))
    return;
  history_.OnConnectionLost(fingerprint, {upstream.id, upstream.incarnation},
                            answering_for, sent_at, now);
  ScheduleReview();
}

void CrashGuard::OnDataReceived(const std::string& upstream_id,
                                TimePoint sent_at,
                                TimePoint now) {
  if (!reviewer_.empty())
    ApplyVerdicts(reviewer_.OnData(upstream_id, sent_at, now), now);
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
  for (const LossReviewer::DueProbe& probe : reviewer_.TakeDueProbes(now))
    SendProbe(probe);
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
  ApplyVerdicts(reviewer_.OnProbe(process, report, now, WallNow()), now);
  ScheduleReview();
}

void CrashGuard::ApplyVerdicts(const std::vector<LossVerdict>& verdicts,
                               TimePoint now) {
  for (const LossVerdict& verdict : verdicts) {
    const std::vector<Hash128> quarantined = history_.OnVerdict(verdict, now);
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
    LogQuarantined(quarantined, "own crash", now);
  }
  if (!verdicts.empty())
    ShareRecords();
}

void CrashGuard::OnAnswerCompleted(const Hash128& fingerprint) {
  const TimePoint now = BootNow();
  LogQuarantined(history_.OnAnswerCompleted(fingerprint, now),
                 "answer of another request", now);
  ShareRecords();
}

void CrashGuard::OnRequestFailed(const Hash128& fingerprint) {
  history_.OnRequestFailed(fingerprint);
  ShareRecords();
}

void CrashGuard::OnRecords(const std::vector<CrashRecord>& records,
                           TimePoint now) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "crash_records_received")
                 .Field("records", static_cast<uint64_t>(records.size())),
             now);
  LogQuarantined(history_.OnRecords(records, now), "other host", now);
  ShareRecords();
}

void CrashGuard::Expire(TimePoint now) {
  history_.Expire(now);
  ShareRecords();
}

void CrashGuard::LogQuarantined(const std::vector<Hash128>& fingerprints,
                                std::string_view learned_from,
                                TimePoint now) {
  for (const Hash128& fingerprint : fingerprints) {
    const CrashAssessment assessment = history_.Assess(fingerprint, now);
    log_.Write(LineKind::kState,
               LogLine(LogLevel::kWarning, "quarantined")
                   .Field("fingerprint", ToHex(fingerprint))
                   .Field("crashes", assessment.crashes)
                   .Field("for_ms", assessment.refused_for)
                   .Field("learned_from", learned_from),
               now);
  }
}

void CrashGuard::ShareRecords() {
  const TimePoint now = BootNow();
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

}  // namespace teaselhill::gateway
