/// \file
/// Checks and conversion of a request that RESTinio has read.

#ifndef TEASELHILL_LIB_NET_RESTINIO_REQUEST_H_
#define TEASELHILL_LIB_NET_RESTINIO_REQUEST_H_

#include <cstddef>
#include <optional>
#include <restinio/all.hpp>

#include "teaselhill/net/http_server.h"
#include "teaselhill/support/result.h"

namespace teaselhill::net {

/// Sum of the lengths of all header names and values.
size_t HeaderBytes(const restinio::http_request_header_t& header);

/// Returns a fault for a request whose bytes another server may read otherwise.
/// The parser takes a blank before the colon, and any list that ends in
/// `chunked`; a server behind the gateway could then see another request in the
/// body.
std::optional<Error> FindAmbiguity(
    const restinio::http_request_header_t& header);

/// Moves the body out of `request`.
HttpRequest ToRequest(restinio::request_t& request);

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_RESTINIO_REQUEST_H_
