/// \file
/// Messages between hosts, and their CBOR encoding.

#ifndef TEASELHILL_PEER_MESSAGES_H_
#define TEASELHILL_PEER_MESSAGES_H_

#include <string>
#include <string_view>
#include <variant>

#include "teaselhill/membership/messages.h"
#include "teaselhill/quota/messages.h"
#include "teaselhill/retry/messages.h"
#include "teaselhill/routing/messages.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::peer {

/// Reports the offset of the first configuration record that is not in force at
/// the sender.
struct ConfigHint {
  LogOffset next_offset = 0;
  /// The sender has no answer from the log.
  bool log_unreachable = false;
};

/// Requests the configuration state of a receiver whose next offset is higher
/// than `next_offset`.
struct ConfigFetch {
  LogOffset next_offset = 0;
};

/// Carries the sender's configuration state, as returned by
/// config::ConfigState::Export().
struct ConfigTransfer {
  std::string state;
};

/// Requests all crash reports and suspicions that the receiver has. Sent by a
/// host that joins the fleet.
struct CrashFetch {};

using Message = std::variant<membership::Ping,
                             membership::Ack,
                             membership::IndirectPing,
                             quota::HostDemand,
                             quota::DomainDemand,
                             quota::ShareGrant,
                             routing::UpstreamSends,
                             routing::UpstreamLeaving,
                             retry::CrashSuspicion,
                             ConfigHint,
                             ConfigFetch,
                             ConfigTransfer,
                             CrashFetch,
                             routing::EngineReports>;

/// Returns the CBOR encoding: an array of the type's index in `Message` and an
/// array of the fields. Arrays take fewer bytes than maps with field names.
std::string Encode(const Message& message);

/// Returns the name of a message type by its index in `Message`, for metrics.
std::string_view MessageTypeName(size_t index);

/// Returns the index in `Message` of a payload that Encode() returned.
size_t EncodedTypeIndex(const std::string& payload);

/// Parses a payload. Returns kProtocolError if the payload is not CBOR, the
/// message type is unknown, or a field is missing or has a wrong type.
Result<Message> Decode(const std::string& payload);

}  // namespace teaselhill::peer

#endif  // TEASELHILL_PEER_MESSAGES_H_
