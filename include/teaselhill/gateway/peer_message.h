/// \file
/// Messages between the hosts of the gateway.

#ifndef TEASELHILL_GATEWAY_PEER_MESSAGE_H_
#define TEASELHILL_GATEWAY_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/gateway/upstream_notices.h"
#include "teaselhill/support/result.h"

namespace teaselhill::gateway {

/// What one host has to share. Times are ages, so that the clocks of the hosts
/// need not agree.
struct PeerMessage {
  uint64_t id = 0;  ///< differs between all messages
  std::string sender;
  std::vector<CrashRecord> records;
  UpstreamObservations observations;
  /// Whether the sender is cut from all upstreams; nothing: no news.
  std::optional<bool> cut_off;
};

/// Encodes the message as CBOR.
std::string EncodePeerMessage(const PeerMessage& message);

/// kProtocolError if the text is not a message.
Result<PeerMessage> DecodePeerMessage(std::string_view text);

/// Brings what the message tells up to date: it was encoded `age` ago.
void AddAge(Duration age, PeerMessage* message);

/// An encoded message on its way from host to host.
struct BundledMessage {
  uint64_t id = 0;  ///< PeerMessage::id
  Duration age{};   ///< for which hosts have held it; the way is not counted
  std::string text;
};

/// Encodes the messages of one call as CBOR.
std::string EncodePeerBundle(const std::vector<BundledMessage>& messages);

/// kProtocolError if the text is not a bundle. The messages in it are not
/// decoded.
Result<std::vector<BundledMessage>> DecodePeerBundle(std::string_view text);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_MESSAGE_H_
