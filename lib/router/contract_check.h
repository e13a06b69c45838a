/// \file
/// Checks the requests of callers against their contract, and describes them
/// for the control thread and the relay.

#ifndef TEASELHILL_LIB_ROUTER_CONTRACT_CHECK_H_
#define TEASELHILL_LIB_ROUTER_CONTRACT_CHECK_H_

#include <memory>
#include <string>

#include "teaselhill/config/config_view.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/router/caller_request.h"
#include "teaselhill/router/relay.h"

namespace teaselhill::router {

/// Result of authorizing a request: the team that owns the bearer key, the
/// team's contract, and the class of the request.
struct Grant {
  std::shared_ptr<const config::Contract> contract;
  const config::Team* team = nullptr;
  const config::ClassPolicy* request_class = nullptr;
};

/// Errors: kBadKey, kContractClosed, kUnknownClass.
Result<Grant> Authorize(const config::ConfigView& view,
                        const std::string& key,
                        const RequestHeaders& headers);

/// Body of the answer to `/v1/models`.
std::string ModelList(const config::Contract& contract);

/// Path of the request, with its query if it has one.
std::string PathAndQuery(const net::HttpRequest& request);

/// Fill in what `request` asks of a model or of a plain service, and what is
/// sent to the upstream. Errors: the request is invalid, or its contract does
/// not have the model or service.
Status DescribeModelCall(const net::HttpRequest& request,
                         const config::Contract& contract,
                         RequestInfo& info,
                         OutgoingRequest& outgoing);
Status DescribeServiceCall(const net::HttpRequest& request,
                           const config::Contract& contract,
                           RequestInfo& info,
                           OutgoingRequest& outgoing);

}  // namespace teaselhill::router

#endif  // TEASELHILL_LIB_ROUTER_CONTRACT_CHECK_H_
