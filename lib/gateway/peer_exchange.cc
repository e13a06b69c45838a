/// \file
/// Sends and receives the messages between hosts.

#include "teaselhill/gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

namespace {

constexpr const char* kBundlePath = "/v1/peer-messages";
/// The path of a single message, for hosts of an older version.
constexpr const char* kMessagePath = "/v1/peer-message";

/// Of the answer to a message, which is empty.
constexpr size_t kMaxMessageAnswerBytes = 1024;

/// Speeds and needs change all day, without any failure.
bool IsOnlyEngineNews(const PeerMessage& message) {
  UpstreamObservations others = message.observations;
  others.speeds.clear();
  others.reserve_needs.clear();
  return !message.observations.empty() && others.empty() &&
         message.records.empty() && !message.cut_off;
}

net::HttpServerOptions WithMessageBound(net::HttpServerOptions server,
                                        const PeerExchangeOptions& options) {
  server.max_body_bytes = options.max_message_bytes;
  return server;
}

}  // namespace

PeerExchange::PeerExchange(net::EventLoop& loop,
                           std::string host,
                           net::HttpServerOptions server,
                           EventLog& log,
                           Handler& handler,
                           PeerExchangeOptions options)
    : loop_(loop),
      host_(std::move(host)),
      log_(log),
      handler_(handler),
      options_(options),
      rng_(EntropySeed()),
      client_(loop, options.max_idle_connections),
      server_(loop, WithMessageBound(std::move(server), options), *this),
      outbox_(options.outbox) {
  client_.UseBudget(options_.memory_budget);
}

void PeerExchange::AddPeers(const std::vector<HostRecord>& records) {
  for (const HostRecord& record : records) {
    if (record.host == host_ || record.peer_address.empty())
      continue;
    peer_addresses_[record.host] = record.peer_address;
    // The host may have started again with a newer version.
    peers_without_bundles_.erase(record.peer_address);
  }
  outbox_.SetFleetSize(peer_addresses_.size() + 1);
}

void PeerExchange::Send(PeerMessage message) {
  message.id = rng_.Next();
  message.sender = host_;
  Remember(message.id);
  outbox_.Add({message.id, Duration::zero(), EncodePeerMessage(message)},
              BootNow());
  SendHeld();
}

void PeerExchange::Handle(net::HttpRequest request,
                          std::shared_ptr<net::ResponseWriter> response) {
  const auto served = call_handlers_.find(request.path);
  if (served != call_handlers_.end())
    return AnswerCall(served->second, request, *response);
  if (request.path == kBundlePath) {
    Result<std::vector<BundledMessage>> bundle = DecodePeerBundle(request.body);
    if (!bundle)
      return RefuseUnreadable(request, bundle.error(), *response);
    response->Respond(200, {}, "");
    return Receive(std::move(*bundle), request);
  }
  if (request.path != kMessagePath)
    return response->Respond(404, {}, "");
  const Result<PeerMessage> message = DecodePeerMessage(request.body);
  if (!message)
    return RefuseUnreadable(request, message.error(), *response);
  response->Respond(200, {}, "");
  Receive({{message->id, Duration::zero(), request.body}}, request);
}

