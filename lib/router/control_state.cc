/// \file
/// Status, metrics and reachability log lines of the control thread.

#include <algorithm>

#include "control_impl.h"
#include "teaselhill/router/state_gauges.h"

namespace teaselhill::router {

std::string Control::Impl::StatusJson() {
  const TimePoint now = Now();
  return router::StatusJson(
      {self_, settings_.domain, CollectState(now), members_.Members(now),
       upstreams_, shared_.config()},
      now);
}

void Control::Impl::ExportGauges(TimePoint now) {
  ExportState(CollectState(now), now, metrics_);
  metrics_.SetGauge("teaselhill_peer_bytes_sent",
                    "Bytes of frames sent to other hosts",
                    static_cast<double>(transport_->counters().bytes_sent));
  metrics_.SetGauge("teaselhill_peer_bytes_received",
                    "Bytes of frames received from other hosts",
                    static_cast<double>(transport_->counters().bytes_received));
  ExportByteCounts();
  metrics_.SetGauge(
      "teaselhill_members_reachable",
      "Reachable hosts of this host's failure domain, including itself",
      static_cast<double>(same_domain_hosts_.size() + 1));
}

void Control::Impl::ExportByteCounts() {
  std::map<std::string, double> sent;
  std::map<std::string, double> received;
  for (size_t type = 0; type < sent_bytes_.size(); ++type) {
    const std::string name(peer::MessageTypeName(type));
    sent[name] = static_cast<double>(sent_bytes_[type]);
    received[name] = static_cast<double>(received_bytes_[type]);
  }
  metrics_.SetGauges("teaselhill_peer_payload_bytes_sent",
                     "Payload bytes to other hosts by message type", "type",
                     sent);
  metrics_.SetGauges("teaselhill_peer_payload_bytes_received",
                     "Payload bytes from other hosts by message type", "type",
                     received);
  std::map<std::string, double> http_sent;
  std::map<std::string, double> http_received;
  for (const auto& [purpose, count] : client_.byte_counts()) {
    http_sent[purpose] = static_cast<double>(count.sent);
    http_received[purpose] = static_cast<double>(count.received);
  }
  metrics_.SetGauges("teaselhill_control_http_bytes_sent",
                     "HTTP bytes sent by the control thread", "purpose",
                     http_sent);
  metrics_.SetGauges("teaselhill_control_http_bytes_received",
                     "HTTP bytes received by the control thread", "purpose",
                     http_received);
}

HostState Control::Impl::CollectState(TimePoint now) {
  HostState state;
  state.ready = shared_.IsReady();
  state.draining = shared_.draining.load();
  state.open_requests = coordinator_.open_requests();
  state.queue = admission_->Stats(now);
  for (const membership::MemberView& seen : members_.Members(now))
    ++state.members[MemberStateName(seen.member.state)];
  const auto view = shared_.config();
  for (const auto& [name, entry] :
       view ? view->assignments
            : std::map<std::string, config::AssignmentEntry>()) {
    if (const routing::Upstream* upstream = upstreams_.Find(name))
      ++state.upstreams[UpstreamStateName(upstreams_, *upstream, now)];
  }
  state.domains = members_.Domains(now);
  state.limit_share = limits_.reachable_fraction();
  state.config_next_offset = config_.next_offset();
  state.config_lag = config_.lag();
  state.claims_lag = claims_driver_.lag();
  state.claims = claims_.Stats();
  state.crashes = crashes_.CountFingerprints(now);
  state.host_list_reachable = host_list_reachable_;
  state.holds_order_lease = orders_ && orders_->holds_lease();
  return state;
}

void Control::Impl::LogReachability(const char* service,
                                    bool reachable,
                                    bool* last_reachable) {
  if (std::exchange(*last_reachable, reachable) == reachable)
    return;
  logger_.Write(
      LogLine(reachable ? LogLevel::kInfo : LogLevel::kWarning, "platform")
          .Field("part", service)
          .Field("reachable", reachable));
}

void Control::Impl::ObserveRequestTickDelay(TimePoint now) {
  if (last_request_tick_ != TimePoint{})
    metrics_.ObserveControlDelay(std::max(
        Duration::zero(), now - last_request_tick_ - kRequestTickPeriod));
  last_request_tick_ = now;
}

}  // namespace teaselhill::router
