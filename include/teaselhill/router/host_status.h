/// \file
/// Status of a host for the operators' API.

#ifndef TEASELHILL_ROUTER_HOST_STATUS_H_
#define TEASELHILL_ROUTER_HOST_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/config/config_view.h"
#include "teaselhill/router/state_gauges.h"
#include "teaselhill/routing/upstream_table.h"

namespace teaselhill::router {

/// Inputs of the status.
struct StatusSources {
  const HostIncarnation& self;
  const std::string& domain;
  const HostState& state;
  const std::vector<membership::MemberView>& members;
  const routing::UpstreamTable& upstreams;
  std::shared_ptr<const config::ConfigView> config;  ///< may be null
};

/// Returns the JSON object of `GET /admin/v1/status`.
std::string StatusJson(const StatusSources& sources, TimePoint now);

/// Returns `alive`, `suspect`, `leaving` or `dead`.
const char* MemberStateName(membership::MemberState state);

/// Returns `leaving`, `straggler`, `healthy`, `probing` or `ejected`.
const char* UpstreamStateName(const routing::UpstreamTable& upstreams,
                              const routing::Upstream& upstream,
                              TimePoint now);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_HOST_STATUS_H_
