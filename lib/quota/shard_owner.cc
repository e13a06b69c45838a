/// \file
/// Splits the limits of one shard's contracts by demand.

#include "shard_owner.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::quota {
namespace {

/// A change of demand is sent if the demand differs from the value last sent by
/// more than kLimitStepFraction of the limit plus kValueStepFraction of that
/// value. A change of a share of requests or tokens is sent if the width of the
/// range differs from the width last sent by more than kShareStepFraction of
/// that width plus kMinShareStep. Smaller changes are sent only in full
/// messages or if a demand starts or ends. Concurrency has bounds of its own,
/// see ExceedsConcurrencyStep and EndsDiffer.
constexpr double kLimitStepFraction = 0.02;
constexpr double kValueStepFraction = 0.1;
constexpr float kShareStepFraction = 0.04f;
constexpr float kMinShareStep = 0.0002f;
/// The demand of a host or domain that is not live is removed after this many
/// keep-alive intervals without a message. The shares of the host or domain
/// have expired by then.
constexpr int kUnreachableTimeoutKeepAlives = 3;
/// Replaces kUnreachableTimeoutKeepAlives for a live host or domain, whose
/// messages may be delayed.
constexpr int kLiveTimeoutKeepAlives = 5;
/// A new owner collects demand for at least this long. Hosts smooth their
/// demand over one second; shares that are computed from the first values of a
/// demand would have to be changed at once.
constexpr Duration kMinCollectTime = std::chrono::seconds(1);
/// A larger share is held back for this many send intervals. In this time, the
/// other domains receive the changed demand and send the smaller shares that
/// make room for the larger share.
constexpr int kGrowthHoldIntervals = 2;

/// Demand that is assumed for each domain while a limit is split evenly over
/// the domains.
const ContractDemand kEqualDomainDemand{0, 1, 1, 1};

bool StartsOrEnds(float sent, float now) {
  return (sent == 0) != (now == 0);
}

bool ExceedsStep(float sent, float now, double limit) {
  return std::abs(now - sent) >
         kLimitStepFraction * limit + kValueStepFraction * sent;
}

/// Returns whether a change of the concurrency is large enough to be sent. The
/// bound is higher than in ExceedsStep, because requests in flight keep their
/// slots when a share is moved to another host.
bool ExceedsConcurrencyStep(float sent, float now, double limit) {
  constexpr double kConcurrencyStepRequests = 0.5;
  constexpr double kConcurrencyStepFraction = 0.25;
  return std::abs(now - sent) > kConcurrencyStepRequests +
                                    kLimitStepFraction * limit +
                                    kConcurrencyStepFraction * sent;
}

void AddTo(ContractDemand* sum, const ContractDemand& demand) {
  sum->requests_per_second += demand.requests_per_second;
  sum->tokens_per_second += demand.tokens_per_second;
  sum->concurrency += demand.concurrency;
}

ContractDemand MinDemand(const ContractDemand& a, const ContractDemand& b) {
  ContractDemand minimum = a;
  minimum.requests_per_second =
      std::min(a.requests_per_second, b.requests_per_second);
  minimum.tokens_per_second =
      std::min(a.tokens_per_second, b.tokens_per_second);
  minimum.concurrency = std::min(a.concurrency, b.concurrency);
  return minimum;
}

float Width(const ShareRange& range) {
  return range.end - range.begin;
}

/// Returns the number of concurrent requests that a range allows. The number
/// can grow by one when the range is moved without a change of its width.
double WholeRequests(const ShareRange& range, int limit) {
  return std::floor(range.end * limit) - std::floor(range.begin * limit);
}

bool IsLarger(const ContractShare& from, const ContractShare& to, int limit) {
  return Width(to.requests) > Width(from.requests) ||
         Width(to.tokens) > Width(from.tokens) ||
         Width(to.concurrency) > Width(from.concurrency) ||
         WholeRequests(to.concurrency, limit) >
             WholeRequests(from.concurrency, limit);
}

bool WidthDiffers(const ShareRange& from, const ShareRange& to) {
  return std::abs(Width(to) - Width(from)) >
         kShareStepFraction * Width(from) + kMinShareStep;
}

bool EndsDiffer(const ShareRange& from, const ShareRange& to, int limit) {
  // If adjacent ranges overlap by more than `max_difference`, rounding may give
  // their hosts one concurrent request too many.
  const float max_difference = 0.02f / static_cast<float>(std::max(limit, 1));
  return std::abs(from.begin - to.begin) > max_difference ||
         std::abs(from.end - to.end) > max_difference;
}

bool ShareDiffers(const ContractShare& from,
                  const ContractShare& to,
                  const config::Limits& limits) {
  return WidthDiffers(from.requests, to.requests) ||
         WidthDiffers(from.tokens, to.tokens) ||
         EndsDiffer(from.concurrency, to.concurrency, limits.concurrency);
}

/// Returns whether a change of a share is small and does not reduce the share
/// by much. Sending such a change can wait for kMinorChangeInterval.
bool IsMinor(const ShareRange& from, const ShareRange& to) {
  constexpr float kMinLargeChange = 0.01f;
  constexpr float kMinLargeCutFraction = 0.25f;
  return std::abs(Width(to) - Width(from)) < kMinLargeChange &&
         Width(to) >= Width(from) * (1 - kMinLargeCutFraction);
}

bool IsMinor(const ContractShare& from, const ContractShare& to) {
  return IsMinor(from.requests, to.requests) &&
         IsMinor(from.tokens, to.tokens) &&
         IsMinor(from.concurrency, to.concurrency);
}

/// Assigns adjacent ranges of [0, 1) to the hosts of one domain, in proportion
/// to their demand. The ranges of different domains follow each other in the
/// order of the domain names.
class RangeAllocator {
 public:
  /// `preceding` is the sum of the demands of the domains that precede this
  /// domain, `own` the demand of this domain that is in force, `total` the sum
  /// over all domains, and `hosts_sum` the sum over the hosts of this domain.
  RangeAllocator(double preceding, double own, double total, double hosts_sum)
      : next_begin_(total > 0 ? preceding / total : 0),
        range_per_demand_(total > 0 && hosts_sum > 0 ? own / total / hosts_sum
                                                     : 0) {}

