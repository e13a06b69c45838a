/// \file
/// Links between hosts, based on websocketpp.

#include <asio.hpp>
#include <asio/ssl.hpp>
#include <charconv>
#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "teaselhill/peer/transport.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::peer {

namespace {

struct Plain {
  using Server = websocketpp::server<websocketpp::config::asio>;
  using Client = websocketpp::client<websocketpp::config::asio_client>;
  static constexpr char kScheme[] = "ws://";
};

struct Encrypted {
  using Server = websocketpp::server<websocketpp::config::asio_tls>;
  using Client = websocketpp::client<websocketpp::config::asio_tls_client>;
  static constexpr char kScheme[] = "wss://";
};

using Handle = websocketpp::connection_hdl;

constexpr char kHostHeader[] = "X-Teaselhill-Host";
constexpr char kIncarnationHeader[] = "X-Teaselhill-Incarnation";
constexpr char kSecretHeader[] = "X-Teaselhill-Peer-Secret";

/// Messages to a peer are dropped while more than this number of bytes is
/// buffered for the peer. A larger buffer has no use, because newer messages
/// supersede older messages.
constexpr size_t kMaxBufferedBytes = 1 << 20;

/// Maximum number of messages queued while a link is being opened.
constexpr size_t kMaxQueuedMessages = 64;

/// Delay before a link that failed or was closed is opened again.
constexpr std::chrono::milliseconds kReconnectDelay{500};

constexpr size_t kMaxMessageBytes = 32 << 20;

/// Peers send their messages over links of their own, so nothing is expected
/// over a link that this host has opened.
constexpr size_t kMaxUnexpectedBytes = 1 << 10;

/// Returns the size in bytes of a frame with `payload` bytes of payload. Frames
/// from a client to a server are masked: their header has a mask of 4 bytes.
size_t FrameBytes(size_t payload, bool masked) {
  constexpr size_t kMaxShortPayloadBytes = 125;
  constexpr size_t kMaxMediumPayloadBytes = 65535;
  const size_t header_bytes = payload <= kMaxShortPayloadBytes    ? 2
                              : payload <= kMaxMediumPayloadBytes ? 4
                                                                  : 10;
  return payload + header_bytes + (masked ? 4 : 0);
}

template <typename Endpoint>
void Configure(Endpoint& endpoint, asio::io_context& context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
  endpoint.set_max_message_size(kMaxMessageBytes);
  endpoint.set_open_handshake_timeout(2000);
  endpoint.set_close_handshake_timeout(500);
}

/// The outgoing link to one peer.
struct Link {
  enum class State { kClosed, kOpening, kOpen };

  PeerAddress peer;
  State state = State::kClosed;
  Handle handle;
  TimePoint reconnect_at{};
  std::vector<std::string> queue;
};

/// `Security` is Plain or Encrypted.
template <typename Security>
class WebSocketTransport : public Transport {
 public:
  using Server = typename Security::Server;
  using Client = typename Security::Client;

  WebSocketTransport(net::EventLoop& loop,
                     TransportOptions options,
                     MessageHandler on_message)
      : loop_(loop),
        options_(std::move(options)),
        on_message_(std::move(on_message)) {
    Configure(server_, loop_.context());
    Configure(client_, loop_.context());
    client_.set_max_message_size(kMaxUnexpectedBytes);
    server_.set_reuse_addr(true);
    server_.set_validate_handler(
        [this](Handle handle) { return Validate(handle); });
    server_.set_message_handler(
        [this](Handle handle, typename Server::message_ptr message) {
          OnMessage(handle, message->get_payload());
        });
    server_.set_close_handler(
        [this](Handle handle) { senders_.erase(handle); });
    if constexpr (std::is_same_v<Security, Encrypted>) {
      const auto context = [this](const Handle&) {
        return options_.tls->Current();
      };
      server_.set_tls_init_handler(context);
      client_.set_tls_init_handler(context);
    }
  }

  ~WebSocketTransport() override {
    websocketpp::lib::error_code ignored;
    if (server_.is_listening())
      server_.stop_listening(ignored);
    for (auto& [host, link] : links_)
      CloseLink(link);
    for (auto& [handle, sender] : senders_)
      server_.close(handle, websocketpp::close::status::going_away, "",
                    ignored);
  }

  Status Start() override {
    websocketpp::lib::error_code error;
    server_.listen(asio::ip::tcp::endpoint(
                       asio::ip::make_address(options_.address), options_.port),
                   error);
    if (!error)
      server_.start_accept(error);
    if (error)
      return {ResultCode::kBindFailed, "cannot listen on " + options_.address +
                                           ":" + std::to_string(options_.port) +
                                           ": " + error.message()};
    return Ok{};
  }

  uint16_t port() const override {
    asio::error_code error;
    const auto endpoint =
        const_cast<Server&>(server_).get_local_endpoint(error);
    return error ? options_.port : endpoint.port();
  }

  void SetPeers(const std::vector<PeerAddress>& peers) override {
    std::map<std::string, Link> next;
    for (const PeerAddress& peer : peers) {
      const auto old = links_.find(peer.host);
      const bool unchanged = old != links_.end() &&
                             old->second.peer.address == peer.address &&
                             old->second.peer.port == peer.port;
      if (unchanged) {
        next.emplace(peer.host, std::move(old->second));
        links_.erase(old);
        continue;
      }
      next[peer.host].peer = peer;
    }
    for (auto& [host, link] : links_)
      CloseLink(link);
    links_ = std::move(next);
  }

