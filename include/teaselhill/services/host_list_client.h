/// \file
/// Polls the platform's list of hosts and upstreams.

#ifndef TEASELHILL_SERVICES_HOST_LIST_CLIENT_H_
#define TEASELHILL_SERVICES_HOST_LIST_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/services/backoff.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::services {

struct ListedHost {
  std::string name;
  std::string address;
  std::string domain;
  std::string region;
  bool leaving = false;
};

struct ListedUpstream {
  std::string name;
  std::string url;
  std::string domain;
  config::UpstreamKind kind = config::UpstreamKind::kEngine;
  bool leaving = false;
};

struct HostList {
  std::vector<ListedHost> hosts;
  std::vector<ListedUpstream> upstreams;
};

/// Entries with unknown states count as live; kProtocolError on other faults.
Result<HostList> ParseHostList(std::string_view text);

class HostListClient {
 public:
  /// Called with each list that differs from the one before, and with
  /// kHostListUnavailable or kProtocolError for each failed poll.
  using Callback = std::function<void(Result<HostList>)>;

  virtual ~HostListClient() = default;
  virtual void Start(Callback callback) = 0;
};

struct HostListOptions {
  std::string base_url;
  std::string source_address;
  /// Time between polls, varied by up to a tenth at random.
  Duration period = std::chrono::seconds(30);
  /// A large list that is sent whole is read more rarely than `period`.
  double max_bytes_per_second = 500;
  /// A list of up to this size is read at `period` all the same: a leaving
  /// upstream must be seen within 3 s in a small fleet.
  size_t small_list_bytes = 4096;
};

/// Sends `If-None-Match` with the last ETag: an unchanged list costs about
/// 350 bytes a poll (12 B/s at 30 s) where the service supports it. Otherwise a
/// poll costs the list's size; at 380 hosts and 4,100 upstreams (about 500 KB)
/// the byte limit then leaves about one poll in 17 min.
class HttpHostListClient : public HostListClient {
 public:
  HttpHostListClient(net::HttpClient& client,
                     TimerService& timers,
                     Rng& rng,
                     HostListOptions options);
  ~HttpHostListClient() override;
  void Start(Callback callback) override;

 private:
  void Poll();
  void OnAnswer(Result<net::ClientResponse> answer);
  void PollAfter(Duration delay);

  net::HttpClient& client_;
  TimerService& timers_;
  Rng& rng_;
  HostListOptions options_;
  Backoff backoff_;
  Callback callback_;
  std::string etag_;
  uint64_t last_hash_ = 0;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_HOST_LIST_CLIENT_H_
