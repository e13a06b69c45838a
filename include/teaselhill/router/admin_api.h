/// \file
/// HTTP API for operators.

#ifndef TEASELHILL_ROUTER_ADMIN_API_H_
#define TEASELHILL_ROUTER_ADMIN_API_H_

#include <set>
#include <string>
#include <vector>

#include "teaselhill/net/http_server.h"

namespace teaselhill::router {

/// State that the API reads and changes; implemented by the control thread.
class AdminBackend {
 public:
  virtual ~AdminBackend() = default;

  /// Returns the host's status as a JSON object.
  virtual std::string StatusJson() = 0;

  /// Returns the decisions about a request as JSON objects, oldest first; an
  /// empty `customer` selects all customers that used this request id.
  virtual std::vector<std::string> FindDecisions(
      const std::string& request,
      const std::string& customer) = 0;

  /// Returns the metrics in the Prometheus text format. Their labels contain
  /// the names of all customers, so only operators may read them.
  virtual std::string MetricsText() = 0;

  /// Replaces the set of peers whose messages are blocked in both directions.
  virtual void SetBlockedPeers(std::set<std::string> hosts) = 0;
};

/// Authenticates operators and serves `/admin/v1/...` and `/metrics`.
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