  void Send(const std::string& host, std::string payload) override {
    const auto found = links_.find(host);
    if (found == links_.end() || blocked_.count(host)) {
      ++counters_.messages_dropped;
      return;
    }
    Link& link = found->second;
    if (link.state == Link::State::kClosed)
      OpenLink(link);
    if (link.state == Link::State::kOpen) {
      SendNow(link, payload);
      return;
    }
    if (link.state == Link::State::kClosed ||
        link.queue.size() >= kMaxQueuedMessages) {
      ++counters_.messages_dropped;
      return;
    }
    link.queue.push_back(std::move(payload));
  }

  void SetBlocked(std::set<std::string> hosts) override {
    blocked_ = std::move(hosts);
    for (const std::string& host : blocked_) {
      const auto found = links_.find(host);
      if (found != links_.end())
        CloseLink(found->second);
    }
  }

  const TransportCounters& counters() const override { return counters_; }

 private:
  bool Validate(Handle handle) {
    const auto connection = server_.get_con_from_hdl(handle);
    HostIncarnation sender;
    sender.host = connection->get_request_header(kHostHeader);
    const std::string number =
        connection->get_request_header(kIncarnationHeader);
    std::from_chars(number.data(), number.data() + number.size(),
                    sender.incarnation);
    if (sender.host.empty() ||
        !SameSecret(connection->get_request_header(kSecretHeader),
                    options_.secret)) {
      connection->set_status(websocketpp::http::status_code::forbidden);
      return false;
    }
    senders_[handle] = std::move(sender);
    return true;
  }

  void OnMessage(Handle handle, const std::string& payload) {
    const auto sender = senders_.find(handle);
    if (sender == senders_.end())
      return;
    if (blocked_.count(sender->second.host)) {
      ++counters_.messages_dropped;
      return;
    }
    ++counters_.messages_received;
    counters_.bytes_received += FrameBytes(payload.size(), /*masked=*/true);
    on_message_(sender->second, payload);
  }

  void OpenLink(Link& link) {
    if (SteadyNow() < link.reconnect_at)
      return;
    websocketpp::lib::error_code error;
    const auto connection =
        client_.get_connection(Security::kScheme + link.peer.address + ":" +
                                   std::to_string(link.peer.port) + "/peer",
                               error);
    if (error)
      return;
    if constexpr (std::is_same_v<Security, Encrypted>)
      connection->get_socket().set_verify_callback(
          asio::ssl::host_name_verification(link.peer.address));
    connection->append_header(kHostHeader, options_.self.host);
    connection->append_header(kIncarnationHeader,
                              std::to_string(options_.self.incarnation));
    connection->append_header(kSecretHeader, options_.secret);
    const std::string host = link.peer.host;
    connection->set_open_handler(
        [this, host](Handle handle) { OnOpen(host, handle); });
    connection->set_fail_handler(
        [this, host](Handle handle) { OnClosed(host, handle); });
    connection->set_close_handler(
        [this, host](Handle handle) { OnClosed(host, handle); });
    link.state = Link::State::kOpening;
    link.handle = connection->get_handle();
    client_.connect(connection);
  }

  Link* FindLink(const std::string& host, const Handle& handle) {
    const auto found = links_.find(host);
    if (found == links_.end())
      return nullptr;
    const bool same = !found->second.handle.owner_before(handle) &&
                      !handle.owner_before(found->second.handle);
    return same ? &found->second : nullptr;
  }

  void OnOpen(const std::string& host, Handle handle) {
    Link* link = FindLink(host, handle);
    if (!link) {
      websocketpp::lib::error_code ignored;
      client_.close(handle, websocketpp::close::status::going_away, "",
                    ignored);
      return;
    }
    link->state = Link::State::kOpen;
    for (const std::string& payload : std::exchange(link->queue, {}))
      SendNow(*link, payload);
  }

  void OnClosed(const std::string& host, Handle handle) {
    Link* link = FindLink(host, handle);
    if (!link)
      return;
    counters_.messages_dropped += link->queue.size();
    link->queue.clear();
    link->state = Link::State::kClosed;
    link->reconnect_at = SteadyNow() + kReconnectDelay;
  }

  void SendNow(Link& link, const std::string& payload) {
    websocketpp::lib::error_code error;
    const auto connection = client_.get_con_from_hdl(link.handle, error);
    if (error || connection->get_buffered_amount() > kMaxBufferedBytes) {
      ++counters_.messages_dropped;
      return;
    }
    client_.send(link.handle, payload, websocketpp::frame::opcode::binary,
                 error);
    if (error) {
      ++counters_.messages_dropped;
      return;
    }
    ++counters_.messages_sent;
    counters_.bytes_sent += FrameBytes(payload.size(), /*masked=*/true);
  }

  void CloseLink(Link& link) {
    websocketpp::lib::error_code ignored;
    if (link.state != Link::State::kClosed)
      client_.close(link.handle, websocketpp::close::status::going_away, "",
                    ignored);
    link.state = Link::State::kClosed;
    link.queue.clear();
  }

  net::EventLoop& loop_;
  TransportOptions options_;
  MessageHandler on_message_;
  Server server_;
  Client client_;
  std::map<std::string, Link> links_;
  std::map<Handle, HostIncarnation, std::owner_less<Handle>> senders_;
  std::set<std::string> blocked_;
  TransportCounters counters_;
};

}  // namespace

std::unique_ptr<Transport> CreateWebSocketTransport(
    net::EventLoop& loop,
    TransportOptions options,
    Transport::MessageHandler on_message) {
  if (options.tls)
    return std::make_unique<WebSocketTransport<Encrypted>>(
        loop, std::move(options), std::move(on_message));
  return std::make_unique<WebSocketTransport<Plain>>(loop, std::move(options),
                                                     std::move(on_message));
}

}  // namespace teaselhill::peer
