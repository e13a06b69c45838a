/// \file
/// Exchange of demand and shares between hosts.

#include "limit_share_impl.h"

namespace teaselhill::quota {

namespace {

/// With more contracts in use than this, reporting each end of demand after the
/// shorter idle time would require too many messages.
constexpr size_t kManyContracts = 40;

}  // namespace

std::vector<OutgoingMessage> LimitShare::Impl::MakeDemand(TimePoint now) {
  now_ = now;
  const Duration interval =
      wake_ ? options_.start_interval : options_.send_interval;
  if (last_tick_ && now - *last_tick_ < interval)
    return {};
  last_tick_ = now;
  wake_ = false;
  std::vector<OutgoingMessage> messages;
  ReportDemand(now, &messages);
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    if (Owns(shard))
      RunOwner(shard, now, &messages);
  }
  return messages;
}

void LimitShare::Impl::OnPeerDemand(const QuotaMessage& message,
                                    TimePoint now) {
  std::visit([&](const auto& typed) { Receive(typed, now); }, message);
}

void LimitShare::Impl::ReportDemand(TimePoint now,
                                    std::vector<OutgoingMessage>* messages) {
  std::vector<std::vector<ContractDemand>> due(options_.shards);
  const bool many = active_contracts_ > kManyContracts;
  active_contracts_ = 0;
  std::vector<bool> active(options_.shards);
  for (auto& [customer, contract] : contracts_) {
    ContractDemand demand =
        contract.meter.Update(contract.limits, contract.in_flight, many, now);
    demand.contract = contract.key;
    const uint32_t shard = ShardOf(contract.key);
    const bool resend = shards_[shard].resend && !IsZero(demand);
    const auto& reported_at = shards_[shard].reported_at;
    const bool quiet = reported_at && now - *reported_at < kMinorInterval;
    const bool may_wait =
        quiet && IsMinor(contract.reported, demand, contract.limits);
    const bool changed =
        !may_wait && IsSignificant(contract.reported, demand, contract.limits);
    if (resend || changed) {
      contract.reported = demand;
      due[shard].push_back(demand);
    }
    // The owner grants the share of an idle host to others without a message to
    // the idle host.
    if (IsZero(contract.reported)) {
      contract.has_share = false;
      contract.woke &= !IsZero(demand);
    } else {
      active[shard] = true;
      ++active_contracts_;
    }
  }
  for (uint32_t index = 0; index < options_.shards; ++index) {
    Shard& shard = shards_[index];
    const std::string& owner = view_.Owner(index, self_.domain);
    const bool silent =
        !shard.reported_at || now - *shard.reported_at >= options_.keep_alive;
    // A new owner waits for a full message from each host, even one without
    // demand.
    const bool send = shard.resend || !due[index].empty() ||
                      (active[index] && silent) ||
                      Missed(owner, Kind::kShareGrant, index);
    if (!send)
      continue;
    HostDemand message{
        Head(owner, Kind::kHostDemand, index, shard.resend, Kind::kShareGrant),
        std::move(due[index])};
    shard.resend = false;
    shard.reported_at = now;
    Send(owner, std::move(message), now, messages);
  }
}

void LimitShare::Impl::RunOwner(uint32_t shard,
                                TimePoint now,
                                std::vector<OutgoingMessage>* messages) {
  ShardOwner::Output output = owners_[shard].Tick(view_, *this, now);
  if (output.send_domain_demands) {
    for (const std::string& domain : view_.LiveDomains()) {
      if (domain == self_.domain)
        continue;
      const std::string& owner = view_.Owner(shard, domain);
      DomainDemand message{
          Head(owner, Kind::kDomainDemand, shard, output.full_domain_demands,
               Kind::kDomainDemand),
          self_.domain, output.domain_demands};
      Send(owner, std::move(message), now, messages);
    }
  }
  for (auto& [host, shares] : output.shares) {
    if (!view_.IsLive(host))
      continue;
    ShareGrant message{
        Head(host, Kind::kShareGrant, shard, shares.full, Kind::kHostDemand),
        std::move(shares.shares)};
    Send(host, std::move(message), now, messages);
  }
}

bool LimitShare::Impl::Missed(const std::string& peer,
                              Kind kind,
                              uint32_t shard) const {
  const auto found = received_.find({peer, kind, shard});
  return found != received_.end() && found->second.missed;
}

StreamHead LimitShare::Impl::Head(const std::string& to_host,
                                  Kind kind,
                                  uint32_t shard,
                                  bool full,
                                  Kind opposite) {
  return {self_.host,
          self_.incarnation,
          ++sent_[{to_host, kind, shard}],
          shard,
          full,
          Missed(to_host, opposite, shard)};
}

bool LimitShare::Impl::IsNew(const StreamHead& head, Kind kind) {
  if (head.shard >= options_.shards || !view_.IsLive(head.host))
    return false;
  Received& last = received_[{head.host, kind, head.shard}];
  if (std::tie(head.incarnation, head.sequence) <=
      std::tie(last.incarnation, last.sequence))
    return false;
  const bool next = head.incarnation == last.incarnation &&
                    head.sequence == last.sequence + 1;
  last.missed = !head.full && (last.missed || !next);
  last.incarnation = head.incarnation;
  last.sequence = head.sequence;
  return true;
}

void LimitShare::Impl::Receive(const HostDemand& message, TimePoint now) {
  const StreamHead& head = message.head;
  if (!view_.InDomain(head.host, self_.domain) ||
      !IsNew(head, Kind::kHostDemand))
    return;
  if (owners_[head.shard].OnHostDemand(message, now))
    wake_ = true;
  if (head.resync)
    owners_[head.shard].ResendShares(head.host);
  if (Missed(head.host, Kind::kHostDemand, head.shard))
    owners_[head.shard].WakeHost(head.host);
}

void LimitShare::Impl::Receive(const DomainDemand& message, TimePoint now) {
  const StreamHead& head = message.head;
  if (message.domain == self_.domain ||
      !view_.InDomain(head.host, message.domain) ||
      !IsNew(head, Kind::kDomainDemand))
    return;
  owners_[head.shard].OnDomainDemand(message, now);
  if (head.resync)
    owners_[head.shard].ResendDomainDemand();
  if (Missed(head.host, Kind::kDomainDemand, head.shard))
    owners_[head.shard].WakeDomains();
}

void LimitShare::Impl::Receive(const ShareGrant& message, TimePoint now) {
  const StreamHead& head = message.head;
  if (!IsNew(head, Kind::kShareGrant) ||
      view_.Owner(head.shard, self_.domain) != head.host)
    return;
  Shard& shard = shards_[head.shard];
  if (head.resync)
    shard.resend = true;
  if (head.full)
    ClearShares(head.shard);
  for (const ContractShare& share : message.shares) {
    const auto found = by_key_.find(share.contract);
    if (found == by_key_.end() || ShardOf(share.contract) != head.shard)
      continue;
    found->second->share = share;
    found->second->has_share = true;
  }
  // After a lost message, shares that are not listed in this one may be
  // outdated, so none is renewed.
  if (!Missed(head.host, Kind::kShareGrant, head.shard))
    shard.renewed_at = now;
}

void LimitShare::Impl::ClearShares(uint32_t shard) {
  for (auto& [customer, contract] : contracts_) {
    if (ShardOf(contract.key) == shard)
      contract.has_share = false;
  }
}

}  // namespace teaselhill::quota
