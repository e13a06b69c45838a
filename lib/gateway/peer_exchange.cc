/// \file
/// Sends and receives the messages between hosts.

#include "teaselhill/gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

namespace {

constexpr const char* kMessagePath = "/v1/peer-message";
constexpr size_t kMaxIdleConnections = 16;
constexpr size_t kMaxAnswerBytes = 4 << 20;

}  // namespace

PeerExchange::PeerExchange(net::EventLoop& loop,
                           std::string host,
                           net::HttpServerOptions server,
                           EventLog& log,
                           Handler& handler,
                           PeerExchangeOptions options)
    : host_(std::move(host)),
      log_(log),
      handler_(handler),
      options_(options),
      rng_(EntropySeed()),
      client_(loop, kMaxIdleConnections),
      server_(loop, std::move(server), *this) {}

void PeerExchange::AddPeers(const std::vector<HostRecord>& records) {
  for (const HostRecord& record : records) {
    if (record.host != host_ && !record.peer_address.empty())
      peer_addresses_[record.host] = record.peer_address;
  }
}

void PeerExchange::Send(PeerMessage message) {
  message.id = rng_.Next();
  message.sender = host_;
  Remember(message.id);
  SendToPeers(EncodePeerMessage(message));
}

void PeerExchange::Handle(net::HttpRequest request,
                          std::shared_ptr<net::ResponseWriter> response) {
  const auto served = call_handlers_.find(request.path);
  if (served != call_handlers_.end())
    return AnswerCall(served->second, request, *response);
  if (request.path != kMessagePath)
    return response->Respond(404, {}, "");
  Result<PeerMessage> message = DecodePeerMessage(request.body);
  if (!message)
    return RefuseUnreadable(request, message.error(), *response);
  response->Respond(200, {}, "");
  if (!Remember(message->id))
    return;
  log_.Write(
      LineKind::kFailure,
      LogLine(LogLevel::kInfo, "peer_message_received")
          .Field("from", message->sender)
          .Field("records", static_cast<uint64_t>(message->records.size()))
          .Field("limits",
                 static_cast<uint64_t>(message->observations.limits.size()))
          .Field("notices",
                 static_cast<uint64_t>(message->observations.notices.size())),
      BootNow());
  if (peer_addresses_.size() > options_.max_direct_peers)
    SendToPeers(request.body);
  handler_.OnPeerMessage(std::move(*message));
}

void PeerExchange::AnswerCall(const CallHandler& handler,
                              const net::HttpRequest& request,
                              net::ResponseWriter& response) {
  Result<std::string> body = handler(request.body);
  if (!body)
    return RefuseUnreadable(request, body.error(), response);
  response.Respond(200, {}, std::move(*body));
}

void PeerExchange::RefuseUnreadable(const net::HttpRequest& request,
                                    const Error& error,
                                    net::ResponseWriter& response) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kWarning, "peer_message_unreadable")
                 .Field("from", request.remote_address)
                 .Field("path", request.path)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message),
             BootNow());
  response.Respond(400, {}, "");
}

void PeerExchange::Serve(const std::string& path, CallHandler handler) {
  call_handlers_[path] = std::move(handler);
}

void PeerExchange::Call(const std::string& address,
                        const std::string& path,
                        std::string body,
                        Duration timeout,
                        CallCallback callback) {
  net::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + address + path;
  request.body = std::move(body);
  request.connect_timeout = timeout;
  request.total_timeout = timeout;
  client_.Fetch(
      std::move(request),
      [callback =
           std::move(callback)](const Result<net::ClientResponse>& response) {
        if (!response)
          return callback(response.error());
        if (response->status != 200)
          return callback({ResultCode::kProtocolError,
                           "status " + std::to_string(response->status)});
        callback(response->body);
      },
      kMaxAnswerBytes);
}

std::vector<std::string> PeerExchange::PeersFor(const std::string& key,
                                                size_t count) const {
  const uint64_t seed = Hash64(key);
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const auto& [host, address] : peer_addresses_)
    ranked.emplace_back(Hash64(host, seed), address);
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> addresses;
  for (size_t i = 0; i < std::min(count, ranked.size()); ++i)
    addresses.push_back(ranked[i].second);
  return addresses;
}

bool PeerExchange::Remember(uint64_t message_id) {
  if (!known_messages_.insert(message_id).second)
    return false;
  known_messages_by_age_.push_back(message_id);
  if (known_messages_by_age_.size() > options_.max_known_messages) {
    known_messages_.erase(known_messages_by_age_.front());
    known_messages_by_age_.pop_front();
  }
  return true;
}

void PeerExchange::SendToPeers(const std::string& body) {
  for (const std::string& address : PickPeers()) {
    net::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + address + kMessagePath;
    request.body = body;
    request.connect_timeout = options_.timeout;
    request.total_timeout = options_.timeout;
    client_.Fetch(
        std::move(request),
        [this, address](const Result<net::ClientResponse>& response) {
          if (response)
            return;
          log_.Write(LineKind::kFailure,
                     LogLine(LogLevel::kInfo, "peer_unreachable")
                         .Field("address", address)
                         .Field("code", static_cast<int>(response.error().code))
                         .Field("fault", response.error().message),
                     BootNow());
        });
  }
}

std::vector<std::string> PeerExchange::PickPeers() const {
  // The hosts form a ring in the order of their names.
  std::vector<std::string> ring;
  const auto next = peer_addresses_.upper_bound(host_);
  for (auto it = next; it != peer_addresses_.end(); ++it)
    ring.push_back(it->second);
  for (auto it = peer_addresses_.begin(); it != next; ++it)
    ring.push_back(it->second);
  if (ring.size() <= options_.max_direct_peers)
    return ring;
  std::vector<std::string> picked;
  for (size_t distance = 1; distance <= ring.size(); distance *= 2)
    picked.push_back(ring[distance - 1]);
  return picked;
}

}  // namespace teaselhill::gateway
