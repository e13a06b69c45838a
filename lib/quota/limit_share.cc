/// \file
/// Contracts, rate limiters and shares of this host.

#include "teaselhill/quota/limit_share.h"

#include <cassert>
#include <cmath>

#include "limit_share_impl.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::quota {
namespace {

constexpr Duration kShortestRetry = std::chrono::seconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(60);

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
    found = contracts_.emplace(customer, Contract(now)).first;
    found->second.key = Hash64(customer);
    by_key_[found->second.key] = &found->second;
  }
  found->second.limits = limits;
}

void LimitShare::Impl::RemoveContract(const std::string& customer) {
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return;
  by_key_.erase(found->second.key);
  contracts_.erase(found);
}

void LimitShare::Impl::OnMembers(const MembershipView& view, TimePoint now) {
  std::map<std::pair<uint32_t, std::string>, std::string> before;
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    for (const std::string& domain : view_.LiveDomains())
      before[{shard, domain}] = view_.Owner(shard, domain);
  }
  view_.Apply(view, now);
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    if (!Owns(shard))
      owners_[shard].Release();
    for (const std::string& domain : view_.LiveDomains()) {
      if (before[{shard, domain}] == view_.Owner(shard, domain))
        continue;
      owners_[shard].ResendDomainDemand();
      if (domain == self_.domain) {
        shards_[shard].resend = true;
        KeepShares(&shards_[shard], now);
      }
    }
  }
  for (const Member& member : view.members) {
    if (member.state != MemberState::kSuspect)
      continue;
    for (uint32_t shard = 0; shard < options_.shards; ++shard) {
      if (view_.Owner(shard, self_.domain) == member.host)
        KeepShares(&shards_[shard], now);
    }
  }
  DropStreams(&received_);
  DropStreams(&sent_);
}

TakeResult LimitShare::Impl::TryTake(const std::string& customer,
                                     Cost cost,
                                     TimePoint now,
                                     Attempt attempt) {
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return Taken{};
  Contract& contract = found->second;
  const config::Limits& limits = contract.limits;
  if (attempt == Attempt::kFirst)
    contract.meter.OnAttempt(cost.tokens, now);
  // Only once until the contract is idle again, because a small demand may stay
  // unreported for a while.
  if (IsZero(contract.reported) && !std::exchange(contract.woke, true))
    wake_ = true;
  const Shares shares = SharesOf(contract, now);
  const double request_depth = Depth(limits.requests_per_second, 1);
  const double token_depth = Depth(limits.tokens_per_second, cost.tokens);
  contract.requests.Refill(shares.requests, request_depth, now);
  contract.tokens.Refill(shares.tokens, token_depth, now);

  if (limits.concurrency > 0 && !MayStart(contract, shares)) {
    if (attempt == Attempt::kFirst)
      contract.meter.OnConcurrencyRefused();
    return Refuse(customer, LimitKind::kConcurrency, 1, shares.concurrency);
  }
  if (limits.requests_per_second > 0) {
    const double missing = contract.requests.Missing(1, request_depth);
    if (missing > 0)
      return Refuse(customer, LimitKind::kRequests, missing, shares.requests);
  }
  if (limits.tokens_per_second > 0) {
    const double missing = contract.tokens.Missing(cost.tokens, token_depth);
    if (missing > 0)
      return Refuse(customer, LimitKind::kTokens, missing, shares.tokens);
  }
  contract.requests.Take(1);
  contract.tokens.Take(cost.tokens);
  ++contract.in_flight;
  return Taken{};
}

void LimitShare::Impl::Finish(const std::string& customer,
                              Cost predicted,
                              Cost actual,
                              TimePoint now) {
  const auto found = contracts_.find(customer);
  // A contract that was removed and applied again has not counted the requests
  // from before.
  if (found == contracts_.end() || found->second.in_flight == 0)
    return;
  Contract& contract = found->second;
  --contract.in_flight;
  contract.tokens.Refill(
      SharesOf(contract, now).tokens,
      Depth(contract.limits.tokens_per_second, predicted.tokens), now);
  contract.tokens.Take(actual.tokens - predicted.tokens);
}

ShareFigures LimitShare::Impl::Figures(const std::string& customer,
                                       TimePoint now) const {
  ShareFigures figures;
  const auto found = contracts_.find(customer);
  if (found == contracts_.end())
    return figures;
  const Contract& contract = found->second;
  const Shares shares = SharesOf(contract, now);
  if (contract.limits.requests_per_second > 0)
    figures.requests_per_second = shares.requests;
  if (contract.limits.tokens_per_second > 0)
    figures.tokens_per_second = shares.tokens;
  if (contract.limits.concurrency > 0)
    figures.concurrency = shares.concurrency;
  figures.in_flight = contract.in_flight;
  figures.granted = IsGranted(contract, now);
  return figures;
}

config::Limits LimitShare::Impl::LimitsOf(ContractKey contract) const {
  const auto found = by_key_.find(contract);
  return found == by_key_.end() ? config::Limits{} : found->second->limits;
}

