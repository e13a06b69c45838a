/// \file
/// Message links between hosts over WebSocket.

#ifndef TEASELHILL_PEER_TRANSPORT_H_
#define TEASELHILL_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/tls.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::peer {

struct PeerAddress {
  std::string host;
  std::string address;  ///< IP number
  uint16_t port = 0;
};

struct TransportOptions {
  HostIncarnation self;
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Shared by all hosts; separate from caller and operator keys.
  std::string secret;
  /// Null: plain. Otherwise both sides show a certificate that the CA signed
  /// and that names their IP number.
  std::shared_ptr<net::TlsContext> tls = nullptr;
};

/// Bytes of messages with their WebSocket frame heads since the start, for the
/// control budget. Heads of lower layers and handshakes are not counted.
struct TransportCounters {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t messages_dropped = 0;
};

/// Sends and receives whole messages. Delivery is best effort: a message to a
/// host that cannot be reached is dropped and counted. All functions are called
/// on the loop's thread.
class Transport {
 public:
  using MessageHandler =
      std::function<void(const HostIncarnation& from, std::string payload)>;

  virtual ~Transport() = default;

  /// Binds the listener; kBindFailed names the address.
  virtual Status Start() = 0;
  virtual uint16_t port() const = 0;

  /// Sets the hosts that can be sent to; links to others are closed.
  virtual void SetPeers(const std::vector<PeerAddress>& peers) = 0;

  /// Sends over the link to `host`, which is dialled when it is not open.
  virtual void Send(const std::string& host, std::string payload) = 0;

  /// Refuses messages from and to these hosts, so that an operator can isolate
  /// a host and a test can cut a failure domain off.
  virtual void SetBlocked(std::set<std::string> hosts) = 0;

  virtual const TransportCounters& counters() const = 0;
};

/// Creates the WebSocket transport.
std::unique_ptr<Transport> CreateWebSocketTransport(
    net::EventLoop& loop,
    TransportOptions options,
    Transport::MessageHandler on_message);

}  // namespace teaselhill::peer

#endif  // TEASELHILL_PEER_TRANSPORT_H_
