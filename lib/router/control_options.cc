/// \file
/// Options of the decision components.

#include "control_options.h"

namespace teaselhill::router {

admission::AdmissionOptions MakeAdmissionOptions() {
  return {};
}

routing::RoutingOptions MakeRoutingOptions(const Settings& settings) {
  routing::RoutingOptions options;
  options.own_domain = settings.domain;
  return options;
}

claims::ClaimOptions MakeClaimOptions(const Settings& settings) {
  claims::ClaimOptions options;
  options.index.claim_window =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          settings.claim_window);
  options.append_interval = kMinClaimAppendInterval;
  return options;
}

retry::HedgeOptions MakeHedgeOptions(const Settings& settings) {
  retry::HedgeOptions options;
  if (!settings.hedging)
    options.work_fraction = options.max_credit_tokens = 0;
  return options;
}

routing::UpstreamSpec ToUpstreamSpec(
    const config::UpstreamAssignment& assignment) {
  routing::UpstreamSpec spec;
  spec.name = assignment.name;
  spec.kind = assignment.kind == config::UpstreamKind::kEngine
                  ? routing::UpstreamKind::kEngine
                  : routing::UpstreamKind::kService;
  spec.domain = assignment.domain;
  spec.models = assignment.models;
  spec.service = assignment.service;
  spec.max_concurrency = assignment.max_concurrency;
  spec.draining = assignment.draining;
  return spec;
}

}  // namespace teaselhill::router
