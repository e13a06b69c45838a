/// \file
/// Faults of a configuration and differences between two configurations.

#ifndef TEASELHILL_CONFIGCHECK_CONFIG_CHECK_H_
#define TEASELHILL_CONFIGCHECK_CONFIG_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/gateway/route_table.h"

namespace teaselhill::configcheck {

enum class Severity {
  kInfo,     ///< a difference from the version in force
  kWarning,  ///< has no effect or an unlikely one
  kError,    ///< the configuration does not do what it says
};

struct Finding {
  Severity severity = Severity::kError;
  std::string place;    ///< such as `route 'a'`
  std::string message;  ///< holds no API key
};

/// Returns all faults of a decoded configuration, in the order of its entries.
std::vector<Finding> CheckConfig(const gateway::RouteConfig& config);

/// Returns what differs between the configuration in force and the one that is
/// to follow it. A version that is not higher is an error, since the gateway
/// ignores it.
std::vector<Finding> CompareConfigs(const gateway::RouteConfig& in_force,
                                    const gateway::RouteConfig& next);

/// Converts a decoder's text `place: fault` to an error.
Finding FindingFromDecoder(std::string_view text);

/// Returns a name for an API key that does not disclose it: at most its first
/// four characters, and none of a short key.
std::string MaskKey(std::string_view key);

}  // namespace teaselhill::configcheck

#endif  // TEASELHILL_CONFIGCHECK_CONFIG_CHECK_H_