  ShareRange Allocate(double demand) {
    const double begin = next_begin_;
    next_begin_ += demand * range_per_demand_;
    return {static_cast<float>(begin), static_cast<float>(next_begin_)};
  }

 private:
  double next_begin_;
  double range_per_demand_;
};

}  // namespace

bool IsZero(const ContractDemand& demand) {
  return demand.requests_per_second == 0 && demand.tokens_per_second == 0 &&
         demand.concurrency == 0;
}

bool IsSignificant(const ContractDemand& sent,
                   const ContractDemand& now,
                   const config::Limits& limits) {
  return !IsMinor(sent, now, limits) ||
         StartsOrEnds(sent.requests_per_second, now.requests_per_second) ||
         StartsOrEnds(sent.tokens_per_second, now.tokens_per_second) ||
         StartsOrEnds(sent.concurrency, now.concurrency);
}

bool IsMinor(const ContractDemand& sent,
             const ContractDemand& now,
             const config::Limits& limits) {
  return !ExceedsStep(sent.requests_per_second, now.requests_per_second,
                      limits.requests_per_second) &&
         !ExceedsStep(sent.tokens_per_second, now.tokens_per_second,
                      limits.tokens_per_second) &&
         !ExceedsConcurrencyStep(sent.concurrency, now.concurrency,
                                 limits.concurrency);
}

ShardOwner::ShardOwner(const HostIdentity& self, const QuotaOptions& options)
    : self_(self), options_(options) {}

void ShardOwner::ReleaseOwnership() {
  owner_since_.reset();
  hosts_with_full_demand_.clear();
  domains_with_full_demand_.clear();
}

