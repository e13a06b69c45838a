/// \file
/// HTTP server on RESTinio with streamed responses.

#ifndef TEASELHILL_NET_HTTP_SERVER_H_
#define TEASELHILL_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_types.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/net/tls.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

struct HttpRequest {
  std::string method;
  std::string target;  ///< path and query exactly as the caller sent them
  std::string path;    ///< without the query
  std::string query;   ///< without the question mark
  Headers headers;
  std::string body;
  std::string remote_address;  ///< IP number without the port
  /// A request before it on its connection has no whole answer yet.
  bool behind_unanswered = false;
};

/// Writes the response to one request. All functions must be called on the
/// server's loop thread. After the connection closed they do nothing.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  /// Sends a whole response.
  virtual void Respond(int status, Headers headers, std::string body) = 0;

  /// Sends the head of a streamed response.
  virtual void Start(int status, Headers headers) = 0;

  /// Sends a piece of the body at once. Start() must have been called.
  virtual void Write(std::string data) = 0;

  /// Ends a streamed response.
  virtual void Finish() = 0;

  /// Closes the connection without ending a response that was started, so that
  /// the caller cannot take it for complete.
  virtual void Abort() = 0;

  /// Bytes passed to Write() that the connection has not taken yet.
  virtual size_t pending_bytes() const = 0;

  /// Sets the function called once when the peer closes the connection before
  /// the response has ended.
  virtual void SetCloseHandler(std::function<void()> handler) = 0;

  /// Sets the function called each time a write has completed.
  virtual void SetDrainHandler(std::function<void()> handler) = 0;

  /// Sets the function called once when the responses to all requests before
  /// this one on its connection have been written. It is dropped if the
  /// connection closes before.
  virtual void SetTurnHandler(std::function<void()> handler) = 0;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(HttpRequest request,
                      std::shared_ptr<ResponseWriter> response) = 0;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;  ///< 0 picks a free one
  /// Lets several servers of one process share the port.
  bool share_port = false;
  size_t max_body_bytes = 4 << 20;
  /// Largest request line and largest sum of all header names and values.
  size_t max_header_bytes = 16 << 10;
  /// Time to receive a whole request after its first byte, and to wait for the
  /// next request on an idle connection.
  Duration read_timeout = std::chrono::seconds(15);
  /// Time within which a blocked write must complete.
  Duration write_timeout = std::chrono::seconds(30);
  /// Further connections wait in the listener's backlog.
  size_t max_connections = 20000;
  std::shared_ptr<TlsContext> tls;  ///< null: plain HTTP
  /// Counts requests and what is not sent of responses; must outlive the
  /// server. Null: none.
  MemoryBudget* memory_budget = nullptr;
};

/// Serves on one event loop. Destroy it on the loop's thread or after the loop
/// has stopped.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerOptions options, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts to accept; kBindFailed names the address.
  Status Start();

  /// Port that is bound; valid after Start().
  uint16_t port() const;

  /// Stops accepting and closes the connections that are idle.
  void Stop();

  /// From now on each response ends its connection.
  void CloseAfterResponses();

  /// Closes the connections on which nothing of a request was received since
  /// the last response.
  void CloseIdle();

  /// Answers each connection on which a part of a request has arrived, and no
  /// response is in progress, with the error `code` and closes it.
  void RefuseUnread(ResultCode code);

  /// Whether a response has not been handed to the system whole. Call on the
  /// loop's thread.
  bool HasUnsentResponses() const;

  size_t open_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_HTTP_SERVER_H_
