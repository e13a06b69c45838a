/// \file
/// Contracts, rate limiters and shares of this host.

#include "teaselhill/quota/limit_share.h"

#include <cassert>
#include <cmath>

#include "limit_share_impl.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::quota {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

}  // namespace

std::string_view LimitName(LimitKind kind) {
  switch (kind) {
    case LimitKind::kRequests:
      return "requests";
    case LimitKind::kTokens:
      return "tokens";
    case LimitKind::kConcurrency:
      return "concurrency";
  }
  assert(false && "unknown limit kind");
  return "unknown";
}

void LimitShare::Impl::ApplyContract(const std::string& customer,
                                     const config::Limits& limits,
                                     TimePoint now) {
  auto found = contracts_.find(customer);
  if (found == contracts_.end()) {
    found = contracts_.emplace(customer, ContractState(now)).first;
    found->second.key = Hash64(customer);
    contracts_by_key_[found->second.key] = &found->second;
  }
  found->second.limits = limits;
}

void LimitShare::Impl::RemoveContract(const std::string& customer) {
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return;
  contracts_by_key_.erase(found->second.key);
  contracts_.erase(found);
}

void LimitShare::Impl::OnMembershipView(const MembershipView& view,
                                        TimePoint now) {
  std::map<std::pair<uint32_t, std::string>, std::string> previous_owners;
  for (uint32_t shard = 0; shard < options_.shard_count; ++shard) {
    for (const std::string& domain : view_.LiveDomains())
      previous_owners[{shard, domain}] = view_.OwnerOf(shard, domain);
  }
  view_.ApplyMembership(view, now);
  for (uint32_t shard = 0; shard < options_.shard_count; ++shard) {
    if (!OwnsShard(shard))
      shard_owners_[shard].ReleaseOwnership();
    for (const std::string& domain : view_.LiveDomains()) {
      if (previous_owners[{shard, domain}] == view_.OwnerOf(shard, domain))
        continue;
      shard_owners_[shard].ResendDomainDemand();
      if (domain == self_.domain) {
        shards_[shard].full_report_due = true;
        ExtendShares(&shards_[shard], now);
      }
    }
  }
  for (const Member& member : view.members) {
    if (member.state != MemberState::kSuspect)
      continue;
    for (uint32_t shard = 0; shard < options_.shard_count; ++shard) {
      if (view_.OwnerOf(shard, self_.domain) == member.host)
        ExtendShares(&shards_[shard], now);
    }
  }
  RemoveUnreachableStreams(&received_streams_);
  RemoveUnreachableStreams(&sent_sequences_);
}

AcquireResult LimitShare::Impl::TryAcquire(const std::string& customer,
                                           RequestCost cost,
                                           TimePoint now,
                                           AcquireAttempt attempt) {
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return AcquiredQuota{};
  ContractState& contract = found->second;
  const config::Limits& limits = contract.limits;
  if (attempt == AcquireAttempt::kFirst)
    contract.demand_meter.OnRequest(cost.tokens, now);
  // A small demand may stay unreported for a while. An early tick is therefore
  // requested only once until the contract is idle again, and not for every
  // request.
  if (IsZero(contract.reported_demand) &&
      !std::exchange(contract.early_tick_requested, true))
    early_tick_due_ = true;
  const HostShares shares = ComputeShares(contract, now);
  const double request_depth = BucketDepth(limits.requests_per_second, 1);
  const double token_depth = BucketDepth(limits.tokens_per_second, cost.tokens);
  contract.request_bucket.Refill(shares.requests, request_depth, now);
  contract.token_bucket.Refill(shares.tokens, token_depth, now);

  if (limits.concurrency > 0 && !HasConcurrencySlot(contract, shares)) {
    if (attempt == AcquireAttempt::kFirst)
      contract.demand_meter.OnConcurrencyRefused();
    return MakeRefusal(customer, LimitKind::kConcurrency, 1,
                       shares.concurrency);
  }
  if (limits.requests_per_second > 0) {
    const double deficit = contract.request_bucket.Deficit(1, request_depth);
    if (deficit > 0)
      return MakeRefusal(customer, LimitKind::kRequests, deficit,
                         shares.requests);
  }
  if (limits.tokens_per_second > 0) {
    const double deficit =
        contract.token_bucket.Deficit(cost.tokens, token_depth);
    if (deficit > 0)
      return MakeRefusal(customer, LimitKind::kTokens, deficit, shares.tokens);
  }
  contract.request_bucket.Consume(1);
  contract.token_bucket.Consume(cost.tokens);
  ++contract.in_flight;
  return AcquiredQuota{};
}

