/// \file
/// Checks of requests against contracts.

#include "contract_check.h"

#include <algorithm>

#include "teaselhill/retry/crash_tracker.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

namespace {

constexpr std::string_view kServicePrefix = "/services/";

template <typename List>
bool Contains(const List& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

net::Headers WithoutCredentials(const net::Headers& headers) {
  net::Headers remaining;
  for (const net::Header& header : headers) {
    if (!net::SameHeaderName(header.name, "Authorization") &&
        !net::SameHeaderName(header.name, "X-Teaselhill-Forwarded"))
      remaining.push_back(header);
  }
  return remaining;
}

}  // namespace

Result<Grant> Authorize(const config::ConfigView& view,
                        const std::string& key,
                        const RequestHeaders& headers) {
  const config::KeyOwner* owner = view.FindKey(Sha256Hex(key));
  if (!owner)
    return {ResultCode::kBadKey, "the bearer key is unknown"};
  if (owner->closed)
    return {ResultCode::kContractClosed,
            "the latest record of this contract cannot be read"};
  Grant grant{owner->contract, owner->team, nullptr};
  const std::string& name = headers.class_name.empty()
                                ? owner->contract->default_class
                                : headers.class_name;
  grant.request_class = owner->contract->FindClass(name);
  if (!grant.request_class)
    return {ResultCode::kUnknownClass,
            "class '" + name + "' is not in the contract"};
  return grant;
}

std::string ModelList(const config::Contract& contract) {
  std::string body = R"({"object":"list","data":[)";
  for (size_t i = 0; i < contract.models.size(); ++i) {
    body += i ? "," : "";
    body += R"({"id":)";
    AppendJsonString(contract.models[i], &body);
    body += R"(,"object":"model","created":0,"owned_by":)";
    AppendJsonString(contract.customer, &body);
    body += "}";
  }
  return body + "]}";
}

std::string PathAndQuery(const net::HttpRequest& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

Status DescribeModelCall(const net::HttpRequest& request,
                         const config::Contract& contract,
                         RequestInfo& info,
                         OutgoingRequest& outgoing) {
  if (request.method != "POST")
    return {ResultCode::kMethodNotAllowed, "/v1/chat/completions takes POST"};
  Result<ModelBody> body = ParseModelBody(request.body);
  if (!body)
    return body.error();
  if (!Contains(contract.models, body->model))
    return {ResultCode::kUnknownModel,
            "model '" + body->model + "' is not in the contract"};
  info.model = body->model;
  info.stream = body->stream;
  info.max_tokens = body->max_tokens;
  info.prompt_tokens = body->prompt_tokens;
  info.prefix_hashes = std::move(body->prefix_hashes);
  info.fingerprint = retry::Fingerprint(info.model, body->engine_body);
  outgoing.target = "/v1/chat/completions";
  outgoing.body = std::move(body->engine_body);
  return Ok{};
}

Status DescribeServiceCall(const net::HttpRequest& request,
                           const config::Contract& contract,
                           RequestInfo& info,
                           OutgoingRequest& outgoing) {
  if (request.path.compare(0, kServicePrefix.size(), kServicePrefix) != 0)
    return {ResultCode::kUnknownPath, "no path " + request.path};
  const size_t begin = kServicePrefix.size();
  const size_t end =
      std::min(request.path.find('/', begin), request.path.size());
  info.service = request.path.substr(begin, end - begin);
  if (!Contains(contract.services, info.service))
    return {ResultCode::kUnknownService,
            "service '" + info.service + "' is not in the contract"};
  // Methods that HTTP defines as safe are idempotent regardless of the class
  // and of the request's headers.
  if (request.method == "GET" || request.method == "HEAD")
    info.idempotent = true;
  outgoing.method = request.method;
  outgoing.target = PathAndQuery(request).substr(end);
  if (outgoing.target.empty() || outgoing.target[0] != '/')
    outgoing.target.insert(0, "/");
  outgoing.body = request.body;
  outgoing.headers = WithoutCredentials(request.headers);
  info.fingerprint =
      retry::Fingerprint(request.method + " " + request.path, request.body);
  return Ok{};
}

}  // namespace teaselhill::router