void PeerExchange::Receive(std::vector<BundledMessage> messages,
                           const net::HttpRequest& request) {
  const bool pass_on = peer_addresses_.size() > options_.max_direct_peers;
  const TimePoint now = BootNow();
  std::vector<PeerMessage> received;
  size_t records = 0;
  size_t limits = 0;
  size_t notices = 0;
  size_t speeds = 0;
  size_t reserve_needs = 0;
  for (BundledMessage& bundled : messages) {
    if (known_messages_.count(bundled.id) != 0)
      continue;
    Result<PeerMessage> message = DecodePeerMessage(bundled.text);
    if (!message || message->id != bundled.id) {
      LogUnreadable(request, message ? Error{ResultCode::kProtocolError,
                                             "peer bundle: wrong message id"}
                                     : message.error());
      continue;
    }
    Remember(bundled.id);
    AddAge(bundled.age, &*message);
    records += message->records.size();
    limits += message->observations.limits.size();
    notices += message->observations.notices.size();
    speeds += message->observations.speeds.size();
    reserve_needs += message->observations.reserve_needs.size();
    received.push_back(std::move(*message));
    if (pass_on)
      outbox_.Add(std::move(bundled), now);
  }
  if (received.empty())
    return;
  const bool only_engine_news =
      std::all_of(received.begin(), received.end(), IsOnlyEngineNews);
  log_.Write(only_engine_news ? LineKind::kRoutine : LineKind::kFailure,
             LogLine(LogLevel::kInfo, "peer_message_received")
                 .Field("from", received.front().sender)
                 .Field("messages", static_cast<uint64_t>(received.size()))
                 .Field("records", static_cast<uint64_t>(records))
                 .Field("limits", static_cast<uint64_t>(limits))
                 .Field("notices", static_cast<uint64_t>(notices))
                 .Field("speeds", static_cast<uint64_t>(speeds))
                 .Field("reserve_needs", static_cast<uint64_t>(reserve_needs)),
             now);
  SendHeld();
  handler_.OnPeerMessages(std::move(received));
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
  LogUnreadable(request, error);
  response.Respond(400, {}, "");
}

void PeerExchange::LogUnreadable(const net::HttpRequest& request,
                                 const Error& error) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kWarning, "peer_message_unreadable")
                 .Field("from", request.remote_address)
                 .Field("path", request.path)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message),
             BootNow());
}

void PeerExchange::Serve(const std::string& path, CallHandler handler) {
  call_handlers_[path] = std::move(handler);
}

void PeerExchange::Call(const std::string& address,
                        const std::string& path,
                        std::string body,
                        Duration timeout,
                        CallCallback callback) {
  net::ClientRequest request = MakeCall(address, path.c_str(), std::move(body));
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
      options_.max_message_bytes);
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

void PeerExchange::SendHeld() {
  const TimePoint now = BootNow();
  std::optional<TimePoint> next_due;
  for (const std::string& address : PickPeers()) {
    std::vector<BundledMessage> messages = outbox_.TakeFor(address, now);
    if (!messages.empty()) {
      SendBundle(address, std::move(messages));
      continue;
    }
    const std::optional<TimePoint> due = outbox_.NextDue(address);
    if (due && (!next_due || *due < *next_due))
      next_due = due;
  }
  if (next_due)
    send_timer_ =
        loop_.timers().After(std::max(Duration::zero(), *next_due - now),
                             [this](TimePoint) { SendHeld(); });
}

void PeerExchange::SendBundle(const std::string& address,
                              std::vector<BundledMessage> messages) {
  if (peers_without_bundles_.count(address) != 0)
    return SendSingly(address, messages);
  std::string body = EncodePeerBundle(messages);
  client_.Fetch(
      MakeCall(address, kBundlePath, std::move(body)),
      [this, address, messages = std::move(messages)](
          const Result<net::ClientResponse>& response) {
        if (!response || response->status != 404)
          return OnCallEnded(address, response);
        peers_without_bundles_.insert(address);
        SendSingly(address, messages);
      },
      kMaxMessageAnswerBytes);
}

void PeerExchange::SendSingly(const std::string& address,
                              const std::vector<BundledMessage>& messages) {
  for (size_t i = 0; i < messages.size(); ++i) {
    const bool is_last = i + 1 == messages.size();
    client_.Fetch(
        MakeCall(address, kMessagePath, messages[i].text),
        [this, address, is_last](const Result<net::ClientResponse>& response) {
          if (is_last)
            OnCallEnded(address, response);
        },
        kMaxMessageAnswerBytes);
  }
}

net::ClientRequest PeerExchange::MakeCall(const std::string& address,
                                          const char* path,
                                          std::string body) const {
  net::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + address + path;
  request.body = std::move(body);
  request.connect_timeout = options_.timeout;
  request.total_timeout = options_.timeout;
  return request;
}

void PeerExchange::OnCallEnded(const std::string& address,
                               const Result<net::ClientResponse>& response) {
  outbox_.OnCallEnded(address);
  if (!response)
    LogUnreachable(address, response.error());
  SendHeld();
}

void PeerExchange::LogUnreachable(const std::string& address,
                                  const Error& error) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "peer_unreachable")
                 .Field("address", address)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message),
             BootNow());
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
