/// \file
/// Options of the decision components, from settings and configuration.

#ifndef TEASELHILL_LIB_ROUTER_CONTROL_OPTIONS_H_
#define TEASELHILL_LIB_ROUTER_CONTROL_OPTIONS_H_

#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/claims/claim_table.h"
#include "teaselhill/config/contract.h"
#include "teaselhill/retry/hedge_policy.h"
#include "teaselhill/router/settings.h"
#include "teaselhill/routing/routing_policy.h"

namespace teaselhill::router {

/// Minimum time between two appends of claims by this host.
constexpr std::chrono::milliseconds kMinClaimAppendInterval{10};

admission::AdmissionOptions MakeAdmissionOptions();
routing::RoutingOptions MakeRoutingOptions(const Settings& settings);
claims::ClaimOptions MakeClaimOptions(const Settings& settings);
retry::HedgeOptions MakeHedgeOptions(const Settings& settings);

/// Returns the fields of an assignment that routing uses.
routing::UpstreamSpec ToUpstreamSpec(
    const config::UpstreamAssignment& assignment);

}  // namespace teaselhill::router

#endif  // TEASELHILL_LIB_ROUTER_CONTROL_OPTIONS_H_
