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

/// Identifies an upstream in messages. Derived from its name by hashing, so
/// that hosts need not agree on numbers.
using UpstreamHash = uint32_t;
UpstreamHash HashUpstreamName(std::string_view upstream);

/// The attempts that one host has sent to one upstream.
struct UpstreamSendsEntry {
  UpstreamHash upstream = 0;
  uint32_t sent = 0;           ///< attempts started since the previous message
  uint32_t ended = 0;          ///< attempts ended since the previous message
  uint32_t in_flight = 0;      ///< attempts in flight now
  uint32_t non_resumable = 0;  ///< of `in_flight`: not to be retried
  uint32_t suspects = 0;       ///< of `in_flight`: crash suspects
  Duration time_per_token{};   ///< measured by the sender; zero: unknown
};

/// The sender's attempts, for the upstreams whose counts have changed since the
/// previous message and those whose counts are due to be published again.
struct UpstreamSends {
  HostIncarnation sender;  ///< known from the connection, not serialized
  uint64_t sequence = 0;   ///< ascending per sender; older ones are ignored
  std::vector<UpstreamSendsEntry> entries;
};

/// The latest load report of an engine that the sender polls.
struct EngineReportEntry {
  UpstreamHash upstream = 0;
  uint32_t load = 0;  ///< running and waiting requests
  uint32_t max_batch = 0;
  uint32_t tokens_per_second = 0;
  Duration age{};  ///< time since the load was measured
};

struct EngineReports {
  HostIncarnation sender;  ///< known from the connection, not serialized
  std::vector<EngineReportEntry> entries;
};

/// The upstreams that the sender itself knows to be leaving. Each message
/// replaces the sender's previous message, so an upstream that is no longer
/// listed loses the leaving mark of this sender. Marks received from peers are
/// not forwarded.
struct UpstreamLeaving {
  HostIncarnation sender;
  uint64_t sequence = 0;  ///< ascending per sender; older ones are ignored
  std::vector<std::string> upstreams;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_MESSAGES_H_
