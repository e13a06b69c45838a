/// \file
/// Fetches load reports on demand.

#include "teaselhill/gateway/report_fetcher.h"

#include <utility>

namespace teaselhill::gateway {

struct ReportFetcher::Waiter {
  size_t pending_reports = 0;
  std::function<void()> done;
  TimerSubscription timer;

  void Finish() {
    timer.Cancel();
    const std::function<void()> callback = std::exchange(done, nullptr);
    if (callback)
      callback();
  }
};

ReportFetcher::ReportFetcher(net::EventLoop& loop,
                             net::HttpClient& client,
                             const UpstreamProtocol& protocol,
                             UpstreamHealth& health,
                             ReportOptions options)
    : loop_(loop),
      client_(client),
      protocol_(protocol),
      health_(health),
      options_(options) {}

void ReportFetcher::RefreshReports(const std::vector<UpstreamEntry>& upstreams,
                                   std::function<void()> done) {
  const TimePoint now = BootNow();
  std::vector<const UpstreamEntry*> without_report;
  for (const UpstreamEntry& upstream : upstreams) {
    if (!health_.HasRecentReport(upstream.id, now))
      without_report.push_back(&upstream);
  }
  if (without_report.empty())
    return done();
  auto waiter = std::make_shared<Waiter>();
  waiter->pending_reports = without_report.size();
  waiter->done = std::move(done);
  waiter->timer = loop_.timers().After(
      options_.max_wait, [weak = std::weak_ptr<Waiter>(waiter)](TimePoint) {
        if (const auto timed_out = weak.lock())
          timed_out->Finish();
      });
  for (const UpstreamEntry* upstream : without_report) {
    std::vector<std::shared_ptr<Waiter>>& waiters =
        waiters_by_upstream_[upstream->id];
    waiters.push_back(waiter);
    if (waiters.size() == 1)
      FetchReport(*upstream);
  }
}

void ReportFetcher::FetchReport(const UpstreamEntry& upstream) {
  net::ClientRequest request = protocol_.BuildReportRequest(upstream);
  request.connect_timeout = options_.max_wait;
  request.total_timeout = 2 * options_.max_wait;
  client_.Fetch(
      std::move(request),
      [this, id = upstream.id](Result<net::ClientResponse> response) {
        OnReportFetched(id, response);
      },
      options_.max_report_bytes);
}

void ReportFetcher::OnReportFetched(
    const std::string& id,
    const Result<net::ClientResponse>& response) {
  if (response) {
    const Result<LoadReport> report = protocol_.ReadReport(*response);
    if (report)
      health_.OnLoadReport(
          id, report->queued_requests * options_.queued_request_delay,
          report->running_requests, BootNow());
  }
  // A failed report is ignored: the caller's request will show whether the
  // upstream works.
  const auto waiters = std::move(waiters_by_upstream_[id]);
  waiters_by_upstream_.erase(id);
  for (const std::shared_ptr<Waiter>& waiter : waiters) {
    if (--waiter->pending_reports == 0)
      waiter->Finish();
  }
}

}  // namespace teaselhill::gateway
