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
  /// A placement waits so long for reports at most. A round trip takes a few
  /// milliseconds.
  Duration wait = std::chrono::milliseconds(20);
  /// Reports are asked for once answers begin so late on average: an idle
  /// engine needs none.
  Duration least_delay = std::chrono::milliseconds(40);
  /// Time that one queued request takes, until prompts tell more.
  Duration queued_cost = std::chrono::milliseconds(60);
};

/// On the traffic thread. Reports are kept in the health of the upstreams;
/// requests that arrive together share a fetch.
class ReportFetcher {
 public:
  ReportFetcher(net::EventLoop& loop,
                net::HttpClient& client,
                const UpstreamProtocol& protocol,
                UpstreamHealth& health,
                ReportOptions options = {});

  /// Calls `done` once the reports of `upstreams` are there, have failed or
  /// were waited for long enough; at once when all are known.
  void Refresh(const std::vector<UpstreamEntry>& upstreams,
               std::function<void()> done);

  const ReportOptions& options() const { return options_; }

 private:
  struct Waiter;
  void Fetch(const UpstreamEntry& upstream);
  void OnFetched(const std::string& id,
                 const Result<net::ClientResponse>& fetched);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const UpstreamProtocol& protocol_;
  UpstreamHealth& health_;
  ReportOptions options_;
  /// Waiters by upstream whose report is on its way.
  std::unordered_map<std::string, std::vector<std::shared_ptr<Waiter>>>
      pending_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_REPORT_FETCHER_H_
