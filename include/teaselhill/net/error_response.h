/// \file
/// The form in which a numbered error reaches a caller.

#ifndef TEASELHILL_NET_ERROR_RESPONSE_H_
#define TEASELHILL_NET_ERROR_RESPONSE_H_

#include <string>

#include "teaselhill/net/http_types.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

/// Returns the JSON error body for `error`.
std::string ErrorBody(const Error& error);

/// Returns the response headers that state code, outcome and `Retry-After`.
Headers ErrorHeaders(const Error& error, Duration retry_after);

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_ERROR_RESPONSE_H_
