/// \file
/// HTTP client: drives transfers on libcurl's multi interface with an event
/// loop.

#include "teaselhill/net/http_client.h"

#include <curl/curl.h>

#include <cassert>
#include <optional>
#include <unordered_map>
#include <utility>

#include "curl_handles.h"
#include "http_transfer.h"
#include "idle_sockets.h"
#include "socket_watch.h"
#include "unanswered_sockets.h"

namespace teaselhill::net {

static void InitializeLibraryOnce() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  assert(initialized == CURLE_OK && "libcurl could not be initialized");
  (void)initialized;
}

class HttpClient::Impl {
 public:
  Impl(EventLoop& loop, size_t max_idle_connections) : loop_(loop) {
    InitializeLibraryOnce();
    multi_.reset(curl_multi_init());
    CURLM* multi = multi_.get();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(max_idle_connections));
  }

  ~Impl() {
    for (auto& [id, transfer] : transfers_)
      curl_multi_remove_handle(multi_.get(), transfer->easy());
    transfers_.clear();
    multi_.reset();
  }

  void UseTls(TlsFiles files) { tls_ = std::move(files); }

  TransferId Start(ClientRequest request,
                   std::shared_ptr<TransferHandler> handler) {
    const TransferId id = ++last_id_;
    auto transfer = std::make_unique<Transfer>(
        id, std::move(request), std::move(handler), tls_, loop_.timers(),
        idle_sockets_, unanswered_sockets_);
    WatchIdle(*transfers_.emplace(id, std::move(transfer)).first->second,
              loop_.timers().Now());
    if (!in_curl_) {
      Add(id);
      return id;
    }
    // libcurl refuses new transfers while it runs one of its callbacks.
    loop_.Post([this, alive = std::weak_ptr<int>(alive_), id] {
      if (alive.lock())
        Add(id);
    });
    return id;
  }

  void Cancel(TransferId id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
      return;
    // libcurl may be inside a callback of this very transfer, where it must
    // not be removed.
    std::shared_ptr<Transfer> transfer = std::move(found->second);
    transfers_.erase(found);
    idle_timers_.erase(id);
    if (!in_curl_) {
      curl_multi_remove_handle(multi_.get(), transfer->easy());
      return;
    }
    loop_.Post([this, alive = std::weak_ptr<int>(alive_), transfer] {
      if (alive.lock())
        curl_multi_remove_handle(multi_.get(), transfer->easy());
    });
  }

  const std::map<std::string, ByteCount>& byte_counts() const {
    return byte_counts_;
  }

  bool IsActive(TransferId id) const { return transfers_.count(id) > 0; }

  std::optional<TimePoint> LastReceivedAt(TransferId id) const {
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? std::nullopt
                                     : found->second->last_received_at();
  }

  void SetPaused(TransferId id, bool paused) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
      return;
    // Unpausing delivers buffered data before curl_easy_pause() returns.
    // If only receiving is paused, libcurl runs the transfer once more and may
    // read a head, whose lines it then passes on as one.
    const std::shared_ptr<Transfer> transfer = found->second;
    const bool nested = std::exchange(in_curl_, true);
    curl_easy_pause(transfer->easy(), paused ? CURLPAUSE_ALL : CURLPAUSE_CONT);
    in_curl_ = nested;
  }

 private:
  void Add(TransferId id) {
    const auto found = transfers_.find(id);
    if (found != transfers_.end())
      curl_multi_add_handle(multi_.get(), found->second->easy());
  }

  /// Ends the transfer once it has been idle for too long.
  void WatchIdle(const Transfer& transfer, TimePoint started_at) {
    const std::optional<TimePoint> deadline = transfer.IdleDeadline(started_at);
    if (!deadline)
      return;
    const TransferId id = transfer.id();
    idle_timers_[id] = loop_.timers().After(
        *deadline - loop_.timers().Now(),
        [this, id, started_at](TimePoint now) {
          const auto found = transfers_.find(id);
          if (found == transfers_.end())
            return;
          const std::shared_ptr<Transfer> idle = found->second;
          if (idle->IdleDeadline(started_at).value_or(TimePoint::max()) > now)
            return WatchIdle(*idle, started_at);
          Cancel(id);
          idle->EndIdle();
        });
  }

  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int what,
                      void* self,
                      void* socket_data) {
    static_cast<Impl*>(self)->WatchSocket(socket, what);
    return 0;
  }

  static int OnTimer(CURLM* multi, long timeout_ms, void* self) {
    static_cast<Impl*>(self)->SetTimer(timeout_ms);
    return 0;
  }

  void WatchSocket(curl_socket_t socket, int what) {
    const auto found = watches_.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (found == watches_.end())
        return;
      found->second->Release();
      watches_.erase(found);
      return;
    }
    if (found != watches_.end()) {
      found->second->SetInterest(what);
      return;
    }
    auto watch = std::make_shared<SocketWatch>(
        loop_.context(), socket,
        [this](curl_socket_t ready, int event) { Drive(ready, event); });
    watches_.emplace(socket, watch);
    watch->SetInterest(what);
  }

  void SetTimer(long timeout_ms) {
    timer_.Cancel();
    if (timeout_ms < 0)
      return;
    timer_ = loop_.timers().After(
        std::chrono::milliseconds(timeout_ms),
        [this](TimePoint) { Drive(CURL_SOCKET_TIMEOUT, 0); });
  }

  void Drive(curl_socket_t socket, int event) {
    const std::weak_ptr<int> alive = alive_;
    int running = 0;
    in_curl_ = true;
    curl_multi_socket_action(multi_.get(), socket, event, &running);
    in_curl_ = false;
    CollectEnded(alive);
  }

  void CollectEnded(const std::weak_ptr<int>& alive) {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      Transfer* ended = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
      const CURLcode code = message->data.result;
      const auto found = transfers_.find(ended->id());
      // A cancelled transfer is removed by the function that Cancel() posted.
      if (found == transfers_.end())
        continue;
      if (ended->HasStaleConnection(code)) {
        // libcurl closes the connection of an aborted transfer.
        curl_multi_remove_handle(multi_.get(), ended->easy());
        ended->UseNewConnection();
        curl_multi_add_handle(multi_.get(), ended->easy());
        continue;
      }
      const std::shared_ptr<Transfer> transfer = std::move(found->second);
      transfers_.erase(found);
      idle_timers_.erase(transfer->id());
      idle_sockets_.OnTransferEnded(transfer->easy());
      curl_multi_remove_handle(multi_.get(), transfer->easy());
      if (!transfer->purpose().empty())
        transfer->CountBytes(&byte_counts_[transfer->purpose()]);
      transfer->End(code);
      if (alive.expired())
        return;
    }
  }

  EventLoop& loop_;
  TlsFiles tls_;
  IdleSockets idle_sockets_;
  UnansweredSockets unanswered_sockets_;  ///< used by multi_ up to its end
  CurlMulti multi_;
  TransferId last_id_ = 0;
  std::map<std::string, ByteCount> byte_counts_;
  bool in_curl_ = false;
  std::unordered_map<TransferId, std::shared_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> watches_;
  std::unordered_map<TransferId, TimerSubscription> idle_timers_;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

HttpClient::HttpClient(EventLoop& loop, size_t max_idle_connections)
    : impl_(std::make_unique<Impl>(loop, max_idle_connections)) {}

HttpClient::~HttpClient() = default;

void HttpClient::UseTls(TlsFiles files) {
  impl_->UseTls(std::move(files));
}

TransferId HttpClient::Start(ClientRequest request,
                             std::shared_ptr<TransferHandler> handler) {
  return impl_->Start(std::move(request), std::move(handler));
}

void HttpClient::Cancel(TransferId id) {
  impl_->Cancel(id);
}

std::optional<TimePoint> HttpClient::LastReceivedAt(TransferId id) const {
  return impl_->LastReceivedAt(id);
}

void HttpClient::Pause(TransferId id) {
  impl_->SetPaused(id, true);
}

void HttpClient::Resume(TransferId id) {
  impl_->SetPaused(id, false);
}

const std::map<std::string, ByteCount>& HttpClient::byte_counts() const {
  return impl_->byte_counts();
}

}  // namespace teaselhill::net
