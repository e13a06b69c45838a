/// \file
/// Response to one request on a connection of RESTinio.

#ifndef TEASELHILL_LIB_NET_RESTINIO_RESPONSE_H_
#define TEASELHILL_LIB_NET_RESTINIO_RESPONSE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <string>

#include "read_gate.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

class ConnectionTable;
struct SocketPolicy;

/// Returns the status line with the reason phrase of `status`.
restinio::http_status_line_t StatusLine(int status);

/// Writes one response. The table learns of its end and tells it when its
/// connection has been closed.
class RestinioResponse : public ResponseWriter,
                         public std::enable_shared_from_this<RestinioResponse> {
 public:
  RestinioResponse(restinio::request_handle_t request,
                   std::weak_ptr<ConnectionTable> table,
                   std::shared_ptr<const bool> close_after_response)
      : request_(std::move(request)),
        connection_(request_->connection_id()),
        request_id_(request_->request_id()),
        is_head_(request_->header().method() == restinio::http_method_head()),
        raw_connection_(restinio::impl::access_req_connection(*request_)),
        table_(std::move(table)),
        close_after_response_(std::move(close_after_response)) {}
  ~RestinioResponse() override;

  /// Counts what is not sent towards `budget`, and `request` until the response
  /// has ended. The connection is one of `sockets`. Call it before any other
  /// function.
  void UseBudget(MemoryBudget& budget,
                 std::unique_ptr<ReadGate::HeldRequest> request,
                 std::shared_ptr<SocketPolicy> sockets);

  void Respond(int status, Headers headers, std::string body) override;
  void Start(int status, Headers headers) override;
  void Write(std::string data) override;
  void Finish() override;
  void Abort() override;
  size_t pending_bytes() const override { return pending_bytes_; }

  /// Whether the connection has taken the whole response.
  bool sent() const { return sent_; }

  restinio::request_id_t request_id() const { return request_id_; }

  void SetCloseHandler(std::function<void()> handler) override;
  void SetDrainHandler(std::function<void()> handler) override;
  void SetTurnHandler(std::function<void()> handler) override;

  /// Returns what is to be called now that no response before this one is
  /// unwritten; empty if nothing is, or it has been taken.
  std::function<void()> TakeTurnHandler();

  /// Calls the close handler unless the response has ended.
  void OnConnectionClosed();

 private:
  template <typename Builder>
  void AddHeaders(Builder& response, const Headers& headers) const;

  /// Whether a response of this status has no body (RFC 9110, 6.4.1). What
  /// follows its head would be read as the next response.
  bool IsWithoutBody(int status) const;

  /// Writes a response that ends with its head. `content_length`: of the body
  /// that a GET would get.
  void RespondWithHead(int status,
                       const Headers& headers,
                       size_t content_length);

  /// Whether the connection has passed on a request behind this one.
  bool HasLaterRequest() const;
  /// The connection ends with this response.
  void MarkClosing() const;

  /// Writes the data that came while the data before was being written, as one
  /// chunk: each chunk is a write of its own.
  void Flush();

  void End();

  void CountUnsent();

  /// Closes the connection, because the budget is exceeded.
  void GiveWay();

  /// Returns a function that is called, and kept alive, until the end of the
  /// response has been written.
  std::function<void(const asio::error_code&)> MarkSent();

  void OnWritten(size_t size, const asio::error_code& error);

  restinio::request_handle_t request_;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
      stream_;
  restinio::connection_id_t connection_;
  restinio::request_id_t request_id_;
  bool is_head_;
  std::weak_ptr<restinio::impl::connection_base_t> raw_connection_;
  std::weak_ptr<ConnectionTable> table_;
  std::shared_ptr<const bool> close_after_response_;
  std::function<void()> close_handler_;
  std::function<void()> drain_handler_;
  std::function<void()> turn_handler_;
  std::string unflushed_;
  bool flushing_ = false;
  size_t pending_bytes_ = 0;
  size_t whole_bytes_ = 0;  ///< of a body that was passed to Respond()
  std::unique_ptr<ReadGate::HeldRequest> held_request_;
  /// Null: unsent bytes are not counted, or are given up.
  std::unique_ptr<MemoryBudget::Account> unsent_;
  /// When the caller last read, or the response was begun.
  TimePoint progress_at_{};
  std::shared_ptr<SocketPolicy> sockets_;
  restinio::endpoint_t remote_;
  bool closed_ = false;
  bool ended_ = false;
  bool sent_ = false;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_RESTINIO_RESPONSE_H_