void ShardOwner::RemoveHost(const std::string& host) {
  for (auto& [key, contract] : contracts_) {
    contract.hosts.erase(host);
    contract.shares.erase(host);
  }
}

void ShardOwner::RemoveDomain(const std::string& domain) {
  for (auto& [key, contract] : contracts_)
    contract.domains.erase(domain);
}

bool ShardOwner::OnHostDemand(const HostDemand& message, TimePoint now) {
  const std::string& host_name = message.header.host;
  HostState& host = hosts_[host_name];
  // Demand and shares of an earlier incarnation are obsolete.
  if (host.incarnation != message.header.incarnation) {
    RemoveHost(host_name);
    host = {};
    host.incarnation = message.header.incarnation;
  } else if (message.header.is_full) {
    for (auto& [key, contract] : contracts_)
      contract.hosts.erase(host_name);
  }
  host.received_at = now;
  if (message.header.is_full)
    hosts_with_full_demand_.insert(host_name);
  bool starts_use = false;
  for (const ContractDemand& demand : message.demands) {
    ContractState& contract = contracts_[demand.contract];
    if (IsZero(demand)) {
      contract.hosts.erase(host_name);
      contract.shares.erase(host_name);
    } else {
      starts_use |= contract.hosts.count(host_name) == 0;
      contract.hosts[host_name] = demand;
    }
  }
  return starts_use;
}

void ShardOwner::OnDomainDemand(const DomainDemand& message, TimePoint now) {
  if (message.header.is_full) {
    RemoveDomain(message.domain);
    domains_with_full_demand_.insert(message.domain);
  }
  domain_received_at_[message.domain] = now;
  for (const ContractDemand& demand : message.demands) {
    ContractState& contract = contracts_[demand.contract];
    if (IsZero(demand))
      contract.domains.erase(message.domain);
    else
      contract.domains[message.domain] = demand;
  }
}

void ShardOwner::RemoveUnresponsive(const FleetView& view, TimePoint now) {
  const auto is_unresponsive = [&](TimePoint received_at, bool live) {
    const int keep_alives =
        live ? kLiveTimeoutKeepAlives : kUnreachableTimeoutKeepAlives;
    return now - received_at > options_.keep_alive_interval * keep_alives;
  };
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (!is_unresponsive(it->second.received_at,
                         view.IsLiveInDomain(it->first, self_.domain))) {
      ++it;
      continue;
    }
    RemoveHost(it->first);
    it = hosts_.erase(it);
  }
  for (auto it = domain_received_at_.begin();
       it != domain_received_at_.end();) {
    if (!is_unresponsive(it->second, view.HasLiveHost(it->first))) {
      ++it;
      continue;
    }
    RemoveDomain(it->first);
    it = domain_received_at_.erase(it);
  }
}

bool ShardOwner::HasAllHostDemand(const FleetView& view) const {
  const std::vector<std::string> hosts = view.LiveHosts(self_.domain);
  return std::all_of(hosts.begin(), hosts.end(), [this](const auto& host) {
    return hosts_with_full_demand_.count(host) > 0;
  });
}

bool ShardOwner::HasAllDomainDemand(const FleetView& view) const {
  const std::vector<std::string> domains = view.LiveDomains();
  return std::all_of(domains.begin(), domains.end(), [this](const auto& name) {
    return name == self_.domain || domains_with_full_demand_.count(name) > 0;
  });
}

