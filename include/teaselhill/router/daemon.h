/// \file
/// The router daemon: control thread, traffic threads and shutdown.

#ifndef TEASELHILL_ROUTER_DAEMON_H_
#define TEASELHILL_ROUTER_DAEMON_H_

#include "teaselhill/router/settings.h"

namespace teaselhill::router {

/// Runs until SIGTERM or SIGINT, then drains. Returns the exit code: 0, or the
/// class of the result code (its number divided by 1000) if the start failed.
int RunDaemon(const Settings& settings);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_DAEMON_H_
