/// \file
/// Gauges of a host's state for operators.

#include "teaselhill/router/state_gauges.h"

namespace teaselhill::router {

namespace {

void ExportQueue(const admission::QueueStats& queue, Metrics& metrics) {
  metrics.SetGauge("teaselhill_queue_length", "Requests that wait",
                   static_cast<double>(queue.queued_count));
  metrics.SetGauge("teaselhill_queue_tokens", "Predicted work that waits",
                   queue.queued_work_tokens);
  std::map<std::string, double> lengths;
  std::map<std::string, double> waits;
  for (const admission::TierStats& tier : queue.tiers) {
    const std::string name = std::to_string(static_cast<int>(tier.tier));
    lengths[name] = static_cast<double>(tier.queued_count);
    waits[name] = ToSeconds(tier.oldest_wait);
  }
  metrics.SetGauges("teaselhill_tier_queue_length", "Queued requests", "tier",
                    lengths);
  metrics.SetGauges("teaselhill_tier_oldest_wait_seconds",
                    "Waiting time of the oldest queued request", "tier", waits);
}

void ExportPlatform(const HostState& state, TimePoint now, Metrics& metrics) {
  metrics.SetGauge(
      "teaselhill_config_next_offset",
      "Offset of the first configuration record that is not in force",
      static_cast<double>(state.config_next_offset));
  metrics.SetGauge("teaselhill_config_records_behind",
                   "Configuration records on the log that are not in force",
                   static_cast<double>(state.config_lag.behind));
  metrics.SetGauge("teaselhill_log_reachable",
                   "Whether the last read of the log succeeded",
                   state.config_lag.reachable);
  metrics.SetGauge("teaselhill_log_silence_seconds",
                   "Time since the log last answered a read",
                   ToSeconds(TimeSinceLogAnswer(state.config_lag, now)));
  metrics.SetGauge("teaselhill_host_list_reachable",
                   "Whether the last read of the host list succeeded",
                   state.host_list_reachable);
  metrics.SetGauge("teaselhill_claims_waiting",
                   "Requests that wait for a claim of their key",
                   static_cast<double>(state.claims.waiting));
  metrics.SetGauge("teaselhill_claims_caught_up",
                   "Whether all claims on the log have been read",
                   state.claims.caught_up);
  metrics.SetGauge("teaselhill_claims_records_behind",
                   "Claim records on the log that have not been read",
                   static_cast<double>(state.claims_lag.behind));
}

void ExportFleet(const HostState& state, Metrics& metrics) {
  metrics.SetGauges("teaselhill_members", "Other hosts by state", "state",
                    state.members);
  std::map<std::string, double> known;
  std::map<std::string, double> reachable;
  for (const membership::DomainStatus& domain : state.domains) {
    known[domain.domain] = static_cast<double>(domain.known);
    reachable[domain.domain] = static_cast<double>(domain.reachable);
  }
  metrics.SetGauges("teaselhill_domain_hosts_known",
                    "Known hosts of a failure domain", "domain", known);
  metrics.SetGauges("teaselhill_domain_hosts_reachable",
                    "Reachable hosts of a failure domain", "domain", reachable);
  metrics.SetGauge("teaselhill_limit_share_reachable",
                   "Reachable fraction of the listed hosts", state.limit_share);
  metrics.SetGauges("teaselhill_upstreams", "Upstreams by state", "state",
                    state.upstreams);
  metrics.SetGauge("teaselhill_suspect_fingerprints",
                   "Requests that are crash suspects and run with restrictions",
                   static_cast<double>(state.crashes.suspects));
  metrics.SetGauge("teaselhill_quarantined_fingerprints",
                   "Requests that are quarantined because of crashes",
                   static_cast<double>(state.crashes.quarantined));
  metrics.SetGauge(
      "teaselhill_order_lease_held",
      "Whether this host holds the order lease of its failure domain",
      state.holds_order_lease);
}

}  // namespace

Duration TimeSinceLogAnswer(const services::LogLag& lag, TimePoint now) {
  return lag.last_answer == TimePoint{} ? Duration::zero()
                                        : now - lag.last_answer;
}

void ExportState(const HostState& state, TimePoint now, Metrics& metrics) {
  metrics.SetGauge("teaselhill_ready", "Whether the host accepts requests",
                   state.ready);
  metrics.SetGauge("teaselhill_draining", "Whether the host is draining",
                   state.draining);
  metrics.SetGauge("teaselhill_open_requests",
                   "Requests without a final answer",
                   static_cast<double>(state.open_requests));
  ExportQueue(state.queue, metrics);
  ExportPlatform(state, now, metrics);
  ExportFleet(state, metrics);
}

}  // namespace teaselhill::router
