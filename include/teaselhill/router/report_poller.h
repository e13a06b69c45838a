/// \file
/// Polls load reports and cache events of engines.

#ifndef TEASELHILL_ROUTER_REPORT_POLLER_H_
#define TEASELHILL_ROUTER_REPORT_POLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/net/http_client.h"
#include "teaselhill/routing/upstream_table.h"

namespace teaselhill::router {

/// Parses a response to `GET /v1/load`. Errors: kProtocolError, with the
/// invalid field.
Result<routing::LoadReport> ParseLoadReport(const std::string& body);

/// Cache events of one response.
struct CacheEventPage {
  uint64_t next = 0;  ///< sequence number for the next poll
  bool gap = false;   ///< events were lost
  std::vector<routing::CacheEvent> events;
};

/// Parses a response to `GET /v1/cache/events?from=N`, where `from` is N. Sets
/// `gap` if a sequence number from N on is missing, except if N is 0.
/// Errors: kProtocolError, with the invalid field.
Result<CacheEventPage> ParseCacheEvents(const std::string& body, uint64_t from);

struct PolledEngine {
  std::string name;
  std::string url;
};

/// Polls engines and passes their reports and cache events to the upstream
/// table. All references must outlive the poller.
class ReportPoller {
 public:
  using ReportFunction = std::function<void(const std::string& engine,
                                            const routing::LoadReport& report)>;

  ReportPoller(net::HttpClient& client,
               TimerService& timers,
               routing::UpstreamTable& table,
               Duration period,
               std::string source_address,
               ReportFunction on_report);
  ~ReportPoller();

  void SetPeriod(Duration period);
  /// Sets whether cache events are polled. Their volume grows with the traffic
  /// of an engine, so they are not polled while the hosts of a failure domain
  /// divide the polling of its engines among themselves.
  void SetReadsEvents(bool reads_events) { reads_events_ = reads_events; }
  /// Replaces the set of polled engines.
  void SetEngines(const std::vector<PolledEngine>& engines);

 private:
  struct Engine {
    std::string url;
    bool load_in_flight = false;
    bool events_in_flight = false;
    uint64_t next_event = 0;
    uint64_t generation = 0;
  };

  void PollEngines(TimePoint now);
  /// Fetches a path from the engine; `handle_body` receives the body of a
  /// response with status 200.
  void FetchFromEngine(
      const std::string& name,
      Engine& engine,
      const std::string& path,
      bool Engine::*in_flight,
      size_t max_bytes,
      std::function<void(Engine&, const std::string& body)> handle_body);
  void PollLoad(const std::string& name, Engine& engine);
  void PollEvents(const std::string& name, Engine& engine);
  net::ClientRequest MakeRequest(const std::string& url) const;
  Engine* FindEngine(const std::string& name, uint64_t generation);

  net::HttpClient& client_;
  TimerService& timers_;
  routing::UpstreamTable& table_;
  Duration period_;
  std::string source_address_;
  ReportFunction on_report_;
  bool reads_events_ = true;
  std::map<std::string, Engine> engines_;
  uint64_t last_generation_ = 0;
  uint64_t poll_rounds_ = 0;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_REPORT_POLLER_H_
