/// \file
/// Options of the gateway's listeners.

#ifndef TEASELHILL_LIB_GATEWAY_LISTENER_OPTIONS_H_
#define TEASELHILL_LIB_GATEWAY_LISTENER_OPTIONS_H_

#include <cstddef>

#include "teaselhill/gateway/daemon.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/net/memory_budget.h"

namespace teaselhill::gateway {

net::HttpServerOptions MakeListenerOptions(const Endpoint& endpoint,
                                           size_t max_connections,
                                           net::MemoryBudget& memory_budget);

/// Of listeners whose requests need no body. A readiness check is answered
/// however much other messages hold.
net::HttpServerOptions MakeProbeOptions(const Endpoint& endpoint,
                                        size_t max_connections,
                                        net::MemoryBudget& memory_budget);

/// Each caller may need a second descriptor for the connection to its
/// upstream.
size_t MaxCallerConnections(size_t max_descriptors);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_LISTENER_OPTIONS_H_