/// Returns whether the demand of this domain may grow. The demand may not grow
/// while no message arrives from another live domain, because that domain may
/// not have received the larger demand. After kLiveTimeoutKeepAlives, the
/// demand of the unresponsive domain is removed and no longer prevents growth.
bool ShardOwner::DemandMayGrow(const FleetView& view, TimePoint now) const {
  const Duration unresponsive_after =
      options_.keep_alive_interval + 4 * options_.send_interval;
  const Duration removed_after =
      options_.keep_alive_interval * kLiveTimeoutKeepAlives;
  for (const std::string& domain : view.LiveDomains()) {
    if (domain == self_.domain)
      continue;
    const auto found = domain_received_at_.find(domain);
    const Duration message_age =
        now -
        (found == domain_received_at_.end() ? *owner_since_ : found->second);
    if (message_age <= removed_after && (found == domain_received_at_.end() ||
                                         message_age > unresponsive_after))
      return false;
  }
  return true;
}

void ShardOwner::UpdateDomainDemand(ContractKey key,
                                    ContractState* contract,
                                    const config::Limits& limits,
                                    bool may_grow,
                                    TickOutput* output) const {
  ContractDemand domain_sum;
  domain_sum.contract = key;
  for (const auto& [host, demand] : contract->hosts)
    AddTo(&domain_sum, demand);
  // If the demand may not grow, the part of it that exceeds the demand last
  // sent is ignored.
  if (!may_grow)
    domain_sum = MinDemand(domain_sum, contract->sent_demand);
  const bool resend = domain_resend_due_ && !IsZero(domain_sum);
  if (resend || IsSignificant(contract->sent_demand, domain_sum, limits)) {
    contract->sent_demand = domain_sum;
    output->domain_demands.push_back(domain_sum);
  }
}

void ShardOwner::GrantShares(ContractKey key,
                             ContractState* contract,
                             const config::Limits& limits,
                             const FleetView& view,
                             bool holds_growth,
                             TimePoint now,
                             TickOutput* output) {
  // If no host of this domain has a share of the contract and no other domain
  // has demand for it, the domain's even share is granted at once. This is safe
  // because all domains can do so at the same time within the limit. The first
  // grants of a new owner are excluded, because they replace the grants of the
  // former owner.
  if (has_granted_ && contract->shares.empty() && contract->domains.empty())
    contract->even_split_until =
        now + options_.send_interval * (kGrowthHoldIntervals + 1);
  const bool even_split = now < contract->even_split_until;
  ContractDemand own = contract->sent_demand;
  ContractDemand preceding;
  ContractDemand total = own;
  for (const auto& [domain, demand] : contract->domains) {
    AddTo(&total, demand);
    if (domain < self_.domain)
      AddTo(&preceding, demand);
  }
  if (even_split) {
    own = preceding = total = {};
    for (const std::string& domain : view.LiveDomains()) {
      AddTo(&total, kEqualDomainDemand);
      if (domain < self_.domain)
        AddTo(&preceding, kEqualDomainDemand);
    }
    own = kEqualDomainDemand;
  }
  ContractDemand hosts_sum;
  for (const auto& [host, demand] : contract->hosts)
    AddTo(&hosts_sum, demand);
  RangeAllocator requests(preceding.requests_per_second,
                          own.requests_per_second, total.requests_per_second,
                          hosts_sum.requests_per_second);
  RangeAllocator tokens(preceding.tokens_per_second, own.tokens_per_second,
                        total.tokens_per_second, hosts_sum.tokens_per_second);
  RangeAllocator concurrency(preceding.concurrency, own.concurrency,
                             total.concurrency, hosts_sum.concurrency);
  for (const auto& [host, demand] : contract->hosts) {
    const ContractShare share{key,
                              requests.Allocate(demand.requests_per_second),
                              tokens.Allocate(demand.tokens_per_second),
                              concurrency.Allocate(demand.concurrency)};
    SentShare& sent = contract->shares[host];
    const bool full_due = hosts_[host].full_due;
    const bool sent_recently =
        now - hosts_[host].sent_at < kMinorChangeInterval;
    if (!full_due && sent.was_sent &&
        !ShareDiffers(sent.share, share, limits)) {
      sent.growth_held_since.reset();
      continue;
    }
    if (!full_due && holds_growth && !even_split &&
        IsLarger(sent.share, share, limits.concurrency)) {
      if (!sent.growth_held_since)
        sent.growth_held_since = now;
      if (now - *sent.growth_held_since <
          options_.send_interval * kGrowthHoldIntervals)
        continue;
    }
    if (!full_due && sent_recently && IsMinor(sent.share, share))
      continue;
    sent = {share, std::nullopt, true};
    output->shares[host].shares.push_back(share);
  }
}

