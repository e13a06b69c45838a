/// \file
/// Exchange of demand and shares between hosts.

#include "limit_share_impl.h"

namespace teaselhill::quota {

namespace {

/// If more contracts than this have demand, the longer idle timeout is used,
/// because reporting the end of each demand after the shorter timeout would
/// require too many messages.
constexpr size_t kManyContracts = 40;

}  // namespace

std::vector<OutgoingMessage> LimitShare::Impl::MakeMessages(TimePoint now) {
  now_ = now;
  const Duration interval =
      early_tick_due_ ? options_.early_send_interval : options_.send_interval;
  if (last_tick_at_ && now - *last_tick_at_ < interval)
    return {};
  last_tick_at_ = now;
  early_tick_due_ = false;
  std::vector<OutgoingMessage> messages;
  ReportDemand(now, &messages);
  for (uint32_t shard = 0; shard < options_.shard_count; ++shard) {
    if (OwnsShard(shard))
      RunShardOwner(shard, now, &messages);
  }
  return messages;
}

void LimitShare::Impl::OnPeerMessage(const QuotaMessage& message,
                                     TimePoint now) {
  std::visit([&](const auto& typed_message) { Receive(typed_message, now); },
             message);
}

void LimitShare::Impl::ReportDemand(TimePoint now,
                                    std::vector<OutgoingMessage>* messages) {
  std::vector<std::vector<ContractDemand>> due_demands(options_.shard_count);
  const bool many_contracts = active_contract_count_ > kManyContracts;
  active_contract_count_ = 0;
  std::vector<bool> has_demand(options_.shard_count);
  for (auto& [customer, contract] : contracts_) {
    ContractDemand demand = contract.demand_meter.Update(
        contract.limits, contract.in_flight, many_contracts, now);
    demand.contract = contract.key;
    const uint32_t shard = ShardOf(contract.key);
    const bool report_due = shards_[shard].full_report_due && !IsZero(demand);
    const auto& reported_at = shards_[shard].reported_at;
    const bool sent_recently =
        reported_at && now - *reported_at < kMinorChangeInterval;
    const bool may_wait = sent_recently && IsMinor(contract.reported_demand,
                                                   demand, contract.limits);
    const bool changed = !may_wait && IsSignificant(contract.reported_demand,
                                                    demand, contract.limits);
    if (report_due || changed) {
      contract.reported_demand = demand;
      due_demands[shard].push_back(demand);
    }
    // When the owner receives zero demand, it grants the share of this host to
    // other hosts without a message to this host. This host therefore discards
    // the share itself.
    if (IsZero(contract.reported_demand)) {
      contract.has_share = false;
      contract.early_tick_requested &= !IsZero(demand);
    } else {
      has_demand[shard] = true;
      ++active_contract_count_;
    }
  }
  for (uint32_t index = 0; index < options_.shard_count; ++index) {
    ShardState& shard = shards_[index];
    const std::string& owner = view_.OwnerOf(index, self_.domain);
    const bool keep_alive_due =
        !shard.reported_at ||
        now - *shard.reported_at >= options_.keep_alive_interval;
    // A new owner waits for a full message from each host, including hosts
    // without demand.
    const bool message_due =
        shard.full_report_due || !due_demands[index].empty() ||
        (has_demand[index] && keep_alive_due) ||
        HasLostMessage(owner, MessageKind::kShareGrant, index);
    if (!message_due)
      continue;
    HostDemand message{
        MakeStreamHeader(owner, MessageKind::kHostDemand, index,
                         shard.full_report_due, MessageKind::kShareGrant),
        std::move(due_demands[index])};
    shard.full_report_due = false;
    shard.reported_at = now;
    Send(owner, std::move(message), now, messages);
  }
}

void LimitShare::Impl::RunShardOwner(uint32_t shard,
                                     TimePoint now,
                                     std::vector<OutgoingMessage>* messages) {
  ShardOwner::TickOutput output = shard_owners_[shard].Tick(view_, *this, now);
  if (output.send_domain_demands) {
    for (const std::string& domain : view_.LiveDomains()) {
      if (domain == self_.domain)
        continue;
      const std::string& owner = view_.OwnerOf(shard, domain);
      DomainDemand message{MakeStreamHeader(owner, MessageKind::kDomainDemand,
                                            shard, output.full_domain_demands,
                                            MessageKind::kDomainDemand),
                           self_.domain, output.domain_demands};
      Send(owner, std::move(message), now, messages);
    }
  }
  for (auto& [host, shares] : output.shares) {
    if (!view_.IsLive(host))
      continue;
    ShareGrant message{
        MakeStreamHeader(host, MessageKind::kShareGrant, shard, shares.is_full,
                         MessageKind::kHostDemand),
        std::move(shares.shares)};
    Send(host, std::move(message), now, messages);
  }
}

bool LimitShare::Impl::HasLostMessage(const std::string& peer,
                                      MessageKind kind,
                                      uint32_t shard) const {
  const auto found = received_streams_.find({peer, kind, shard});
  return found != received_streams_.end() && found->second.lost_message;
}

StreamHeader LimitShare::Impl::MakeStreamHeader(const std::string& to_host,
                                                MessageKind kind,
                                                uint32_t shard,
                                                bool full,
                                                MessageKind reverse_kind) {
  return {self_.host,
          self_.incarnation,
          ++sent_sequences_[{to_host, kind, shard}],
          shard,
          full,
          HasLostMessage(to_host, reverse_kind, shard)};
}

bool LimitShare::Impl::AcceptMessage(const StreamHeader& header,
                                     MessageKind kind) {
  if (header.shard >= options_.shard_count || !view_.IsLive(header.host))
    return false;
  ReceivedStream& stream = received_streams_[{header.host, kind, header.shard}];
  if (std::tie(header.incarnation, header.sequence) <=
      std::tie(stream.incarnation, stream.sequence))
    return false;
  const bool is_next = header.incarnation == stream.incarnation &&
                       header.sequence == stream.sequence + 1;
  stream.lost_message = !header.is_full && (stream.lost_message || !is_next);
  stream.incarnation = header.incarnation;
  stream.sequence = header.sequence;
  return true;
}

void LimitShare::Impl::Receive(const HostDemand& message, TimePoint now) {
  const StreamHeader& header = message.header;
  if (!view_.IsLiveInDomain(header.host, self_.domain) ||
      !AcceptMessage(header, MessageKind::kHostDemand))
    return;
  if (shard_owners_[header.shard].OnHostDemand(message, now))
    early_tick_due_ = true;
  if (header.resync)
    shard_owners_[header.shard].ResendShares(header.host);
  if (HasLostMessage(header.host, MessageKind::kHostDemand, header.shard))
    shard_owners_[header.shard].ScheduleHostMessage(header.host);
}

void LimitShare::Impl::Receive(const DomainDemand& message, TimePoint now) {
  const StreamHeader& header = message.header;
  if (message.domain == self_.domain ||
      !view_.IsLiveInDomain(header.host, message.domain) ||
      !AcceptMessage(header, MessageKind::kDomainDemand))
    return;
  shard_owners_[header.shard].OnDomainDemand(message, now);
  if (header.resync)
    shard_owners_[header.shard].ResendDomainDemand();
  if (HasLostMessage(header.host, MessageKind::kDomainDemand, header.shard))
    shard_owners_[header.shard].ScheduleDomainMessages();
}

void LimitShare::Impl::Receive(const ShareGrant& message, TimePoint now) {
  const StreamHeader& header = message.header;
  if (!AcceptMessage(header, MessageKind::kShareGrant) ||
      view_.OwnerOf(header.shard, self_.domain) != header.host)
    return;
  ShardState& shard = shards_[header.shard];
  if (header.resync)
    shard.full_report_due = true;
  if (header.is_full)
    ClearShares(header.shard);
  for (const ContractShare& share : message.shares) {
    const auto found = contracts_by_key_.find(share.contract);
    if (found == contracts_by_key_.end() ||
        ShardOf(share.contract) != header.shard)
      continue;
    found->second->share = share;
    found->second->has_share = true;
  }
  // After a lost message, shares that are not listed in `message` may be
  // outdated. No share of the shard is then renewed.
  if (!HasLostMessage(header.host, MessageKind::kShareGrant, header.shard))
    shard.renewed_at = now;
}

void LimitShare::Impl::ClearShares(uint32_t shard) {
  for (auto& [customer, contract] : contracts_) {
    if (ShardOf(contract.key) == shard)
      contract.has_share = false;
  }
}

}  // namespace teaselhill::quota
