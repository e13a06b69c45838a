/// \file
/// Transport of messages between hosts over WebSocket.

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
  std::string address;  ///< IP address
  uint16_t port = 0;
};

struct TransportOptions {
  HostIncarnation self;
  std::string address = "127.0.0.1";  ///< IP address of the listener
  uint16_t port = 0;                  ///< 0: chosen by the system
  /// Secret that all hosts share; independent of caller and operator keys.
  std::string secret;
  /// Null: no TLS. Otherwise both sides of a link must present a certificate
  /// that the CA signed, and the certificate of the listening side must contain
  /// the IP address of the listening side.
  std::shared_ptr<net::TlsContext> tls = nullptr;
};

/// Counts since the start of the transport, for the budget of control traffic.
/// Bytes include the messages and their WebSocket frame headers, but neither
/// handshakes nor the headers of lower layers.
struct TransportCounters {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t messages_dropped = 0;
};

/// Sends messages to peers and receives messages from peers. Delivery is best
/// effort: a message to an unreachable host is dropped and counted. All
/// functions must be called on the event loop's thread.
class Transport {
 public:
  using MessageHandler =
      std::function<void(const HostIncarnation& from, std::string payload)>;

  virtual ~Transport() = default;

  /// Starts the listener. Returns kBindFailed, with the address in the message,
  /// if the address cannot be bound.
  virtual Status Start() = 0;

  /// Returns the port of the listener.
  virtual uint16_t port() const = 0;

  /// Sets the hosts to which messages can be sent. Links to other hosts are
  /// closed.
  virtual void SetPeers(const std::vector<PeerAddress>& peers) = 0;

  /// Sends a message over the link to `host`. The link is opened if it is
  /// closed.
  virtual void Send(const std::string& host, std::string payload) = 0;

  /// Drops messages from and to `hosts`. Used by operators to isolate a host
  /// and by tests to partition a failure domain. Replaces the previous set.
  virtual void SetBlocked(std::set<std::string> hosts) = 0;

  virtual const TransportCounters& counters() const = 0;
};

/// Creates the WebSocket transport. `loop` must outlive the transport.
std::unique_ptr<Transport> CreateWebSocketTransport(
    net::EventLoop& loop,
    TransportOptions options,
    Transport::MessageHandler on_message);

}  // namespace teaselhill::peer

#endif  // TEASELHILL_PEER_TRANSPORT_H_