bool LimitShare::Impl::Owns(uint32_t shard) const {
  return view_.Owner(shard, self_.domain) == self_.host;
}

uint32_t LimitShare::Impl::ShardOf(ContractKey key) const {
  return static_cast<uint32_t>(key % options_.shards);
}

void LimitShare::Impl::KeepShares(Shard* shard, TimePoint now) const {
  const Duration takeover = options_.keep_alive + 2 * options_.send_interval;
  const TimePoint renewed_at = now - options_.share_lifetime + takeover;
  const bool in_force =
      shard->renewed_at && now - *shard->renewed_at <= options_.share_lifetime;
  if (in_force)
    shard->renewed_at = std::max(*shard->renewed_at, renewed_at);
}

bool LimitShare::Impl::IsGranted(const Contract& contract,
                                 TimePoint now) const {
  const auto& renewed_at = shards_[ShardOf(contract.key)].renewed_at;
  return contract.has_share && renewed_at &&
         now - *renewed_at <= options_.share_lifetime;
}

double LimitShare::Impl::Depth(double limit, double cost) const {
  const double even = limit / static_cast<double>(view_.listed());
  const double two = std::max(std::min(2 * cost, limit), 1.0);
  return std::max(two, even * ToSeconds(options_.burst));
}

LimitShare::Impl::Split LimitShare::Impl::SplitOf(double floor_fraction,
                                                  TimePoint now) const {
  return {(1 - floor_fraction) * view_.Fraction(now),
          floor_fraction / static_cast<double>(view_.listed())};
}

LimitShare::Impl::Shares LimitShare::Impl::SharesOf(const Contract& contract,
                                                    TimePoint now) const {
  const ContractShare none;
  const ContractShare& share = IsGranted(contract, now) ? contract.share : none;
  const config::Limits& limits = contract.limits;
  const Split rates = SplitOf(options_.floor_fraction, now);
  Shares shares;
  shares.requests = limits.requests_per_second * rates.Width(share.requests);
  shares.tokens = limits.tokens_per_second * rates.Width(share.tokens);
  // A floor of less than one request per host would be of no use to any host.
  const bool has_floor = limits.concurrency * options_.floor_fraction >=
                         static_cast<double>(view_.listed());
  const Split split = SplitOf(has_floor ? options_.floor_fraction : 0, now);
  const double begin = split.by_demand * share.concurrency.begin +
                       split.even * static_cast<double>(view_.rank());
  const double end = begin + split.Width(share.concurrency);
  // Rounding the ends of the range instead of its width makes the shares of all
  // hosts add up to the limit. The tolerance allows for the precision of the
  // float ends.
  constexpr double kTolerance = 1e-4;
  shares.concurrency = std::floor(limits.concurrency * end + kTolerance) -
                       std::floor(limits.concurrency * begin + kTolerance);
  return shares;
}

bool LimitShare::Impl::MayStart(const Contract& contract,
                                const Shares& shares) const {
  if (contract.in_flight < shares.concurrency)
    return true;
  // An idle host may start one request before it gets a share, if the limit is
  // large enough for every host to do so.
  const bool idle = contract.in_flight == 0 && IsZero(contract.reported);
  return idle &&
         contract.limits.concurrency >= static_cast<int>(view_.listed());
}

LimitRefusal LimitShare::Impl::Refuse(const std::string& customer,
                                      LimitKind kind,
                                      double missing,
                                      double share) {
  const double seconds = share > 0 && kind != LimitKind::kConcurrency
                             ? std::min(missing / share, 60.0)
                             : 1;
  return {Error{ResultCode::kLimitExceeded,
                "limit on " + std::string(LimitName(kind)) + " of contract " +
                    customer + " exceeded"},
          kind, std::clamp(FromSeconds(seconds), kShortestRetry, kLongestRetry),
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

void LimitShare::OnMembers(const MembershipView& view, TimePoint now) {
  impl_->OnMembers(view, now);
}

TakeResult LimitShare::TryTake(const std::string& customer,
                               Cost cost,
                               TimePoint now,
                               Attempt attempt) {
  return impl_->TryTake(customer, cost, now, attempt);
}

void LimitShare::Finish(const std::string& customer,
                        Cost predicted,
                        Cost actual,
                        TimePoint now) {
  impl_->Finish(customer, predicted, actual, now);
}

std::vector<OutgoingMessage> LimitShare::MakeDemand(TimePoint now) {
  return impl_->MakeDemand(now);
}

void LimitShare::OnPeerDemand(const QuotaMessage& message, TimePoint now) {
  impl_->OnPeerDemand(message, now);
}

ShareFigures LimitShare::Figures(const std::string& customer,
                                 TimePoint now) const {
  return impl_->Figures(customer, now);
}

double LimitShare::reachable_fraction() const {
  return impl_->reachable_fraction();
}

}  // namespace teaselhill::quota
