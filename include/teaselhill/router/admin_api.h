/// \file
/// HTTP API for operators.

#ifndef TEASELHILL_ROUTER_ADMIN_API_H_
#define TEASELHILL_ROUTER_ADMIN_API_H_

#include <set>
#include <string>
#include <vector>

#include "teaselhill/net/http_server.h"

namespace teaselhill::router {

/// What the API shows and changes; implemented by the control thread.
class AdminBackend {
 public:
  virtual ~AdminBackend() = default;

  /// JSON object of the host's status.
  virtual std::string StatusJson() = 0;

  /// JSON objects of the decisions about a request, oldest first; with an empty
  /// `customer`, of all customers that used this id.
  virtual std::vector<std::string> Decisions(const std::string& request,
                                             const std::string& customer) = 0;

  /// Metrics in the Prometheus text format. They name all customers.
  virtual std::string MetricsText() = 0;

  /// Isolates this host from others.
  virtual void SetBlockedPeers(std::set<std::string> hosts) = 0;
};

/// Checks the operator's key and serves `/admin/v1/...`.
class AdminApi : public net::HttpHandler {
 public:
  AdminApi(AdminBackend& backend, std::vector<std::string> key_hashes)
      : backend_(backend), key_hashes_(std::move(key_hashes)) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override;

 private:
  bool IsOperator(const net::Headers& headers) const;
  Status SetBlockedPeers(const std::string& body);

  AdminBackend& backend_;
  std::vector<std::string> key_hashes_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_ADMIN_API_H_
