/// \file
/// Connection attempts without data.

#include "teaselhill/net/connect_probe.h"

#include <asio.hpp>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

namespace teaselhill::net {

namespace {

using asio::ip::tcp;

std::optional<tcp::endpoint> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  uint16_t port = 0;
  const char* last = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, last, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != last)
    return std::nullopt;
  return tcp::endpoint(ip, port);
}

ProbeResult ResultOf(const asio::error_code& error) {
  if (!error)
    return ProbeResult::kListening;
  return error == asio::error::connection_refused ? ProbeResult::kNotListening
                                                  : ProbeResult::kUnknown;
}

/// Closes its socket when the timeout ends, which ends the connection attempt.
struct Probe {
  explicit Probe(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  TimerSubscription timeout_timer;
};

}  // namespace

void ProbeConnect(EventLoop& loop,
                  const std::string& address,
                  Duration timeout,
                  std::function<void(ProbeResult)> done) {
  const std::optional<tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint) {
    loop.Post([done = std::move(done)] { done(ProbeResult::kUnknown); });
    return;
  }
  const auto probe = std::make_shared<Probe>(loop.context());
  probe->timeout_timer = loop.timers().After(
      timeout, [weak = std::weak_ptr<Probe>(probe)](TimePoint) {
        asio::error_code ignored;
        if (const auto timed_out = weak.lock())
          timed_out->socket.close(ignored);
      });
  probe->socket.async_connect(
      *endpoint, [probe, done = std::move(done)](
                     const asio::error_code& error) { done(ResultOf(error)); });
}

}  // namespace teaselhill::net
