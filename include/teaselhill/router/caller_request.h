/// \file
/// A caller's request as parsed by a traffic thread.

#ifndef TEASELHILL_ROUTER_CALLER_REQUEST_H_
#define TEASELHILL_ROUTER_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/net/error_response.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::router {

/// Properties of a request that decisions depend on. The body stays with the
/// traffic thread that received it.
struct RequestInfo {
  RequestId id = 0;
  int worker = 0;           ///< traffic thread that serves the caller
  std::string external_id;  ///< X-Request-Id, or generated from `id`
  std::string customer;
  std::string team;
  std::string class_name;
  std::string model;    ///< empty for a plain service
  std::string service;  ///< empty for a model request
  bool idempotent = true;
  std::string idempotency_key;  ///< empty if none
  bool stream = false;
  /// Deadline for the whole answer, from arrival; zero means none.
  Duration deadline{};
  /// Estimated from the size of the messages, at about four bytes a token.
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;  ///< 0: the engine's own limit
  /// Hashes of prompt prefixes of increasing length, for cache affinity.
  std::vector<uint64_t> prefix_hashes;
  /// Identical on all hosts for the same model and body, or for the same call
  /// to a plain service; identifies the request in crash evidence.
  Hash128 fingerprint;
  /// Hash of the caller's method, path and body; distinguishes a retry from
  /// another request with the same key.
  uint64_t body_hash = 0;
  /// Set when another host forwarded the request to this one.
  bool forwarded = false;
};

/// Fields of a model request's body that the router uses.
struct ModelBody {
  std::string model;
  bool stream = false;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;
  /// The body for the engine: the caller's with `stream` set to true.
  std::string engine_body;
};

/// Parses the body of `/v1/chat/completions`. Errors: kMalformedBody, with the
/// path of the invalid field.
Result<ModelBody> ParseModelBody(const std::string& body);

/// Request headers that the router interprets.
struct RequestHeaders {
  std::string external_id;
  std::string class_name;
  std::string idempotency_key;
  std::optional<bool> idempotent;
  Duration deadline{};
  bool forwarded = false;
};

/// Parses and validates the headers. Errors: kBadHeader, with the header's name
/// and value.
Result<RequestHeaders> ParseRequestHeaders(const net::Headers& headers);

/// Returns the bearer key of `Authorization`. Errors: kBadKey.
Result<std::string> ParseBearerKey(const net::Headers& headers);

using net::ErrorBody;
using net::ErrorHeaders;

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CALLER_REQUEST_H_
