/// \file
/// Messages about upstreams that hosts exchange.

#ifndef TEASELHILL_ROUTING_MESSAGES_H_
#define TEASELHILL_ROUTING_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// Number of an upstream in messages, which follows from its name, so that
/// hosts need not agree on it.
using UpstreamNumber = uint32_t;
UpstreamNumber NumberOf(std::string_view upstream);

/// What one host has sent to one upstream.
struct UpstreamSendsEntry {
  UpstreamNumber upstream = 0;
  uint32_t sent = 0;           ///< attempts started since the previous message
  uint32_t ended = 0;          ///< attempts ended since the previous message
  uint32_t in_flight = 0;      ///< attempts in flight now
  uint32_t non_resumable = 0;  ///< of these, attempts that may not be repeated
  uint32_t suspects = 0;       ///< of these, suspects of a crash
  Duration between_tokens{};   ///< pace seen by the sender; zero: not seen
};

/// Entries only of upstreams with a change since the previous message, and of
/// those with attempts in flight that were not told for a while.
struct UpstreamSends {
  HostIncarnation sender;  ///< known from the link, not sent
  uint64_t sequence = 0;   ///< ascending per sender; older ones are ignored
  std::vector<UpstreamSendsEntry> entries;
};

/// The last load report of an engine that the sender polls.
struct EngineReportEntry {
  UpstreamNumber upstream = 0;
  uint32_t load = 0;  ///< running and waiting requests
  uint32_t max_batch = 0;
  uint32_t tokens_per_second = 0;
  Duration age{};  ///< since the measurement
};

struct EngineReports {
  HostIncarnation sender;  ///< known from the link, not sent
  std::vector<EngineReportEntry> entries;
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
