/// \file
/// TLS contexts of the daemon.

#ifndef TEASELHILL_ROUTER_TLS_SETUP_H_
#define TEASELHILL_ROUTER_TLS_SETUP_H_

#include <memory>

#include "teaselhill/net/tls.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Both are null if TLS is disabled.
struct TlsSetup {
  std::shared_ptr<net::TlsContext> clients;  ///< for callers and operators
  std::shared_ptr<net::TlsContext> hosts;    ///< mutual authentication of hosts

  bool enabled() const { return clients != nullptr; }
};

/// Loads the TLS contexts. If no certificate is configured, both are null.
Result<TlsSetup> LoadTls(const net::TlsFiles& files);

/// Reloads changed files and logs the result. If no file has changed, logs only
/// if `log_unchanged` is set. If the files are unusable, the ones loaded before
/// stay in use.
void ReloadTls(const TlsSetup& setup, bool log_unchanged, Logger& logger);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_TLS_SETUP_H_
