/// \file
/// Client that polls the platform's list of hosts and upstreams.

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
  std::string version;  ///< of its software; empty: the list names none
};

struct HostList {
  std::vector<ListedHost> hosts;
  std::vector<ListedUpstream> upstreams;
  size_t unreadable_entries = 0;  ///< left out; the others hold
};

/// Parses the JSON form of the list. An entry whose state is not `leaving`
/// counts as live. An entry in which a field is missing or has a wrong type is
/// left out. Returns kProtocolError if the text is no list.
Result<HostList> ParseHostList(std::string_view text);

class HostListClient {
 public:
  /// Called with each list that differs from the previous list, with
  /// kHostListUnavailable for each failed poll, and with kProtocolError for
  /// each changed list that cannot be parsed.
  using Callback = std::function<void(Result<HostList>)>;

  virtual ~HostListClient() = default;

  /// Starts polling. `callback` runs on the event loop's thread.
  virtual void Start(Callback callback) = 0;
};

struct HostListOptions {
  std::string base_url;
  std::string source_address;
  /// Time between polls, randomly varied by up to 10%.
  Duration period = std::chrono::seconds(30);
  /// Budget for answers with the complete list. If polling a list every
  /// `period` would exceed this budget, the list is polled less often.
  double max_bytes_per_second = 500;
  /// Lists up to this size are exempt from `max_bytes_per_second`, because in a
  /// small fleet a leaving upstream must be observed within 3 s.
  size_t small_list_bytes = 4096;
};

/// HostListClient over HTTP. Sends `If-None-Match` with the last ETag. If the
/// service supports ETags, a poll of an unchanged list costs about 350 bytes,
/// that is 12 B/s at a period of 30 s. Otherwise each poll costs the size of
/// the list: for 380 hosts and 4,100 upstreams (about 500 KB) the byte budget
/// allows about one poll in 17 min.
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
  uint64_t last_body_hash_ = 0;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_HOST_LIST_CLIENT_H_
