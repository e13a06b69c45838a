/// \file
/// The router daemon: control thread, traffic threads and shutdown.

#ifndef TEASELHILL_ROUTER_DAEMON_H_
#define TEASELHILL_ROUTER_DAEMON_H_

#include "teaselhill/router/settings.h"

namespace teaselhill::router {

/// Runs until SIGTERM or SIGINT and the end of what is in flight. Returns the
/// exit code: 0, or the class of the result code that stopped the start.
int RunDaemon(const Settings& settings);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_DAEMON_H_