void LimitShare::Impl::Release(const std::string& customer,
                               RequestCost predicted,
                               RequestCost actual,
                               TimePoint now) {
  const auto found = contracts_.find(customer);
  // If a contract was removed and applied again, requests from before the
  // removal are not counted in `in_flight`.
  if (found == contracts_.end() || found->second.in_flight == 0)
    return;
  ContractState& contract = found->second;
  --contract.in_flight;
  contract.token_bucket.Refill(
      ComputeShares(contract, now).tokens,
      BucketDepth(contract.limits.tokens_per_second, predicted.tokens), now);
  contract.token_bucket.Consume(actual.tokens - predicted.tokens);
}

ShareStats LimitShare::Impl::Stats(const std::string& customer,
                                   TimePoint now) const {
  ShareStats stats;
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return stats;
  const ContractState& contract = found->second;
  const HostShares shares = ComputeShares(contract, now);
  if (contract.limits.requests_per_second > 0)
    stats.requests_per_second = shares.requests;
  if (contract.limits.tokens_per_second > 0)
    stats.tokens_per_second = shares.tokens;
  if (contract.limits.concurrency > 0)
    stats.concurrency = shares.concurrency;
  stats.in_flight = contract.in_flight;
  stats.has_grant = HasGrantInForce(contract, now);
  return stats;
}

config::Limits LimitShare::Impl::LimitsOf(ContractKey contract) const {
  const auto found = contracts_by_key_.find(contract);
  return found == contracts_by_key_.end() ? config::Limits{}
                                          : found->second->limits;
}

bool LimitShare::Impl::OwnsShard(uint32_t shard) const {
  return view_.OwnerOf(shard, self_.domain) == self_.host;
}

uint32_t LimitShare::Impl::ShardOf(ContractKey key) const {
  return static_cast<uint32_t>(key % options_.shard_count);
}

void LimitShare::Impl::ExtendShares(ShardState* shard, TimePoint now) const {
  const Duration takeover_time =
      options_.keep_alive_interval + 2 * options_.send_interval;
  const TimePoint renewed_at = now - options_.share_lifetime + takeover_time;
  const bool in_force =
      shard->renewed_at && now - *shard->renewed_at <= options_.share_lifetime;
  if (in_force)
    shard->renewed_at = std::max(*shard->renewed_at, renewed_at);
}

bool LimitShare::Impl::HasGrantInForce(const ContractState& contract,
                                       TimePoint now) const {
  const auto& renewed_at = shards_[ShardOf(contract.key)].renewed_at;
  return contract.has_share && renewed_at &&
         now - *renewed_at <= options_.share_lifetime;
}

double LimitShare::Impl::BucketDepth(double limit, double cost) const {
  const double even_share = limit / static_cast<double>(view_.listed_count());
  const double two_requests = std::max(std::min(2 * cost, limit), 1.0);
  return std::max(two_requests,
                  even_share * ToSeconds(options_.burst_duration));
}

LimitShare::Impl::LimitSplit LimitShare::Impl::SplitLimit(double floor_fraction,
                                                          TimePoint now) const {
  return {(1 - floor_fraction) * view_.UsableFraction(now),
          floor_fraction / static_cast<double>(view_.listed_count())};
}

