/// \file
/// Addresses and options of the gateway's listeners.

#include "listener_options.h"

#include <algorithm>
#include <charconv>

namespace teaselhill::gateway {

namespace {

/// Timeout of idle caller connections. The configuration also has a limit for
/// idle connections, but the listener opens before a configuration is known.
constexpr std::chrono::seconds kIdleTimeout{30};

constexpr size_t kMaxProbeBodyBytes = 1024;

/// File descriptors reserved for listeners, the store, metrics, files and event
/// queues.
constexpr size_t kReservedDescriptors = 256;

}  // namespace

net::HttpServerOptions MakeListenerOptions(const Endpoint& endpoint,
                                           size_t max_connections,
                                           net::MemoryBudget& memory_budget) {
  net::HttpServerOptions options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  options.read_timeout = kIdleTimeout;
  options.max_connections = max_connections;
  options.memory_budget = &memory_budget;
  return options;
}

net::HttpServerOptions MakeProbeOptions(const Endpoint& endpoint,
                                        size_t max_connections,
                                        net::MemoryBudget& memory_budget) {
  net::HttpServerOptions options =
      MakeListenerOptions(endpoint, max_connections, memory_budget);
  options.memory_budget = nullptr;
  options.max_body_bytes = kMaxProbeBodyBytes;
  return options;
}

size_t MaxCallerConnections(size_t max_descriptors) {
  const size_t usable =
      max_descriptors - std::min(max_descriptors / 2, kReservedDescriptors);
  return std::max<size_t>(usable / 2, 1);
}

Result<Endpoint> ParseEndpoint(const std::string& text,
                               const std::string& field) {
  const size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos && colon > 0) {
    endpoint.address = text.substr(0, colon);
    const char* begin = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(begin, last, endpoint.port);
    if (error == std::errc() && end == last && endpoint.port != 0)
      return endpoint;
  }
  return {ResultCode::kSettingInvalid,
          field + ": '" + text + "' is not ADDRESS:PORT"};
}

}  // namespace teaselhill::gateway
