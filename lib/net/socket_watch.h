/// \file
/// Watch of one socket of libcurl on an event loop.

#ifndef TEASELHILL_LIB_NET_SOCKET_WATCH_H_
#define TEASELHILL_LIB_NET_SOCKET_WATCH_H_

#include <curl/curl.h>

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace teaselhill::net {

/// Waits for readiness of one socket that libcurl owns.
class SocketWatch : public std::enable_shared_from_this<SocketWatch> {
 public:
  using ReadyFunction = std::function<void(curl_socket_t, int)>;

  SocketWatch(asio::io_context& context,
              curl_socket_t socket,
              ReadyFunction ready)
      : descriptor_(context, socket), ready_(std::move(ready)) {}
  ~SocketWatch() { Release(); }

  void SetInterest(int what) {
    interest_ = what;
    if ((what & CURL_POLL_IN) && !reading_)
      Wait(asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN,
           CURL_POLL_IN, &reading_);
    if ((what & CURL_POLL_OUT) && !writing_)
      Wait(asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT,
           CURL_POLL_OUT, &writing_);
  }

  /// Gives the socket back to libcurl without closing it.
  void Release() {
    interest_ = 0;
    if (descriptor_.is_open())
      descriptor_.release();
  }

 private:
  void Wait(asio::posix::stream_descriptor::wait_type type,
            int event,
            int wanted,
            bool* waiting) {
    *waiting = true;
    descriptor_.async_wait(
        type, [weak = weak_from_this(), event, wanted, waiting,
               type](const asio::error_code& error) {
          const std::shared_ptr<SocketWatch> self = weak.lock();
          if (!self)
            return;
          *waiting = false;
          if (!self->descriptor_.is_open() || !(self->interest_ & wanted))
            return;
          const curl_socket_t socket = self->descriptor_.native_handle();
          self->ready_(socket, error ? CURL_CSELECT_ERR : event);
          if (self->descriptor_.is_open() && (self->interest_ & wanted) &&
              !*waiting)
            self->Wait(type, event, wanted, waiting);
        });
  }

  asio::posix::stream_descriptor descriptor_;
  ReadyFunction ready_;
  int interest_ = 0;
  bool reading_ = false;
  bool writing_ = false;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_SOCKET_WATCH_H_
