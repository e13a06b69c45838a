/// \file
/// Fetches load reports on demand.

#include "teaselhill/gateway/report_fetcher.h"

#include <utility>

namespace teaselhill::gateway {

struct ReportFetcher::Waiter {
  size_t missing = 0;
  std::function<void()> done;
  TimerSubscription timer;

  void Finish() {
    timer.Cancel();
    const std::function<void()> function = std::exchange(done, nullptr);
    if (function)
      function();
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

void ReportFetcher::Refresh(const std::vector<UpstreamEntry>& upstreams,
                            std::function<void()> done) {
  const TimePoint now = BootNow();
  std::vector<const UpstreamEntry*> wanted;
  for (const UpstreamEntry& upstream : upstreams) {
    if (!health_.HasRecentReport(upstream.id, now))
      wanted.push_back(&upstream);
  }
  if (wanted.empty())
    return done();
  auto waiter = std::make_shared<Waiter>();
  waiter->missing = wanted.size();
  waiter->done = std::move(done);
  waiter->timer = loop_.timers().After(
      options_.wait, [weak = std::weak_ptr<Waiter>(waiter)](TimePoint) {
        if (const auto late = weak.lock())
          late->Finish();
      });
  for (const UpstreamEntry* upstream : wanted) {
    std::vector<std::shared_ptr<Waiter>>& waiters = pending_[upstream->id];
    waiters.push_back(waiter);
    if (waiters.size() == 1)
      Fetch(*upstream);
  }
}

void ReportFetcher::Fetch(const UpstreamEntry& upstream) {
  net::ClientRequest request = protocol_.BuildReportRequest(upstream);
  request.connect_timeout = options_.wait;
  request.total_timeout = 2 * options_.wait;
  client_.Fetch(std::move(request),
                [this, id = upstream.id](Result<net::ClientResponse> fetched) {
                  OnFetched(id, fetched);
                });
}

void ReportFetcher::OnFetched(const std::string& id,
                              const Result<net::ClientResponse>& fetched) {
  if (fetched) {
    const Result<LoadReport> report = protocol_.ReadReport(*fetched);
    if (report)
      health_.OnLoadReport(id, report->queued_requests * options_.queued_cost,
                           report->running_requests, BootNow());
  }
  // A failed report has no consequence: the request itself will show whether
  // the upstream works.
  const auto waiters = std::move(pending_[id]);
  pending_.erase(id);
  for (const std::shared_ptr<Waiter>& waiter : waiters) {
    if (--waiter->missing == 0)
      waiter->Finish();
  }
}

}  // namespace teaselhill::gateway
