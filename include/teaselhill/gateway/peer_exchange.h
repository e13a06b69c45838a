/// \file
/// Sends messages from host to host, beside the fleet's log.

#ifndef TEASELHILL_GATEWAY_PEER_EXCHANGE_H_
#define TEASELHILL_GATEWAY_PEER_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/peer_calls.h"
#include "teaselhill/gateway/peer_message.h"
#include "teaselhill/gateway/peer_outbox.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

struct PeerExchangeOptions {
  /// Number of peers up to which a host sends a message to all of them. In a
  /// larger fleet it sends to those at distances of 1, 2, 4 and so on in a ring
  /// of all hosts, and each host passes a message on once in the same way.
  size_t max_direct_peers = 8;
  Duration timeout = std::chrono::milliseconds(500);
  /// Largest message, and largest answer to a call.
  size_t max_message_bytes = 1 << 20;
  /// Connections to other hosts that are kept for reuse. The holder of the
  /// duties calls each host each second.
  size_t max_idle_connections = 16;
  /// Counts unfinished answers; must outlive the exchange. Null: none.
  net::MemoryBudget* memory_budget = nullptr;
  /// Messages that are remembered so that they are passed on only once.
  size_t max_known_messages = 16384;
  PeerOutboxOptions outbox;
};

/// Messages reach the other hosts within milliseconds, also while the fleet's
/// log is unreachable; in a burst they are joined, and take somewhat longer.
/// Nothing is retried: the log brings crash records as well, and keeps them,
/// and limits are seen again. Used on one event loop.
class PeerExchange : public PeerCalls, private net::HttpHandler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Messages that arrived together, each for the first time. Their ages are
    /// up to date.
    virtual void OnPeerMessages(std::vector<PeerMessage> messages) = 0;
  };

  /// `host`: name of this host. `server`: where to listen.
  PeerExchange(net::EventLoop& loop,
               std::string host,
               net::HttpServerOptions server,
               EventLog& log,
               Handler& handler,
               PeerExchangeOptions options = {});

  /// Binds the listener; kBindFailed names the address.
  Status Start() { return server_.Start(); }
  uint16_t port() const { return server_.port(); }

  /// Adds the hosts that announce an address, other than this one.
  void AddPeers(const std::vector<HostRecord>& records);

  /// Fills in the id and the sender.
  void Send(PeerMessage message);

  void Serve(const std::string& path, CallHandler handler) override;
  void Call(const std::string& address,
            const std::string& path,
            std::string body,
            Duration timeout,
            CallCallback callback) override;

  /// Addresses of at most `count` peers, in an order that depends on the key
  /// and is the same on all hosts.
  std::vector<std::string> PeersFor(const std::string& key, size_t count) const;

 private:
  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override;
  /// Passes on what is new among the messages, and tells the handler.
  void Receive(std::vector<BundledMessage> messages,
               const net::HttpRequest& request);
  void AnswerCall(const CallHandler& handler,
                  const net::HttpRequest& request,
                  net::ResponseWriter& response);
  void RefuseUnreadable(const net::HttpRequest& request,
                        const Error& error,
                        net::ResponseWriter& response);
  void LogUnreadable(const net::HttpRequest& request, const Error& error);
  /// Returns whether the message was not known before.
  bool Remember(uint64_t message_id);
  /// Calls each peer to which messages may be sent now, and arms the timer for
  /// the others.
  void SendHeld();
  void SendBundle(const std::string& address,
                  std::vector<BundledMessage> messages);
  /// To a host of an older version, which takes no bundles.
  void SendSingly(const std::string& address,
                  const std::vector<BundledMessage>& messages);
  net::ClientRequest MakeCall(const std::string& address,
                              const char* path,
                              std::string body) const;
  void OnCallEnded(const std::string& address,
                   const Result<net::ClientResponse>& response);
  void LogUnreachable(const std::string& address, const Error& error);
  std::vector<std::string> PickPeers() const;

  net::EventLoop& loop_;
  std::string host_;
  EventLog& log_;
  Handler& handler_;
  PeerExchangeOptions options_;
  Rng rng_;
  net::HttpClient client_;
  net::HttpServer server_;
  std::map<std::string, std::string> peer_addresses_;  ///< by host
  std::map<std::string, CallHandler> call_handlers_;   ///< by path
  std::unordered_set<uint64_t> known_messages_;
  std::deque<uint64_t> known_messages_by_age_;
  PeerOutbox outbox_;
  std::set<std::string> peers_without_bundles_;  ///< by address
  TimerSubscription send_timer_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_EXCHANGE_H_
