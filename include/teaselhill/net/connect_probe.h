/// \file
/// Checks whether a process listens at an address.

#ifndef TEASELHILL_NET_CONNECT_PROBE_H_
#define TEASELHILL_NET_CONNECT_PROBE_H_

#include <functional>
#include <string>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

enum class ProbeResult {
  kListening,
  kNotListening,  ///< the machine answered that no process listens
  kUnknown,       ///< no answer in time, or the address is invalid
};

/// Opens a TCP connection to `address` (IP address and port) and closes it
/// without sending anything. Calls `done` on the loop's thread.
void ProbeConnect(EventLoop& loop,
                  const std::string& address,
                  Duration timeout,
                  std::function<void(ProbeResult)> done);

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_CONNECT_PROBE_H_
