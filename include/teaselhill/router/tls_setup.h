/// \file
/// The TLS contexts of one daemon.

#ifndef TEASELHILL_ROUTER_TLS_SETUP_H_
#define TEASELHILL_ROUTER_TLS_SETUP_H_

#include <memory>

#include "teaselhill/net/tls.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Both are null when TLS is off.
struct TlsSetup {
  std::shared_ptr<net::TlsContext> clients;  ///< for callers and operators
  std::shared_ptr<net::TlsContext> hosts;    ///< certificates on both sides

  bool enabled() const { return clients != nullptr; }
};

Result<TlsSetup> LoadTls(const net::TlsFiles& files);

/// Reads changed files again and logs what came of it. With `always` also when
/// nothing has changed. Files that cannot be used leave the old ones in force.
void ReloadTls(const TlsSetup& setup, bool always, Logger& logger);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_TLS_SETUP_H_
