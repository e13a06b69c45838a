/// \file
/// Closes windows, keeps their reports and sends them.

#include "teaselhill/duties/usage_duty.h"

#include <utility>

namespace teaselhill::duties {

namespace {

uint64_t SumOf(const UsageReport& report) {
  uint64_t sum = 0;
  for (const auto& [team, requests] : report.requests_by_team)
    sum += requests;
  return sum;
}

}  // namespace

UsageDuty::UsageDuty(UsageDutyOptions options, Logger& logger, Metrics& metrics)
    : options_(std::move(options)),
      logger_(logger),
      metrics_(metrics),
      windows_(options_.window),
      queue_(options_.window, options_.report_delay) {}

UsageDuty::~UsageDuty() = default;

void UsageDuty::OnHosts(const std::vector<std::string>& hosts) {
  windows_.OnHosts(hosts, options_.now());
}

void UsageDuty::OnAcquired(DutyContext& context,
                           const KeptTexts& kept,
                           TimePoint now) {
  std::vector<KeptReport> reports;
  for (const KeptText& text : kept.texts) {
    Result<UsageReport> report = DecodeUsageReport(text.text);
    if (report)
      reports.push_back({std::move(*report), text.lost});
    else
      logger_.Write(LogLine(LogLevel::kWarning, "usage_text_unreadable")
                        .Field("code", static_cast<int>(report.error().code))
                        .Field("fault", report.error().message));
  }
  const WallTime wall = options_.wall_now();
  const auto known_for =
      std::chrono::duration_cast<WallTime::duration>(now - kept.complete_since);
  queue_.Start(reports, wall - known_for, wall);
  windows_.Start(queue_.last_window(), kept.complete_since, now);
  hold_ = std::make_shared<Hold>(Hold{context});
  KeepNext(now);
  SendNext(now);
}

void UsageDuty::OnLost(TimePoint) {
  hold_.reset();
  queue_.Stop();
  ReportMetrics();
}

void UsageDuty::OnHostReport(const HostReport& report, TimePoint now) {
  if (hold_)
    windows_.OnReport(report, now);
}

void UsageDuty::OnTick(TimePoint now) {
  if (!hold_)
    return;
  const WallTime wall = options_.wall_now();
  for (const WindowNumber window : queue_.Expire(wall))
    LogReported(window, "dropped");
  for (const ClosedWindow& window : windows_.Close(now, wall)) {
    LogClosed(window);
    queue_.Add(window.report);
  }
  NoteLeftOut();
  KeepNext(now);
  SendNext(now);
  ReportMetrics();
}

void UsageDuty::KeepNext(TimePoint now) {
  if (!hold_)
    return;
  const std::optional<UsageReport> report = queue_.TakeToKeep(now);
  if (!report)
    return;
  hold_->context.Keep(
      name(), EncodeUsageReport(*report),
      [this, report = *report,
       weak = std::weak_ptr<Hold>(hold_)](const Status& status) {
        if (!weak.expired())
          OnKept(report, status);
      });
}

void UsageDuty::OnKept(const UsageReport& report, const Status& status) {
  const TimePoint now = options_.now();
  queue_.OnKept(report.window, status.ok(), now);
  if (!status)
    return LogReported(report.window, "not_kept");
  SendNext(now);
  KeepNext(now);
}

void UsageDuty::SendNext(TimePoint now) {
  if (!hold_)
    return;
  const std::optional<UsageReport> report = queue_.TakeToSend(now);
  if (!report)
    return;
  const Status sent = hold_->context.ReportUsage(
      *report, [this, report = *report,
                weak = std::weak_ptr<Hold>(hold_)](CallOutcome outcome) {
        if (!weak.expired())
          OnReported(report, outcome);
      });
  if (!sent)
    queue_.OnNotSent();
}

void UsageDuty::OnReported(const UsageReport& report, CallOutcome outcome) {
  const TimePoint now = options_.now();
  queue_.OnSent(report.window, outcome, now);
  LogReported(report.window, CallOutcomeName(outcome));
  SendNext(now);
}

void UsageDuty::LogClosed(const ClosedWindow& window) {
  logger_.Write(
      LogLine(LogLevel::kInfo, "usage_window")
          .Field("window", window.report.window)
          .Field("teams",
                 static_cast<uint64_t>(window.report.requests_by_team.size()))
          .Field("requests", SumOf(window.report))
          .Field("hosts_answered", static_cast<uint64_t>(window.hosts_answered))
          .Field("hosts_known", static_cast<uint64_t>(window.hosts_known))
          .Field("oldest_answer_ms", window.oldest_answer)
          .Field("short", window.is_short)
          .Field("estimated", window.estimated_requests));
}

void UsageDuty::NoteLeftOut() {
  for (const WindowNumber window : windows_.TakeLeftOut()) {
    ++windows_left_out_;
    logger_.Write(LogLine(LogLevel::kWarning, "usage_window_left_out")
                      .Field("window", window)
                      .Field("reason", "may_have_been_reported"));
  }
}

void UsageDuty::LogReported(WindowNumber window, std::string_view outcome) {
  const Duration after_end = options_.wall_now() - queue_.EndOf(window);
  logger_.Write(LogLine(LogLevel::kInfo, "usage_reported")
                    .Field("window", window)
                    .Field("outcome", outcome)
                    .Field("after_end_ms", after_end));
}

void UsageDuty::ReportMetrics() {
  double age = 0;
  if (hold_ && queue_.reported_until())
    age = ToSeconds(options_.wall_now() - *queue_.reported_until());
  metrics_.SetGauge("teaselhill_usage_report_age_seconds",
                    "Time since the end of the last window whose usage report "
                    "this host got accepted; 0 without the lease",
                    age);
  metrics_.SetGauge("teaselhill_usage_windows_pending",
                    "Closed windows whose usage report is not accepted",
                    hold_ ? static_cast<double>(queue_.pending()) : 0);
  metrics_.SetGauge("teaselhill_usage_windows_left_out",
                    "Windows since the start that this host did not report, "
                    "since a report that the store has lost may have been "
                    "accepted",
                    static_cast<double>(windows_left_out_));
}

}  // namespace teaselhill::duties
