/// \file
/// A server that sends the bytes of a test and closes, and a record of what a
/// transfer makes of them.

#ifndef TEASELHILL_UNITTESTS_NET_ONE_ANSWER_SERVER_H_
#define TEASELHILL_UNITTESTS_NET_ONE_ANSWER_SERVER_H_

#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::net {

/// Sends the same bytes to a client that has sent a request, and closes.
class OneAnswerServer {
 public:
  OneAnswerServer(EventLoop& loop, std::string bytes)
      : bytes_(std::move(bytes)),
        acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(loop.context()) {
    acceptor_.async_accept(socket_, [this](asio::error_code) {
      asio::async_read_until(socket_, asio::dynamic_buffer(request_),
                             "\r\n\r\n", [this](asio::error_code, size_t) {
                               if (before_answer_)
                                 before_answer_();
                               asio::write(socket_, asio::buffer(bytes_));
                               socket_.close();
                             });
    });
  }

  /// Calls `action` when the request has arrived, before the bytes are sent.
  void SetBeforeAnswer(std::function<void()> action) {
    before_answer_ = std::move(action);
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  std::string bytes_;
  std::function<void()> before_answer_;
  std::string request_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
};

class RecordingHandler : public TransferHandler {
 public:
  void OnHead(int status, const Headers& headers) override {
    has_head_ = true;
    status_ = status;
    headers_ = headers;
  }
  void OnData(std::string_view data) override { body_.append(data); }
  void OnEnd(const TransferEnd& end) override { end_ = end; }

  bool has_head() const { return has_head_; }
  int status() const { return status_; }
  const Headers& headers() const { return headers_; }
  const std::string& body() const { return body_; }
  const std::optional<TransferEnd>& end() const { return end_; }

 private:
  bool has_head_ = false;
  int status_ = 0;
  Headers headers_;
  std::string body_;
  std::optional<TransferEnd> end_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_UNITTESTS_NET_ONE_ANSWER_SERVER_H_
