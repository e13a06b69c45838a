/// \file
/// Transfer of one request and its response on a libcurl easy handle.

#ifndef TEASELHILL_LIB_NET_HTTP_TRANSFER_H_
#define TEASELHILL_LIB_NET_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "curl_handles.h"
#include "idle_sockets.h"
#include "response_head.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/support/time.h"
#include "unanswered_sockets.h"

namespace teaselhill::net {

/// One transfer and everything libcurl needs to live as long as it.
class Transfer {
 public:
  Transfer(TransferId id,
           ClientRequest request,
           std::shared_ptr<TransferHandler> handler,
           const TlsFiles& tls,
           const TimerService& timers,
           const IdleSockets& idle_sockets,
           UnansweredSockets& unanswered_sockets);

  TransferId id() const { return id_; }
  CURL* easy() const { return easy_.get(); }

  std::optional<TimePoint> last_received_at() const {
    return last_received_at_;
  }

  /// When the transfer is given up unless more of the answer arrives; nothing:
  /// never.
  std::optional<TimePoint> IdleDeadline(TimePoint started_at) const;

  const std::string& purpose() const { return request_.purpose; }

  /// Adds the bytes of the request and the response to `count`.
  void CountBytes(ByteCount* count) const;

  /// The answer, or the rest of it, did not arrive in time.
  void EndIdle() { End(CURLE_OPERATION_TIMEDOUT); }

  /// Whether the transfer ended, before any byte of the request was sent,
  /// because bytes or the end of the connection were found on the reused one.
  bool HasStaleConnection(CURLcode code) const {
    return connection_is_stale_ && code == CURLE_ABORTED_BY_CALLBACK;
  }

  /// Prepares another attempt on a new connection.
  void UseNewConnection();

  /// Calls OnEnd() of the handler; `code` is libcurl's result.
  void End(CURLcode code);

 private:
  void Configure();
  void ConfigureTls(const TlsFiles& tls);
  void ConfigureBody();
  void ConfigureHeaders();

  /// libcurl reports bytes that are no HTTP as errors of the socket.
  ResultCode CodeOfEnd(CURLcode code) const;

  /// Counts bytes of a head or a body. Returns whether they are within the
  /// bound; the transfer must end if not.
  bool CountBytes(size_t bytes,
                  size_t bound,
                  const char* part,
                  size_t* received);

  /// Status of the response; 0 if there is none yet.
  int status() const;

  const std::string& body() const {
    return request_.shared_body ? *request_.shared_body : request_.body;
  }

  /// Whether the response ended with its connection while the request was still
  /// being written. The server gave up then, and where its body was to end is
  /// not known.
  bool EndsBeforeRequest() const;

  void DeliverHead();

  /// Returns false if the line makes the head malformed, or completes a head
  /// without whose body the transfer ends; the transfer must end then.
  bool ReadHeadLine(std::string_view line);
  /// Calls `function`, which returns whether the transfer goes on. libcurl
  /// cannot be left by an exception, so one ends the transfer with a fault.
  template <typename Function>
  bool Deliver(Function function);

  /// Whether nothing has arrived on the reused connection of `socket`.
  bool IsQuiet(curl_socket_t socket) const;

  /// Called by libcurl with the socket of a new connection.
  static int OnSocketOpened(void* self,
                            curl_socket_t socket,
                            curlsocktype purpose);
  /// Called by libcurl, maybe after the transfer has ended, to close a socket.
  static int OnSocketClosed(void* unanswered_sockets, curl_socket_t socket);

  /// Called by libcurl before it sends a request; returns whether it may.
  static int OnConnectionChosen(void* self,
                                char* remote_address,
                                char* local_address,
                                int remote_port,
                                int local_port);

  // Functions that libcurl calls; each returns the number of bytes it took.
  static size_t OnHeaderLine(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);

  TransferId id_;
  const TimerService& timers_;
  const IdleSockets& idle_sockets_;
  UnansweredSockets& unanswered_sockets_;
  /// The one on which the request is sent.
  curl_socket_t socket_ = CURL_SOCKET_BAD;
  ClientRequest request_;
  std::shared_ptr<TransferHandler> handler_;
  CurlEasy easy_;
  CurlList headers_list_;
  ResponseHead head_;
  char error_[CURL_ERROR_SIZE] = {0};
  bool connection_is_stale_ = false;
  bool head_delivered_ = false;
  size_t head_bytes_ = 0;  ///< of all heads and trailers
  size_t body_bytes_ = 0;
  std::optional<TimePoint> last_received_at_;
  /// Diagnostic of a malformed head or a bound that is exceeded; empty: none.
  std::string fault_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_HTTP_TRANSFER_H_
