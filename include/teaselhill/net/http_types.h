/// \file
/// HTTP headers and small helpers shared by the server and the client.

#ifndef TEASELHILL_NET_HTTP_TYPES_H_
#define TEASELHILL_NET_HTTP_TYPES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhill::net {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// Compares header names without regard to case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Returns the value of the first header `name`, or nothing.
std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name);

/// Whether the header concerns one connection only, such as a length, or one
/// that `Connection` in `headers` names.
bool IsHopByHop(std::string_view name, const Headers& headers);

/// Whether `Content-Type` is that of server-sent events.
bool IsEventStream(const Headers& headers);

/// Splits `a=1&b=2` and decodes percent escapes.
std::map<std::string, std::string> ParseQuery(std::string_view query);

/// Percent-encodes everything but unreserved characters.
std::string EncodeUrlComponent(std::string_view text);

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_HTTP_TYPES_H_
