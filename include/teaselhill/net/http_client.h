/// \file
/// HTTP client on libcurl's multi interface, driven by an event loop.

#ifndef TEASELHILL_NET_HTTP_CLIENT_H_
#define TEASELHILL_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_types.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/net/tls.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  /// Body that is shared with the owner of the request instead of copied; sent
  /// in place of `body` if it is set.
  std::shared_ptr<const std::string> shared_body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration total_timeout{};  ///< zero: none
  /// Time without a byte of the answer after which the transfer ends with
  /// kTimedOut: until its first byte, and between later ones. So a large answer
  /// over a slow link is not taken for none. Zero: none.
  Duration first_byte_timeout{};
  Duration idle_timeout{};
  /// Bounds on the answer. A transfer whose answer exceeds one ends with
  /// kProtocolError, and its connection is closed.
  size_t max_head_bytes = 64 << 10;  ///< of all lines, with interim answers
  size_t max_body_bytes = 0;         ///< zero: none
  /// Ends the transfer, with success, when the head of the answer has arrived;
  /// its body is not read and the connection is closed.
  bool head_only = false;
  /// Local address to connect from; empty: any.
  std::string source_address;
  /// Uses a new connection. libcurl sends a request again by itself when a
  /// reused connection turns out to be dead, so a request that must not be
  /// sent twice sets this.
  bool fresh_connection = false;
  /// Closes the connection after the transfer, so that no later response can
  /// be found on it. A connection that is kept is used again only if nothing
  /// has arrived on it when the next request is sent; bytes that arrive later
  /// cannot be told from the answer to that request. So a request that must not
  /// get an answer which a faulty server sends twice sets this for all requests
  /// of its client, or its user checks the answer.
  bool close_connection = false;
  /// Time after which nothing of the request arrives any more if the other side
  /// has not acknowledged it, even if this process is frozen or ends before the
  /// answer. It needs a connection of its own. Zero: what the system still
  /// holds of a request is dropped only when the transfer ends without an
  /// answer.
  Duration delivery_timeout{};
  /// Leaves out the type that libcurl gives to each body by itself.
  bool omit_content_type = false;
  /// Request target sent as it is; empty: taken from the URL.
  std::string target;
  /// Name under which the client counts the bytes of the transfer; empty: not
  /// counted.
  std::string purpose;
  std::string ca_file;  ///< trust anchors for https; empty: the system's
};

/// How a transfer ended.
struct TransferEnd {
  ResultCode code = ResultCode::kOk;  ///< kOk: the response is complete
  std::string detail;                 ///< the library's diagnostic
  int status = 0;                     ///< HTTP status; 0 if no whole head came
  /// Whether any byte of the request may have left this process. When false,
  /// the other side cannot have seen the request.
  bool may_have_been_sent = false;
};

/// Receives the events of one transfer on the loop's thread.
class TransferHandler {
 public:
  virtual ~TransferHandler() = default;
  /// Called once, when the head has arrived up to its empty line.
  virtual void OnHead(int status, const Headers& headers) = 0;
  virtual void OnData(std::string_view data) = 0;
  virtual void OnEnd(const TransferEnd& end) = 0;
};

struct ClientResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

using TransferId = uint64_t;

/// Largest body that Fetch() collects unless its caller states another bound.
constexpr size_t kDefaultFetchBytes = 1 << 20;

/// Bytes of HTTP heads and bodies, without those of lower layers.
struct ByteCount {
  uint64_t sent = 0;
  uint64_t received = 0;
};

/// All functions must be called on the loop's thread.
class HttpClient {
 public:
  /// Keeps at most `max_idle_connections` connections open for reuse.
  explicit HttpClient(EventLoop& loop, size_t max_idle_connections = 256);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sets trust anchors and the own certificate for https. The files are read
  /// for each new connection, so that a replaced file takes effect by itself.
  void UseTls(TlsFiles files);

  /// Counts what Fetch() collects towards `budget`, which must outlive the
  /// client. Call it before any transfer; null: not counted.
  void UseBudget(MemoryBudget* budget);

  /// Starts a transfer. The handler is kept until OnEnd() or Cancel().
  TransferId Start(ClientRequest request,
                   std::shared_ptr<TransferHandler> handler);

  /// Aborts a transfer; its handler is not called any more. If no answer has
  /// come, the connection is reset, so that nothing of the request arrives
  /// later.
  void Cancel(TransferId id);

  /// When the last bytes of the answer arrived; nothing if none have, or if the
  /// transfer has ended.
  std::optional<TimePoint> LastReceivedAt(TransferId id) const;

  /// Stops and resumes reading the response, for flow control. What has not
  /// been sent of the request waits as well.
  void Pause(TransferId id);
  void Resume(TransferId id);

  /// Performs a request and collects the response, at most `max_body_bytes`.
  /// Ends with kProtocolError if the response has to give way in the budget.
  using FetchCallback = std::function<void(Result<ClientResponse>)>;
  TransferId Fetch(ClientRequest request,
                   FetchCallback callback,
                   size_t max_body_bytes = kDefaultFetchBytes);

  /// Performs a request and collects the head of the response only.
  TransferId FetchHead(ClientRequest request, FetchCallback callback);

  /// Counts by purpose of the transfers that have ended.
  const std::map<std::string, ByteCount>& byte_counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  MemoryBudget* budget_ = nullptr;
};

/// Performs one request and blocks until it ends. For command-line tools.
Result<ClientResponse> BlockingFetch(
    ClientRequest request,
    size_t max_body_bytes = kDefaultFetchBytes);

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_HTTP_CLIENT_H_
