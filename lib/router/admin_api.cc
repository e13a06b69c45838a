/// \file
/// HTTP API for operators.

#include "teaselhill/router/admin_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "teaselhill/router/caller_request.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::router {

namespace {

constexpr std::string_view kRequestsPrefix = "/admin/v1/requests/";

void RespondJson(net::ResponseWriter& response, std::string body) {
  response.Respond(200, {{"Content-Type", "application/json"}},
                   std::move(body));
}

void RespondError(net::ResponseWriter& response, const Error& error) {
  response.Respond(Describe(error.code).http_status,
                   ErrorHeaders(error, Duration::zero()), ErrorBody(error));
}

}  // namespace

bool AdminApi::IsOperator(const net::Headers& headers) const {
  const Result<std::string> key = ParseBearerKey(headers);
  if (!key)
    return false;
  const std::string hash = Sha256Hex(*key);
  return std::any_of(
      key_hashes_.begin(), key_hashes_.end(),
      [&hash](const std::string& known) { return SameSecret(known, hash); });
}

void AdminApi::Handle(net::HttpRequest request,
                      std::shared_ptr<net::ResponseWriter> response) {
  if (!IsOperator(request.headers))
    return RespondError(*response, {ResultCode::kBadKey,
                                    "the operator key is missing or unknown"});
  if (request.path == "/admin/v1/status" && request.method == "GET")
    return RespondJson(*response, backend_.StatusJson());
  if (request.path.rfind(kRequestsPrefix, 0) == 0 && request.method == "GET") {
    std::string body = R"({"decisions":[)";
    for (const std::string& line :
         backend_.FindDecisions(request.path.substr(kRequestsPrefix.size()),
                                net::ParseQuery(request.query)["customer"]))
      body += (body.back() == '[' ? "" : ",") + line;
    return RespondJson(*response, body + "]}");
  }
  if (request.path == "/metrics" && request.method == "GET")
    return response->Respond(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             backend_.MetricsText());
  if (request.path == "/admin/v1/blocked-peers" && request.method == "PUT") {
    const Status changed = SetBlockedPeers(request.body);
    if (!changed)
      return RespondError(*response, changed.error());
    return RespondJson(*response, "{}");
  }
  RespondError(*response,
               {ResultCode::kUnknownPath, request.method + " " + request.path});
}

Status AdminApi::SetBlockedPeers(const std::string& body) {
  const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_array())
    return {ResultCode::kMalformedBody, "the body must be an array of hosts"};
  std::set<std::string> hosts;
  for (const nlohmann::json& host : parsed) {
    if (!host.is_string())
      return {ResultCode::kMalformedBody, "each host must be a string"};
    hosts.insert(host.get<std::string>());
  }
  backend_.SetBlockedPeers(std::move(hosts));
  return Ok{};
}

}  // namespace teaselhill::router
