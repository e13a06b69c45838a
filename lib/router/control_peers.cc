/// \file
/// Messages between hosts.

#include <algorithm>
#include <type_traits>

#include "control_impl.h"
#include "control_options.h"
#include "teaselhill/router/peers.h"
#include "teaselhill/router/quota_view.h"

namespace teaselhill::router {

namespace {

/// Size on the wire in bytes of the header of an `UpstreamSends` message,
/// including the WebSocket frame, and of each of its entries.
constexpr routing::MessageSize kSendsMessageBytes{14, 13};
/// A periodic `UpstreamSends` message with fewer entries is postponed, because
/// the header would make up too much of it, unless the entries are at least
/// half of what the full byte budget allows.
constexpr size_t kMinSendsEntries = 4;

/// Rate of log appends for claims by all hosts together; each host may use an
/// equal fraction of it.
constexpr int kClaimAppendsPerSecond = 150;

const char* MemberEventName(membership::MemberEventKind kind) {
  switch (kind) {
    case membership::MemberEventKind::kUp:
      return "up";
    case membership::MemberEventKind::kSuspect:
      return "suspect";
    case membership::MemberEventKind::kLeaving:
      return "leaving";
    case membership::MemberEventKind::kDown:
      break;
  }
  return "down";
}

}  // namespace

std::optional<std::string> Control::Impl::UrlOf(
    const HostIncarnation& host) const {
  if (!members_.IsUp(host))
    return std::nullopt;
  const auto found = addresses_.find(host.host);
  if (found == addresses_.end())
    return std::nullopt;
  return (tls_.enabled() ? "https://" : "http://") + found->second + ":" +
         std::to_string(settings_.http_port);
}

void Control::Impl::BroadcastCrashSuspicion(
    const retry::CrashSuspicion& message) {
  Broadcast(message, /*own_domain_only=*/false);
}

void Control::Impl::BroadcastUpstreamSends() {
  BroadcastSends(upstreams_.MakeSendsMessage(Now(), /*max_entries=*/0));
}

void Control::Impl::BroadcastUpstreamLeaving(
    const routing::UpstreamLeaving& message) {
  Broadcast(message, /*own_domain_only=*/true);
}

void Control::Impl::TickSends(TimePoint now) {
  if (same_domain_hosts_.empty())
    return;
  const size_t entries = sends_budget_.AffordableEntries(
      same_domain_hosts_.size(), kSendsMessageBytes, kMinSendsEntries, now);
  if (entries > 0)
    BroadcastSends(upstreams_.MakeSendsMessage(now, entries));
}

void Control::Impl::BroadcastSends(const routing::UpstreamSends& sends) {
  if (sends.entries.empty())
    return;
  sends_budget_.Charge(same_domain_hosts_.size(), kSendsMessageBytes,
                       sends.entries.size());
  Broadcast(sends, /*own_domain_only=*/true);
}

void Control::Impl::UpdatePolledEngines() {
  std::vector<PolledEngine> polled;
  for (const std::string& engine : report_sharing_.polled_engines())
    polled.push_back({engine, engine_urls_[engine]});
  report_poller_.SetEngines(polled);
  report_poller_.SetPeriod(report_sharing_.PollPeriod(settings_.report_period));
  report_poller_.SetReadsEvents(!report_sharing_.DividesEngines());
}

void Control::Impl::ApplyMemberOutput(membership::MemberOutput output,
                                      TimePoint now) {
  if (!output.events.empty() || addresses_.empty())
    RefreshMembers(now);
  for (const membership::MemberEvent& event : output.events)
    logger_.Write(LogLine(LogLevel::kInfo, "member")
                      .Field("host", event.id.host)
                      .Field("incarnation", event.id.incarnation)
                      .Field("change", MemberEventName(event.kind)));
  for (membership::OutgoingMessage& send : output.messages) {
    if (addresses_.count(send.host) == 0)
      RefreshMembers(now);
    std::visit(
        [&](auto& message) {
          SendTo(send.host, peer::Encode(std::move(message)));
        },
        send.message);
  }
  for (const std::string& upstream : output.leaving_upstreams)
    upstreams_.MarkLeaving(upstream, routing::LeavingSource::kPeer, now);
}

void Control::Impl::RefreshMembers(TimePoint now) {
  const std::vector<membership::MemberView> members = members_.Members(now);
  std::vector<std::string> live = {self_.host};
  addresses_.clear();
  same_domain_hosts_.clear();
  other_domain_hosts_.clear();
  for (const membership::MemberView& seen : members) {
    const membership::MemberUpdate& member = seen.member;
    if (member.id.host == self_.host)
      continue;
    if (member.state == membership::MemberState::kDead)
      continue;
    addresses_[member.id.host] = member.address;
    if (member.state == membership::MemberState::kLeaving)
      continue;
    live.push_back(member.id.host);
    (member.domain == settings_.domain ? same_domain_hosts_
                                       : other_domain_hosts_)
        .push_back(member.id.host);
  }
  if (same_domain_hosts_ != sharing_hosts_) {
    sharing_hosts_ = same_domain_hosts_;
    report_sharing_.SetPeers(same_domain_hosts_);
    UpdatePolledEngines();
    sends_budget_.SetRate(
        kSendsBytesPerSecond * kMaxFullBudgetReceivers /
        static_cast<double>(
            std::max(kMaxFullBudgetReceivers, same_domain_hosts_.size())));
  }
  transport_->SetPeers(
      MakePeerAddresses(members, self_.host, settings_.peer_port));
  limits_.OnMembershipView(
      MakeQuotaView(self_.host, settings_.domain, members, listed_hosts_), now);
  claims_.SetAppendInterval(std::max<Duration>(
      kMinClaimAppendInterval,
      std::chrono::seconds(live.size()) / kClaimAppendsPerSecond));
  config_.SetHosts(std::move(live));
  if (!addresses_.empty() && !crash_state_requested_) {
    crash_state_requested_ = true;
    Broadcast(peer::CrashFetch{}, /*own_domain_only=*/false);
  }
}

void Control::Impl::SendTo(const std::string& host, std::string payload) {
  const size_t type = peer::EncodedTypeIndex(payload);
  if (type < sent_bytes_.size())
    sent_bytes_[type] += payload.size();
  transport_->Send(host, std::move(payload));
}

template <typename T>
void Control::Impl::Broadcast(const T& message, bool own_domain_only) {
  const std::string payload = peer::Encode(message);
  for (const std::string& host : same_domain_hosts_)
    SendTo(host, payload);
  if (own_domain_only)
    return;
  for (const std::string& host : other_domain_hosts_)
    SendTo(host, payload);
}

void Control::Impl::SendConfigMessage(const std::string& host,
                                      const peer::Message& message) {
  if (!host.empty()) {
    SendTo(host, peer::Encode(message));
    return;
  }
  // Usually chooses a host of this host's failure domain, and sometimes one of
  // another domain, so that the configuration reaches other failure domains
  // even if their hosts cannot reach the log.
  constexpr uint64_t kOtherDomainInverseProbability = 4;
  const bool other = same_domain_hosts_.empty() ||
                     (!other_domain_hosts_.empty() &&
                      rng_.Below(kOtherDomainInverseProbability) == 0);
  const auto& hosts = other ? other_domain_hosts_ : same_domain_hosts_;
  if (!hosts.empty())
    SendTo(hosts[rng_.Below(hosts.size())], peer::Encode(message));
}

void Control::Impl::SendDemand(TimePoint now) {
  for (const quota::OutgoingMessage& outgoing : limits_.MakeMessages(now))
    std::visit(
        [&](const auto& message) {
          SendTo(outgoing.to_host, peer::Encode(message));
        },
        outgoing.message);
}

void Control::Impl::ExchangeState(TimePoint now) {
  RefreshMembers(now);
  upstreams_.Tick(now);
  const routing::EngineReports reports =
      report_sharing_.MakeReportsMessage(now);
  if (!reports.entries.empty())
    Broadcast(reports, /*own_domain_only=*/true);
  crashes_.Expire(now);
  // The list of leaving upstreams is sent in every fourth exchange even if it
  // is unchanged, because marks that a host receives from a peer expire.
  constexpr int kExchangesPerLeavingMessage = 4;
  if (++exchange_count_ % kExchangesPerLeavingMessage == 0) {
    const routing::UpstreamLeaving leaving = upstreams_.MakeLeavingMessage(now);
    // An empty list clears the marks that the previous message set at the
    // peers.
    if (!leaving.upstreams.empty() || sent_upstream_leaving_)
      Broadcast(leaving, /*own_domain_only=*/true);
    sent_upstream_leaving_ = !leaving.upstreams.empty();
  }
  LogReachability("log", config_.lag().reachable, &log_was_reachable_);
  LogReachability("host_list", host_list_reachable_, &host_list_was_reachable_);
}

void Control::Impl::OnPeerMessage(const HostIncarnation& from,
                                  const std::string& payload) {
  const Result<peer::Message> message = peer::Decode(payload);
  if (!message) {
    logger_.Write(LogLine(LogLevel::kWarning, "peer_message_refused")
                      .Field("from", from.host)
                      .Field("fault", message.error().message));
    return;
  }
  received_bytes_[message->index()] += payload.size();
  const TimePoint now = Now();
  std::visit([&](const auto& value) { DispatchMessage(from, value, now); },
             *message);
}

template <typename T>
void Control::Impl::DispatchMessage(const HostIncarnation& from,
                                    const T& message,
                                    TimePoint now) {
  if constexpr (std::is_convertible_v<T, membership::Message>)
    ApplyMemberOutput(members_.OnMessage(message, now, &rng_), now);
  else if constexpr (std::is_convertible_v<T, quota::QuotaMessage>)
    limits_.OnPeerMessage(message, now);
  else
    Receive(from, message, now);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            routing::UpstreamSends message,
                            TimePoint now) {
  message.sender = from;
  upstreams_.OnPeerSends(message, now);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            routing::EngineReports message,
                            TimePoint now) {
  message.sender = from;
  upstreams_.OnPeerReports(message, now);
  coordinator_.StartQueuedRequests(now);
}

void Control::Impl::Receive(const HostIncarnation&,
                            const routing::UpstreamLeaving& message,
                            TimePoint now) {
  upstreams_.OnPeerLeaving(message, now);
}

void Control::Impl::Receive(const HostIncarnation&,
                            const retry::CrashSuspicion& message,
                            TimePoint now) {
  coordinator_.OnSuspicion(message, now);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            const peer::ConfigHint& message,
                            TimePoint) {
  config_.OnHint(from.host, message);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            const peer::ConfigFetch& message,
                            TimePoint) {
  config_.OnFetch(from.host, message);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            const peer::ConfigTransfer& message,
                            TimePoint) {
  config_.OnTransfer(from.host, message);
}

void Control::Impl::Receive(const HostIncarnation& from,
                            const peer::CrashFetch&,
                            TimePoint now) {
  const retry::CrashSuspicion known = crashes_.Snapshot(now);
  if (!known.empty())
    SendTo(from.host, peer::Encode(known));
}

}  // namespace teaselhill::router
