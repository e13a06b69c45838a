/// \file
/// Stand-in for a model engine.

#ifndef TEASELHILL_STANDIN_ENGINE_H_
#define TEASELHILL_STANDIN_ENGINE_H_

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/net/http_client.h"
#include "teaselhill/standin/assignment.h"
#include "teaselhill/standin/engine_batch.h"
#include "teaselhill/standin/messages.h"
#include "teaselhill/standin/prefix_cache.h"
#include "teaselhill/standin/standin.h"

namespace teaselhill::standin {

struct EngineOptions {
  StandInOptions common;
  BatchConfig batch;
  PrefixCacheConfig cache;
  Duration step = std::chrono::milliseconds(2);
  Duration report_lag = std::chrono::milliseconds(200);
  uint64_t max_waiting = 10000;
  bool checks_fencing = true;
  std::vector<std::string> models{"sheet-small"};
  /// URL of the weight store; empty: no fetch before a load.
  std::string weights_url;
  Duration load_time = std::chrono::seconds(2);
};

class Engine : public StandIn {
 public:
  Engine(net::EventLoop& loop, const EngineOptions& options);

 protected:
  void Serve(net::HttpRequest request, Response response) override;
  bool delays_requests() const override { return false; }

 private:
  struct LoadSample {
    TimePoint sampled_at;
    LoadReport report;
  };

  void Step(TimePoint now);
  void SampleLoad(TimePoint now);
  void ServeChat(const net::HttpRequest& request, const Response& response);
  void ServeCancel(const net::HttpRequest& request, const Response& response);
  void ServeLoadReport(const Response& response);
  void ServeCacheEvents(const net::HttpRequest& request,
                        const Response& response);
  void ServeOrder(const net::HttpRequest& request, const Response& response);
  void ServeKv(const net::HttpRequest& request, const Response& response);
  void FetchWeights(const std::string& model,
                    uint64_t load_number,
                    int retries_left);
  void LoadWeights(const std::string& model, uint64_t load_number);
  void StoreKvExport(const RunSpec& run);

  EngineOptions options_;
  PrefixCache cache_;
  EngineBatch batch_;
  Assignment assignment_;
  net::HttpClient client_;
  std::deque<LoadSample> load_samples_;
  uint64_t last_sampled_tokens_ = 0;
  /// KV caches of the latest runs, oldest first.
  std::list<KvExport> kv_exports_;
  TimerSubscription step_timer_;
  TimerSubscription sample_timer_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_ENGINE_H_
