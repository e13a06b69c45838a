/// \file
/// Verification of crashes, and isolation of the requests under which upstreams
/// crashed.

#include "teaselhill/gateway/crash_guard.h"

#include <algorithm>
#include <utility>

#include "teaselhill/net/connect_probe.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

static std::string_view ProbeResultName(net::ProbeResult result) {
  switch (result) {
    case net::ProbeResult::kListening:
      return "listening";
    case net::ProbeResult::kNotListening:
      return "not_listening";
    case net::ProbeResult::kUnknown:
      return "no_answer";
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
                       EventLog& log,
                       Handler& handler,
                       CrashGuardOptions options)
    : loop_(loop),
      log_(log),
      handler_(handler),
      options_(options),
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
  const UpstreamProcess process{upstream.id, upstream.incarnation};
  history_.OnConnectionLost(fingerprint, process, answering_for, sent_at, now);
  ScheduleProbe(process, upstream.address);
}

void CrashGuard::ScheduleProbe(const UpstreamProcess& upstream,
                               const std::string& address) {
  const auto [probe, added] = scheduled_probes_.try_emplace(upstream);
  if (!added)
    return;
  probe->second = loop_.timers().After(
      options_.probe_delay, [this, upstream, address](TimePoint) {
        // The timer owns this function, so it is kept until the end.
        const TimerSubscription timer =
            std::move(scheduled_probes_.at(upstream));
        scheduled_probes_.erase(upstream);
        SendProbe(upstream, address);
      });
}

void CrashGuard::SendProbe(const UpstreamProcess& upstream,
                           const std::string& address) {
  // A connection that is lost while the probe is in progress has a probe of its
  // own: the upstream may crash after it has accepted this one.
  const TimePoint sent_at = BootNow();
  net::ProbeConnect(loop_, address, options_.probe_timeout,
                    [this, upstream, sent_at](net::ProbeResult result) {
                      LogProbe(upstream, ProbeResultName(result));
                      if (result == net::ProbeResult::kNotListening)
                        OnUpstreamDown(upstream);
                      else  // or there is no answer, as in a partition
                        history_.OnUpstreamListening(upstream, sent_at);
                    });
}

void CrashGuard::LogProbe(const UpstreamProcess& upstream,
                          std::string_view result) {
  log_.Write(
      LineKind::kFailure,
      LogLine(LogLevel::kInfo, "upstream_probed")
          .Field("upstream", upstream.id)
          .Field("incarnation", upstream.incarnation)
          .Field("result", result)
          .Field("requests", static_cast<uint64_t>(history_.CountAt(upstream))),
      BootNow());
}

void CrashGuard::OnUpstreamDown(const UpstreamProcess& upstream) {
  const TimePoint now = BootNow();
  const std::vector<Hash128> quarantined =
      history_.OnUpstreamDown(upstream, now);
  log_.Write(
      LineKind::kFailure,
      LogLine(LogLevel::kWarning, "upstream_crashed")
          .Field("upstream", upstream.id)
          .Field("incarnation", upstream.incarnation)
          .Field("requests", static_cast<uint64_t>(history_.CountAt(upstream))),
      now);
  LogQuarantined(quarantined, "own crash", now);
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
