/// \file
/// Upstreams for the tests of what upstreams say of themselves.

#ifndef TEASELHILL_UNITTESTS_GATEWAY_NOTICES_FIXTURE_H_
#define TEASELHILL_UNITTESTS_GATEWAY_NOTICES_FIXTURE_H_

#include "teaselhill/gateway/upstream_directory.h"

namespace teaselhill::gateway {

const UpstreamProcess kUpstream{"i-1", 1};
const UpstreamProcess kRestarted{"i-1", 2};

/// A list with the process as the only upstream.
inline UpstreamList ListOf(const UpstreamProcess& process) {
  UpstreamList list;
  UpstreamEntry entry;
  entry.id = process.id;
  entry.incarnation = process.incarnation;
  list.by_service["s"].push_back(entry);
  return list;
}

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_UNITTESTS_GATEWAY_NOTICES_FIXTURE_H_
