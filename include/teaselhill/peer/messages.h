/// \file
/// Messages between hosts and their CBOR codec.

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

/// Offset of the first configuration record not in force at the sender.
struct ConfigHint {
  LogOffset next_offset = 0;
};

/// Asks for the configuration state when the receiver has more than this.
struct ConfigFetch {
  LogOffset next_offset = 0;
};

/// The sender's configuration state as `config::ConfigState::Export` makes it.
struct ConfigTransfer {
  std::string state;
};

/// Asks for everything known about crashes; sent by a host that joins.
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

/// Returns the CBOR form: an array of the type's number and its fields, which
/// takes fewer bytes than maps with names.
std::string Encode(const Message& message);

/// Name of a message type by its index in `Message`, for metrics.
std::string_view MessageTypeName(size_t index);

/// Index in `Message` of what `Encode` made.
size_t EncodedType(const std::string& payload);

/// kProtocolError: not CBOR, an unknown type, or fields of other types.
Result<Message> Decode(const std::string& payload);

}  // namespace teaselhill::peer

#endif  // TEASELHILL_PEER_MESSAGES_H_