void ShardOwner::AnnounceDemand(const LimitLookup& limits,
                                TimePoint now,
                                TickOutput* output) {
  for (auto& [key, contract] : contracts_)
    UpdateDomainDemand(key, &contract, limits.LimitsOf(key), /*may_grow=*/true,
                       output);
  output->full_domain_demands = domain_resend_due_;
  output->send_domain_demands =
      domain_resend_due_ || !output->domain_demands.empty();
  if (output->send_domain_demands)
    domain_demand_sent_at_ = now;
  domain_resend_due_ = false;
}

ShardOwner::TickOutput ShardOwner::Tick(const FleetView& view,
                                        const LimitLookup& limits,
                                        TimePoint now) {
  TickOutput output;
  if (!owner_since_) {
    owner_since_ = now;
    has_granted_ = false;
    domain_resend_due_ = true;
    for (auto& [key, contract] : contracts_) {
      contract.sent_demand = {};
      contract.shares.clear();
    }
    for (auto& [name, host] : hosts_)
      host.full_due = true;
  }
  RemoveUnresponsive(view, now);
  // Before a new owner grants shares, it receives the demand of all hosts of
  // its domain, sends their sum to the other domains and receives the sums of
  // those domains. The sum over only some of the hosts would be too small.
  // After the keep-alive interval, the owner grants shares without the demand
  // that is still missing.
  const bool is_only_host = view.listed_count() == 1;
  const bool collect_timed_out =
      now - *owner_since_ >= options_.keep_alive_interval;
  if (!is_only_host && !has_granted_ && !collect_timed_out) {
    if (now - *owner_since_ < kMinCollectTime || !HasAllHostDemand(view))
      return output;
    if (!HasAllDomainDemand(view)) {
      AnnounceDemand(limits, now, &output);
      return output;
    }
  }
  // Larger shares are held back, because changed demand of another domain may
  // still be in transit. This also applies to the first grants of a new owner,
  // unless the owner has collected demand for the whole keep-alive interval.
  const bool holds_growth =
      (has_granted_ || !collect_timed_out) && !is_only_host;
  if (!has_granted_)
    domain_resend_due_ = true;
  const bool may_grow = is_only_host || DemandMayGrow(view, now);
  for (auto it = contracts_.begin(); it != contracts_.end();) {
    auto& [key, contract] = *it;
    const config::Limits contract_limits = limits.LimitsOf(key);
    UpdateDomainDemand(key, &contract, contract_limits, may_grow, &output);
    GrantShares(key, &contract, contract_limits, view, holds_growth, now,
                &output);
    const bool is_unused = contract.hosts.empty() && contract.domains.empty() &&
                           IsZero(contract.sent_demand);
    it = is_unused ? contracts_.erase(it) : std::next(it);
  }
  has_granted_ = true;
  output.full_domain_demands = domain_resend_due_;
  output.send_domain_demands =
      domain_resend_due_ || !output.domain_demands.empty() ||
      now - domain_demand_sent_at_ >= options_.keep_alive_interval;
  if (output.send_domain_demands)
    domain_demand_sent_at_ = now;
  domain_resend_due_ = false;
  for (auto& [name, host] : hosts_) {
    const bool message_due = host.full_due || output.shares.count(name) > 0 ||
                             now - host.sent_at >= options_.keep_alive_interval;
    if (!message_due)
      continue;
    output.shares[name].is_full = host.full_due;
    host.full_due = false;
    host.sent_at = now;
  }
  return output;
}

}  // namespace teaselhill::quota
