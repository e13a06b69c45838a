/// \file
/// Joins the messages to other hosts, so that a burst of news costs each host a
/// bounded number of calls.

#ifndef TEASELHILL_GATEWAY_PEER_OUTBOX_H_
#define TEASELHILL_GATEWAY_PEER_OUTBOX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/peer_message.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct PeerOutboxOptions {
  /// Time between two calls to one peer. It grows with the fleet, since each
  /// message reaches each host: the fleet as a whole then makes about the same
  /// number of calls at any size. In a burst a message waits so at each host on
  /// its way, log2(hosts) of them at most.
  Duration interval_per_host = std::chrono::microseconds(500);
  Duration min_interval = std::chrono::milliseconds(20);
  /// Messages that a peer has not been sent in this time, because it does not
  /// answer, are dropped.
  Duration max_wait = std::chrono::seconds(2);
  size_t max_messages = 4096;
  /// Bound on the texts of one call, unless one message alone exceeds it.
  size_t max_call_bytes = 256 << 10;
};

/// Holds the messages that this host sends or passes on. A peer has at most one
/// call in progress; what comes meanwhile, or within the interval after the
/// last call, is sent together. A message after a quiet time is sent at once.
///
/// Deterministic: time is an argument.
class PeerOutbox {
 public:
  explicit PeerOutbox(PeerOutboxOptions options = {}) : options_(options) {}

  void SetFleetSize(size_t hosts);
  Duration interval() const { return interval_; }

  /// `message.age` is as of `now`.
  void Add(BundledMessage message, TimePoint now);

  /// Begins a call: the messages that the peer has not been sent, with their
  /// ages as of `now`. Empty: there are none, or they have to wait. The call is
  /// in progress until OnCallEnded().
  std::vector<BundledMessage> TakeFor(const std::string& peer, TimePoint now);
  void OnCallEnded(const std::string& peer);

  /// When messages for the peer may be sent; nothing if there are none, or if a
  /// call is in progress.
  std::optional<TimePoint> NextDue(const std::string& peer) const;

  size_t size() const { return messages_.size(); }

 private:
  struct Held {
    BundledMessage message;
    TimePoint added_at;
  };
  struct Peer {
    uint64_t next = 0;  ///< number of the first message that it was not sent
    bool in_call = false;
    std::optional<TimePoint> called_at;
  };

  void DropFirst();
  void DropOld(TimePoint now);
  uint64_t end() const { return first_ + messages_.size(); }

  PeerOutboxOptions options_;
  Duration interval_ = options_.min_interval;
  std::deque<Held> messages_;
  uint64_t first_ = 0;  ///< number of the first message held
  std::map<std::string, Peer> peers_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_OUTBOX_H_
