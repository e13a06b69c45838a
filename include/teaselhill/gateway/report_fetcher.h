/// \file
/// Fetches engines' load reports just before a placement.

#ifndef TEASELHILL_GATEWAY_REPORT_FETCHER_H_
#define TEASELHILL_GATEWAY_REPORT_FETCHER_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/upstream_health.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::gateway {

struct ReportOptions {
  /// Maximum time for which a placement waits for reports. A round trip takes a
  /// few milliseconds.
  Duration max_wait = std::chrono::milliseconds(20);
  /// Minimum mean delay of a service's answers at which reports are fetched for
  /// an admitted request: an idle engine needs no report. For a request that
  /// the overload gate rejects, reports are always fetched.
  Duration min_mean_delay = std::chrono::milliseconds(40);
  /// Delay that each queued request of an engine is assumed to add for a new
  /// request.
  Duration queued_request_delay = std::chrono::milliseconds(60);
  /// A longer report is not read.
  size_t max_report_bytes = 64 << 10;
};

/// Used on the traffic thread. Stores reports in UpstreamHealth; requests that
/// arrive while a report is being fetched share the fetch.
class ReportFetcher {
 public:
  ReportFetcher(net::EventLoop& loop,
                net::HttpClient& client,
                const UpstreamProtocol& protocol,
                UpstreamHealth& health,
                ReportOptions options = {});

  /// Calls `done` once the reports of `upstreams` have arrived or failed, or
  /// after the maximum wait; at once if all reports are recent.
  void RefreshReports(const std::vector<UpstreamEntry>& upstreams,
                      std::function<void()> done);

  const ReportOptions& options() const { return options_; }

 private:
  struct Waiter;
  void FetchReport(const UpstreamEntry& upstream);
  void OnReportFetched(const std::string& id,
                       const Result<net::ClientResponse>& response);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const UpstreamProtocol& protocol_;
  UpstreamHealth& health_;
  ReportOptions options_;
  /// Waiting calls of RefreshReports(), by the id of the upstream whose report
  /// is being fetched.
  std::unordered_map<std::string, std::vector<std::shared_ptr<Waiter>>>
      waiters_by_upstream_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_REPORT_FETCHER_H_
