/// \file
/// Guards against a server in a peer's place that fills the memory of a host.

#include <catch2/catch.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "../net/raw_connection.h"
#include "teaselhill/peer/transport.h"

namespace teaselhill::peer {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;

/// Accepts a link and sends one message over it.
class SendingServer {
 public:
  SendingServer(net::EventLoop& loop, size_t message_bytes) {
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    server_.init_asio(&loop.context());
    server_.set_open_handler(
        [this, message_bytes](websocketpp::connection_hdl handle) {
          opened = true;
          server_.send(handle, std::string(message_bytes, 'x'),
                       websocketpp::frame::opcode::binary);
        });
    server_.set_close_handler(
        [this](const websocketpp::connection_hdl&) { closed = true; });
    server_.listen(asio::ip::make_address("127.0.0.1"), 0);
    server_.start_accept();
  }
  ~SendingServer() { server_.stop_listening(); }

  uint16_t port() {
    asio::error_code ignored;
    return server_.get_local_endpoint(ignored).port();
  }

  bool opened = false;
  bool closed = false;

 private:
  Server server_;
};

}  // namespace

TEST_CASE("a link over which a large message comes back is closed") {
  const size_t message_bytes = GENERATE(size_t{100}, size_t{1} << 20);
  CAPTURE(message_bytes);
  net::EventLoop loop;
  SendingServer server(loop, message_bytes);
  const auto transport = CreateWebSocketTransport(
      loop, {{"a", 7}, "127.0.0.1", 0, "secret"},
      [](const HostIncarnation&, const std::string&) {});
  REQUIRE(transport->Start().ok());
  transport->SetPeers({{"b", "127.0.0.1", server.port()}});
  transport->Send("b", "one");
  net::RunUntil(loop, [&] { return server.opened; });
  const TimePoint end = loop.timers().Now() + std::chrono::milliseconds(300);
  net::RunUntil(loop, [&] { return loop.timers().Now() >= end; });
  CHECK(server.closed == (message_bytes > 1000));
}

}  // namespace teaselhill::peer
