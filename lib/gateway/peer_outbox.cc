/// \file
/// Holds messages until each peer may be called.

#include "teaselhill/gateway/peer_outbox.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

void PeerOutbox::SetFleetSize(size_t hosts) {
  interval_ =
      std::max<Duration>(options_.min_interval,
                         options_.interval_per_host * static_cast<int>(hosts));
}

void PeerOutbox::Add(BundledMessage message, TimePoint now) {
  DropOld(now);
  if (messages_.size() >= options_.max_messages)
    DropFirst();
  messages_.push_back({std::move(message), now});
}

void PeerOutbox::DropFirst() {
  messages_.pop_front();
  ++first_;
}

void PeerOutbox::DropOld(TimePoint now) {
  while (!messages_.empty() &&
         now - messages_.front().added_at > options_.max_wait)
    DropFirst();
}

std::vector<BundledMessage> PeerOutbox::TakeFor(const std::string& peer,
                                                TimePoint now) {
  DropOld(now);
  const std::optional<TimePoint> due = NextDue(peer);
  if (!due || *due > now)
    return {};
  Peer& state = peers_[peer];
  std::vector<BundledMessage> taken;
  size_t bytes = 0;
  for (state.next = std::max(state.next, first_); state.next < end();
       ++state.next) {
    const Held& held = messages_[state.next - first_];
    bytes += held.message.text.size();
    if (!taken.empty() && bytes > options_.max_call_bytes)
      break;
    taken.push_back(held.message);
    taken.back().age += now - held.added_at;
  }
  state.in_call = true;
  state.called_at = now;
  return taken;
}

void PeerOutbox::OnCallEnded(const std::string& peer) {
  peers_[peer].in_call = false;
}

std::optional<TimePoint> PeerOutbox::NextDue(const std::string& peer) const {
  if (messages_.empty())
    return std::nullopt;
  const auto found = peers_.find(peer);
  if (found == peers_.end())
    return messages_.front().added_at;
  const Peer& state = found->second;
  if (state.in_call || state.next >= end())
    return std::nullopt;
  const Held& first = messages_[std::max(state.next, first_) - first_];
  return state.called_at
             ? std::max(first.added_at, *state.called_at + interval_)
             : first.added_at;
}

}  // namespace teaselhill::gateway
