/// \file
/// A server that sends without end.

#ifndef TEASELHILL_UNITTESTS_NET_ENDLESS_SERVER_H_
#define TEASELHILL_UNITTESTS_NET_ENDLESS_SERVER_H_

#include <asio.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace teaselhill::net {

/// What the sockets' buffers hold beside what the client has read.
constexpr size_t kBufferedBytes = 8 << 20;

/// Sends a beginning and then the same bytes until the client closes.
class EndlessServer {
 public:
  EndlessServer(std::string beginning, const std::string& repeated)
      : beginning_(std::move(beginning)),
        acceptor_(context_, {asio::ip::make_address("127.0.1.78"), 0}) {
    while (block_.size() < 16384)
      block_ += repeated;
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() { thread_.join(); }

  std::string url() const {
    return "http://127.0.1.78:" +
           std::to_string(acceptor_.local_endpoint().port());
  }
  size_t sent() const { return sent_; }

 private:
  void Serve() {
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket);
    char request[4096];
    asio::error_code error;
    socket.read_some(asio::buffer(request), error);
    asio::write(socket, asio::buffer(beginning_), error);
    while (!error && sent_ < 64 << 20)
      sent_ += asio::write(socket, asio::buffer(block_), error);
  }

  std::string beginning_;
  std::string block_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
  std::atomic<size_t> sent_{0};
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_UNITTESTS_NET_ENDLESS_SERVER_H_
