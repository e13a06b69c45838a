/// \file
/// Keys of a request in the search for causes of crashes.

#ifndef TEASELHILL_GATEWAY_REQUEST_KEYS_H_
#define TEASELHILL_GATEWAY_REQUEST_KEYS_H_

#include <string>

#include "teaselhill/gateway/crash_keys.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// Hash of what a repeated request has in common with its first send: method,
/// path, team, and body or, if that is empty, its own part of the prompt. The
/// same on every host.
Hash128 RequestFingerprint(const net::HttpRequest& request,
                           const CallerRequest& caller,
                           const std::string& team);

/// The fingerprint, and the shared parts of the prompt.
CrashKeys RequestKeys(const net::HttpRequest& request,
                      const CallerRequest& caller,
                      const std::string& team);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_REQUEST_KEYS_H_
