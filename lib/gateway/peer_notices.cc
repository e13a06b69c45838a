/// \file
/// Asks other hosts what they know of upstreams, and answers such questions.

#include "teaselhill/gateway/peer_notices.h"

#include <chrono>
#include <iterator>
#include <utility>

#include "teaselhill/gateway/peer_message.h"

namespace teaselhill::gateway {

namespace {

constexpr const char* kQueryPath = "/v1/leaving-upstreams";

/// Hosts that are asked: one of them may have started as well.
constexpr size_t kAskedHosts = 3;

constexpr std::chrono::milliseconds kQueryTimeout{500};

}  // namespace

PeerNotices::PeerNotices(PeerExchange& exchange,
                         std::string own_host,
                         const SharedState& shared_state)
    : exchange_(exchange),
      own_host_(std::move(own_host)),
      shared_state_(shared_state) {
  exchange_.Serve(kQueryPath, [this](const std::string&) { return OnQuery(); });
}

void PeerNotices::Remember(const UpstreamObservations& observations) {
  for (const NoticeObservation& notice : observations.notices) {
    if (notice.leaving)
      leaving_.insert(notice.upstream);
  }
  for (const engines::EngineSpeed& speed : observations.speeds) {
    // A host that starts assumes the usual speed.
    if (speed.speed == 1)
      speeds_.erase(speed.engine);
    else
      speeds_[speed.engine] = speed;
  }
}

void PeerNotices::AskOnce(
    const std::function<void(UpstreamObservations)>& told) {
  if (asked_)
    return;
  for (const std::string& address :
       exchange_.PeersFor(own_host_, kAskedHosts)) {
    asked_ = true;
    exchange_.Call(address, kQueryPath, "", kQueryTimeout,
                   [this, told](const Result<std::string>& body) {
                     if (!body)
                       return;
                     Result<PeerMessage> message = DecodePeerMessage(*body);
                     if (!message || message->observations.empty())
                       return;
                     Remember(message->observations);
                     told(std::move(message->observations));
                   });
  }
}

Result<std::string> PeerNotices::OnQuery() {
  Expire();
  PeerMessage message;
  for (const UpstreamProcess& process : leaving_)
    message.observations.notices.push_back({process, /*leaving=*/true, {}});
  for (const auto& [process, speed] : speeds_)
    message.observations.speeds.push_back(speed);
  return EncodePeerMessage(message);
}

void PeerNotices::Expire() {
  const auto upstreams = shared_state_.upstreams();
  if (!upstreams)
    return;
  for (auto it = leaving_.begin(); it != leaving_.end();)
    it = upstreams->Lists(*it) ? std::next(it) : leaving_.erase(it);
  for (auto it = speeds_.begin(); it != speeds_.end();)
    it = upstreams->Lists(it->first) ? std::next(it) : speeds_.erase(it);
}

}  // namespace teaselhill::gateway