LimitShare::Impl::HostShares LimitShare::Impl::ComputeShares(
    const ContractState& contract,
    TimePoint now) const {
  const ContractShare no_share;
  const ContractShare& share =
      HasGrantInForce(contract, now) ? contract.share : no_share;
  const config::Limits& limits = contract.limits;
  const LimitSplit rate_split = SplitLimit(options_.floor_fraction, now);
  HostShares shares;
  shares.requests =
      limits.requests_per_second * rate_split.FractionOf(share.requests);
  shares.tokens =
      limits.tokens_per_second * rate_split.FractionOf(share.tokens);
  // If the floor of each host would be less than one concurrent request, no
  // host could use its floor, so there is none.
  const bool has_floor = limits.concurrency * options_.floor_fraction >=
                         static_cast<double>(view_.listed_count());
  const LimitSplit concurrency_split =
      SplitLimit(has_floor ? options_.floor_fraction : 0, now);
  const double begin =
      concurrency_split.fraction_by_demand * share.concurrency.begin +
      concurrency_split.floor_fraction_per_host *
          static_cast<double>(view_.own_index());
  const double end = begin + concurrency_split.FractionOf(share.concurrency);
  // Both ends of the range are rounded, and not its width, so that the shares
  // of all hosts add up to the limit. The tolerance allows for the precision of
  // `ShareRange`, whose ends are floats.
  constexpr double kTolerance = 1e-4;
  shares.concurrency = std::floor(limits.concurrency * end + kTolerance) -
                       std::floor(limits.concurrency * begin + kTolerance);
  return shares;
}

bool LimitShare::Impl::HasConcurrencySlot(const ContractState& contract,
                                          const HostShares& shares) const {
  if (contract.in_flight < shares.concurrency)
    return true;
  // An idle host may start one request before a share is granted to it, if the
  // limit is large enough for every host to do so.
  const bool is_idle =
      contract.in_flight == 0 && IsZero(contract.reported_demand);
  return is_idle &&
         contract.limits.concurrency >= static_cast<int>(view_.listed_count());
}

LimitRefusal LimitShare::Impl::MakeRefusal(const std::string& customer,
                                           LimitKind kind,
                                           double deficit,
                                           double share) {
  const double retry_seconds = share > 0 && kind != LimitKind::kConcurrency
                                   ? std::min(deficit / share, 60.0)
                                   : 1;
  return {
      Error{ResultCode::kLimitExceeded,
            "limit on " + std::string(LimitName(kind)) + " of contract " +
                customer + " exceeded"},
      kind,
      std::clamp(FromSeconds(retry_seconds), kMinRetryAfter, kMaxRetryAfter),
      share};
}

LimitShare::LimitShare(HostIdentity self, QuotaOptions options, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(self), options, now)) {}
LimitShare::~LimitShare() = default;

void LimitShare::ApplyContract(const std::string& customer,
                               const config::Limits& limits,
                               TimePoint now) {
  impl_->ApplyContract(customer, limits, now);
}

void LimitShare::RemoveContract(const std::string& customer) {
  impl_->RemoveContract(customer);
}

void LimitShare::OnMembershipView(const MembershipView& view, TimePoint now) {
  impl_->OnMembershipView(view, now);
}

AcquireResult LimitShare::TryAcquire(const std::string& customer,
                                     RequestCost cost,
                                     TimePoint now,
                                     AcquireAttempt attempt) {
  return impl_->TryAcquire(customer, cost, now, attempt);
}

void LimitShare::Release(const std::string& customer,
                         RequestCost predicted,
                         RequestCost actual,
                         TimePoint now) {
  impl_->Release(customer, predicted, actual, now);
}

std::vector<OutgoingMessage> LimitShare::MakeMessages(TimePoint now) {
  return impl_->MakeMessages(now);
}

void LimitShare::OnPeerMessage(const QuotaMessage& message, TimePoint now) {
  impl_->OnPeerMessage(message, now);
}

ShareStats LimitShare::Stats(const std::string& customer, TimePoint now) const {
  return impl_->Stats(customer, now);
}

double LimitShare::reachable_fraction() const {
  return impl_->reachable_fraction();
}

}  // namespace teaselhill::quota
