/// \file
/// Keys of a request in the search for causes of crashes.

#include "teaselhill/gateway/request_keys.h"

#include <utility>

#include "teaselhill/retry/crash_tracker.h"

namespace teaselhill::gateway {

Hash128 RequestFingerprint(const net::HttpRequest& request,
                           const CallerRequest& caller,
                           const std::string& team) {
  // Without a body, only its own part of the prompt tells a request from
  // others.
  const bool has_own_part =
      request.body.empty() && !caller.prompt_segments.empty();
  return retry::Fingerprint(
      request.method + ' ' + request.target + ' ' + team,
      has_own_part ? std::to_string(caller.prompt_segments.back().id)
                   : request.body);
}

CrashKeys RequestKeys(const net::HttpRequest& request,
                      const CallerRequest& caller,
                      const std::string& team) {
  std::vector<CrashKey> parts;
  // The last segment is unique to the request or its session.
  for (size_t i = 0; i + 1 < caller.prompt_segments.size(); ++i)
    parts.push_back(PromptPartKey(caller.prompt_segments[i].id));
  return {RequestFingerprint(request, caller, team), std::move(parts), team};
}

}  // namespace teaselhill::gateway
