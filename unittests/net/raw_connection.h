/// \file
/// A loopback connection on which a test decides every byte.

#ifndef TEASELHILL_UNITTESTS_NET_RAW_CONNECTION_H_
#define TEASELHILL_UNITTESTS_NET_RAW_CONNECTION_H_

#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "teaselhill/net/event_loop.h"

namespace teaselhill::net {

/// Runs the loop until `done` holds; fails after `limit`.
inline void RunUntil(EventLoop& loop,
                     const std::function<bool()>& done,
                     Duration limit = std::chrono::seconds(10)) {
  const auto poll =
      loop.timers().Subscribe(std::chrono::milliseconds(1), [&](TimePoint) {
        if (done())
          loop.Stop();
      });
  const auto timer =
      loop.timers().After(limit, [&](TimePoint) { loop.Stop(); });
  loop.Run();
  REQUIRE(done());
}

class RawConnection {
 public:
  RawConnection(EventLoop& loop, uint16_t port) : socket_(loop.context()) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  void Send(std::string data) {
    auto kept = std::make_shared<std::string>(std::move(data));
    asio::async_write(socket_, asio::buffer(*kept),
                      [kept](const asio::error_code&, size_t) {});
  }

  /// Collects what arrives in received() until the connection closes.
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const asio::error_code& error, size_t size) {
                              received_.append(buffer_.data(), size);
                              if (error)
                                closed_ = true;
                              else
                                Read();
                            });
  }

  void ShutdownSend() { socket_.shutdown(asio::socket_base::shutdown_send); }

  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }

  /// Number of times that `text` has arrived.
  size_t Count(const std::string& text) const {
    size_t count = 0;
    for (size_t at = received_.find(text); at != std::string::npos;
         at = received_.find(text, at + text.size()))
      ++count;
    return count;
  }

 private:
  asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_;
  std::string received_;
  bool closed_ = false;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_UNITTESTS_NET_RAW_CONNECTION_H_
