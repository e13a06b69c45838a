/// \file
/// A caller's request as the traffic threads understand it.

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

/// Everything that decisions need to know of a request. The body stays with
/// the traffic thread that received it.
struct RequestInfo {
  RequestId id = 0;
  int worker = 0;           ///< traffic thread that holds the caller
  std::string external_id;  ///< X-Request-Id, or made from `id`
  std::string customer;
  std::string team;
  std::string class_name;
  std::string model;    ///< empty for a plain service
  std::string service;  ///< empty for a model request
  bool idempotent = true;
  std::string idempotency_key;  ///< empty: none
  bool stream = false;
  /// Deadline for the whole answer, from arrival; zero means none.
  Duration deadline{};
  /// Estimate from the size of the messages, about four bytes a token.
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;  ///< 0: the engine's own limit
  /// Hashes of growing prefixes of the prompt, for cache affinity.
  std::vector<uint64_t> prefix_hashes;
  /// Same on every host for the same model and body.
  Hash128 fingerprint;
  /// Hash of the caller's own method, path and body; tells a resend from
  /// another request under the same key.
  uint64_t body_hash = 0;
  /// Set when another host forwarded the request to this one.
  bool forwarded = false;
};

/// The part of a model request's body that the router looks at.
struct ModelBody {
  std::string model;
  bool stream = false;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;
  /// The body for the engine: the caller's with `stream` set to true.
  std::string engine_body;
};

/// Parses the body of /v1/chat/completions; kMalformedBody names the path.
Result<ModelBody> ParseModelBody(const std::string& body);

/// Headers that describe the request's class and its limits.
struct RequestHeaders {
  std::string external_id;
  std::string class_name;
  std::string idempotency_key;
  std::optional<bool> idempotent;
  Duration deadline{};
  bool forwarded = false;
};

/// Checks the headers; kBadHeader names the header and its value.
Result<RequestHeaders> ParseRequestHeaders(const net::Headers& headers);

/// Returns the bearer key of `Authorization`, or kBadKey.
Result<std::string> ParseBearerKey(const net::Headers& headers);

using net::ErrorBody;
using net::ErrorHeaders;

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CALLER_REQUEST_H_
