/// \file
/// Messages about upstreams that hosts exchange.

#ifndef TEASELHILL_ROUTING_MESSAGES_H_
#define TEASELHILL_ROUTING_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// What one host has sent to one upstream.
struct UpstreamSendsEntry {
  std::string upstream;
  uint32_t sent = 0;           ///< attempts started since the previous message
  uint32_t ended = 0;          ///< attempts ended since the previous message
  uint32_t in_flight = 0;      ///< attempts in flight now
  uint32_t non_resumable = 0;  ///< of these, attempts that may not be repeated
  uint32_t suspects = 0;       ///< of these, suspects of a crash
  Duration between_tokens{};   ///< pace seen by the sender; zero: not seen
};

/// Entries only of upstreams with a change since the previous message or with
/// attempts in flight.
struct UpstreamSends {
  HostIncarnation sender;
  uint64_t sequence = 0;  ///< ascending per sender; older ones are ignored
  std::vector<UpstreamSendsEntry> entries;
};

/// The upstreams that the sender itself knows to be leaving. It replaces the
/// sender's earlier message, so a missing upstream withdraws its mark. Marks
/// learnt from peers are not passed on.
struct UpstreamLeaving {
  HostIncarnation sender;
  uint64_t sequence = 0;  ///< ascending per sender; older ones are ignored
  std::vector<std::string> upstreams;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_MESSAGES_H_
