/// \file
/// Loads and reloads the daemon's certificates.

#include "teaselhill/router/tls_setup.h"

namespace teaselhill::router {

Result<TlsSetup> LoadTls(const net::TlsFiles& files) {
  TlsSetup setup;
  if (!files.enabled())
    return setup;
  auto clients = net::TlsContext::Load(files, net::PeerCertificate::kNotAsked);
  if (!clients)
    return clients.error();
  auto hosts = net::TlsContext::Load(files, net::PeerCertificate::kRequired);
  if (!hosts)
    return hosts.error();
  setup.clients = *clients;
  setup.hosts = *hosts;
  return setup;
}

void ReloadTls(const TlsSetup& setup, bool log_unchanged, Logger& logger) {
  for (const auto& context : {setup.clients, setup.hosts}) {
    if (!context)
      return;
    const Result<bool> changed = context->ReloadIfChanged();
    if (!changed) {
      logger.Write(LogLine(LogLevel::kError, "tls_reload_failed")
                       .Field("code", static_cast<int>(changed.error().code))
                       .Field("fault", changed.error().message));
      return;
    }
    if (context == setup.clients && (log_unchanged || *changed))
      logger.Write(LogLine(LogLevel::kInfo, "tls_reloaded")
                       .Field("certificate", context->files().certificate)
                       .Field("changed", *changed));
  }
}

}  // namespace teaselhill::router
