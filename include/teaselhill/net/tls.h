/// \file
/// Certificates for listeners and connections, reloaded without a restart.

#ifndef TEASELHILL_NET_TLS_H_
#define TEASELHILL_NET_TLS_H_

#include <memory>
#include <mutex>
#include <string>

#include "teaselhill/support/result.h"

namespace asio::ssl {
class context;
}

namespace teaselhill::net {

/// PEM files; empty names mean that the part is not used.
struct TlsFiles {
  std::string certificate;  ///< chain, own certificate first
  std::string key;
  std::string ca;  ///< trust anchors for certificates of others

  bool enabled() const { return !certificate.empty(); }
};

/// Checks that the files can be read and that the key fits the certificate;
/// kFileUnreadable or kSettingInvalid name the file.
Status CheckTlsFiles(const TlsFiles& files);

/// Whether the other side must show a certificate that the CA signed.
enum class PeerCertificate { kNotAsked, kRequired };

/// TLS contexts made from one set of files. Connections keep the context that
/// was current when they were opened. Callable from any thread.
class TlsContext {
 public:
  /// Returns an error when the files cannot be used.
  static Result<std::shared_ptr<TlsContext>> Load(TlsFiles files,
                                                  PeerCertificate peer);

  std::shared_ptr<asio::ssl::context> Current() const;

  /// Reads the files again. On an error the old context stays in use.
  Status Reload();

  /// Reloads if the content of a file has changed since it was last read;
  /// returns whether it has.
  Result<bool> ReloadIfChanged();

  const TlsFiles& files() const { return files_; }

 private:
  TlsContext(TlsFiles files, PeerCertificate peer)
      : files_(std::move(files)), peer_(peer) {}

  const TlsFiles files_;
  const PeerCertificate peer_;
  mutable std::mutex mutex_;
  std::shared_ptr<asio::ssl::context> current_;
  std::string stamp_;  ///< hash of the files' contents
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_TLS_H_
