/// \file
/// Splits the limits of one shard's contracts by demand.

#include "shard_owner.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::quota {
namespace {

/// A changed demand is sent if it differs from the value last sent by more than
/// kLimitStep of the limit plus kValueStep of that value; a changed share, if
/// its width differs by more than kShareStep of the last width plus
/// kSmallestShareStep. Smaller changes are sent only in full messages.
constexpr double kLimitStep = 0.02;
constexpr double kValueStep = 0.1;
constexpr float kShareStep = 0.04f;
constexpr float kSmallestShareStep = 0.0002f;
/// The demand of a host or domain that is not live is removed after this many
/// keep-alive intervals without a message. Its shares have expired by then.
constexpr int kKeepAlivesUntilDropped = 3;
/// The same for a live host or domain, whose messages may be delayed.
constexpr int kKeepAlivesUntilSilent = 5;
/// A new owner collects demand for at least this long. Hosts smooth their
/// demand over one second, so that shares from the first values would change at
/// once.
constexpr Duration kCollectTime = std::chrono::seconds(1);
/// A larger share is held back for this many send intervals, in which the other
/// domains receive the changed demand and send the smaller shares that make
/// room for it.
constexpr int kGrowthHoldIntervals = 2;

/// Demand assumed for each domain while a limit is split evenly over domains.
const ContractDemand kOneDomain{0, 1, 1, 1};

bool Starts(float sent, float now) {
  return (sent == 0) != (now == 0);
}

bool Steps(float sent, float now, double limit) {
  return std::abs(now - sent) > kLimitStep * limit + kValueStep * sent;
}

/// Requests in flight keep their slots when a share is moved to another host,
/// so only larger changes of the concurrency are sent.
bool StepsConcurrency(float sent, float now, double limit) {
  constexpr double kRequestStep = 0.5;
  constexpr double kConcurrencyStep = 0.25;
  return std::abs(now - sent) >
         kRequestStep + kLimitStep * limit + kConcurrencyStep * sent;
}

void AddTo(ContractDemand* sum, const ContractDemand& part) {
  sum->requests_per_second += part.requests_per_second;
  sum->tokens_per_second += part.tokens_per_second;
  sum->concurrency += part.concurrency;
}

ContractDemand Least(const ContractDemand& a, const ContractDemand& b) {
  ContractDemand least = a;
  least.requests_per_second =
      std::min(a.requests_per_second, b.requests_per_second);
  least.tokens_per_second = std::min(a.tokens_per_second, b.tokens_per_second);
  least.concurrency = std::min(a.concurrency, b.concurrency);
  return least;
}

float Width(const ShareRange& range) {
  return range.end - range.begin;
}

/// Returns the number of concurrent requests in a range. It can grow by one
/// when the range is moved without changing its width.
double WholeNumber(const ShareRange& range, int limit) {
  return std::floor(range.end * limit) - std::floor(range.begin * limit);
}

bool Grows(const ContractShare& from, const ContractShare& to, int limit) {
  return Width(to.requests) > Width(from.requests) ||
         Width(to.tokens) > Width(from.tokens) ||
         Width(to.concurrency) > Width(from.concurrency) ||
         WholeNumber(to.concurrency, limit) >
             WholeNumber(from.concurrency, limit);
}

bool DiffersWidth(const ShareRange& from, const ShareRange& to) {
  return std::abs(Width(to) - Width(from)) >
         kShareStep * Width(from) + kSmallestShareStep;
}

bool DiffersPosition(const ShareRange& from, const ShareRange& to, int limit) {
  // If adjacent ranges overlap by more than this, rounding may give their hosts
  // one request too many.
  const float step = 0.02f / static_cast<float>(std::max(limit, 1));
  return std::abs(from.begin - to.begin) > step ||
         std::abs(from.end - to.end) > step;
}

bool Differs(const ContractShare& from,
             const ContractShare& to,
             const config::Limits& limits) {
  return DiffersWidth(from.requests, to.requests) ||
         DiffersWidth(from.tokens, to.tokens) ||
         DiffersPosition(from.concurrency, to.concurrency, limits.concurrency);
}

/// Returns whether a change of a share is small and does not reduce the share
/// by much, so that it can wait for kMinorInterval.
bool IsMinor(const ShareRange& from, const ShareRange& to) {
  constexpr float kLargeStep = 0.01f;
  constexpr float kLargeCut = 0.25f;
  return std::abs(Width(to) - Width(from)) < kLargeStep &&
         Width(to) >= Width(from) * (1 - kLargeCut);
}

bool IsMinor(const ContractShare& from, const ContractShare& to) {
  return IsMinor(from.requests, to.requests) &&
         IsMinor(from.tokens, to.tokens) &&
         IsMinor(from.concurrency, to.concurrency);
}

/// Assigns adjacent ranges of [0, 1) to the hosts of one domain, in proportion
/// to their demand. The ranges of the domains are in the order of their names.
class Cutter {
 public:
  /// `before` is the demand of the preceding domains, `own` the domain's demand
  /// in force, `total` that of all domains and `hosts` the sum over its hosts.
  Cutter(double before, double own, double total, double hosts)
      : next_(total > 0 ? before / total : 0),
        scale_(total > 0 && hosts > 0 ? own / total / hosts : 0) {}

  ShareRange Next(double demand) {
    const double begin = next_;
    next_ += demand * scale_;
    return {static_cast<float>(begin), static_cast<float>(next_)};
  }

 private:
  double next_;
  double scale_;
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
         Starts(sent.requests_per_second, now.requests_per_second) ||
         Starts(sent.tokens_per_second, now.tokens_per_second) ||
         Starts(sent.concurrency, now.concurrency);
}

bool IsMinor(const ContractDemand& sent,
             const ContractDemand& now,
             const config::Limits& limits) {
  return !Steps(sent.requests_per_second, now.requests_per_second,
                limits.requests_per_second) &&
         !Steps(sent.tokens_per_second, now.tokens_per_second,
                limits.tokens_per_second) &&
         !StepsConcurrency(sent.concurrency, now.concurrency,
                           limits.concurrency);
}

ShardOwner::ShardOwner(const HostIdentity& self, const QuotaOptions& options)
    : self_(self), options_(options) {}

void ShardOwner::Release() {
  owned_since_.reset();
  complete_hosts_.clear();
  complete_domains_.clear();
}

void ShardOwner::ForgetHost(const std::string& host) {
  for (auto& [key, contract] : contracts_) {
    contract.hosts.erase(host);
    contract.shares.erase(host);
  }
}

void ShardOwner::ForgetDomain(const std::string& domain) {
  for (auto& [key, contract] : contracts_)
    contract.domains.erase(domain);
}

bool ShardOwner::OnHostDemand(const HostDemand& message, TimePoint now) {
  const std::string& name = message.head.host;
  Host& host = hosts_[name];
  // Demand and shares of an earlier incarnation are obsolete.
  if (host.incarnation != message.head.incarnation) {
    ForgetHost(name);
    host = {};
    host.incarnation = message.head.incarnation;
  } else if (message.head.full) {
    for (auto& [key, contract] : contracts_)
      contract.hosts.erase(name);
  }
  host.heard = now;
  if (message.head.full)
    complete_hosts_.insert(name);
  bool starts = false;
  for (const ContractDemand& demand : message.demands) {
    Contract& contract = contracts_[demand.contract];
    if (IsZero(demand)) {
      contract.hosts.erase(name);
      contract.shares.erase(name);
    } else {
      starts |= contract.hosts.count(name) == 0;
      contract.hosts[name] = demand;
    }
  }
  return starts;
}

void ShardOwner::OnDomainDemand(const DomainDemand& message, TimePoint now) {
  if (message.head.full) {
    ForgetDomain(message.domain);
    complete_domains_.insert(message.domain);
  }
  domains_[message.domain] = now;
  for (const ContractDemand& demand : message.demands) {
    Contract& contract = contracts_[demand.contract];
    if (IsZero(demand))
      contract.domains.erase(message.domain);
    else
      contract.domains[message.domain] = demand;
  }
}

void ShardOwner::DropSilent(const FleetView& view, TimePoint now) {
  const auto silent = [&](TimePoint heard, bool live) {
    const int keep_alives =
        live ? kKeepAlivesUntilSilent : kKeepAlivesUntilDropped;
    return now - heard > options_.keep_alive * keep_alives;
  };
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (!silent(it->second.heard, view.InDomain(it->first, self_.domain))) {
      ++it;
      continue;
    }
    ForgetHost(it->first);
    it = hosts_.erase(it);
  }
  for (auto it = domains_.begin(); it != domains_.end();) {
    if (!silent(it->second, view.HasLiveHost(it->first))) {
      ++it;
      continue;
    }
    ForgetDomain(it->first);
    it = domains_.erase(it);
  }
}

bool ShardOwner::HeardAllHosts(const FleetView& view) const {
  const std::vector<std::string> hosts = view.LiveHosts(self_.domain);
  return std::all_of(hosts.begin(), hosts.end(), [this](const auto& host) {
    return complete_hosts_.count(host) > 0;
  });
}

bool ShardOwner::HeardAllDomains(const FleetView& view) const {
  const std::vector<std::string> domains = view.LiveDomains();
  return std::all_of(domains.begin(), domains.end(), [this](const auto& name) {
    return name == self_.domain || complete_domains_.count(name) > 0;
  });
}

/// Returns whether the demand of this domain may grow. It may not while a live
/// domain is unresponsive, which may not have received the larger demand. After
/// kKeepAlivesUntilSilent the demand of that domain is removed, and it no
/// longer prevents growth.
bool ShardOwner::MayGrow(const FleetView& view, TimePoint now) const {
  const Duration soon = options_.keep_alive + 4 * options_.send_interval;
  const Duration late = options_.keep_alive * kKeepAlivesUntilSilent;
  for (const std::string& domain : view.LiveDomains()) {
    if (domain == self_.domain)
      continue;
    const auto found = domains_.find(domain);
    const Duration silence =
        now - (found == domains_.end() ? *owned_since_ : found->second);
    if (silence <= late && (found == domains_.end() || silence > soon))
      return false;
  }
  return true;
}

void ShardOwner::UpdateDomainDemand(ContractKey key,
                                    Contract* contract,
                                    const config::Limits& limits,
                                    bool may_grow,
                                    Output* output) const {
  ContractDemand sum;
  sum.contract = key;
  for (const auto& [host, demand] : contract->hosts)
    AddTo(&sum, demand);
  // If other domains may not receive a larger demand, the last one sent remains
  // in force.
  if (!may_grow)
    sum = Least(sum, contract->sent);
  const bool resend = resend_ && !IsZero(sum);
  if (resend || IsSignificant(contract->sent, sum, limits)) {
    contract->sent = sum;
    output->domain_demands.push_back(sum);
  }
}

void ShardOwner::Grant(ContractKey key,
                       Contract* contract,
                       const config::Limits& limits,
                       const FleetView& view,
                       bool hold_growth,
                       TimePoint now,
                       Output* output) {
  // If no host or other domain is known to use the contract, the domain's even
  // share is granted at once, because all domains can do so within the limit.
  // The first grants of a new owner are excluded, because they replace those of
  // the former owner.
  if (granting_ && contract->shares.empty() && contract->domains.empty())
    contract->even_until =
        now + options_.send_interval * (kGrowthHoldIntervals + 1);
  const bool starting = now < contract->even_until;
  ContractDemand own = contract->sent;
  ContractDemand before;
  ContractDemand total = own;
  for (const auto& [domain, demand] : contract->domains) {
    AddTo(&total, demand);
    if (domain < self_.domain)
      AddTo(&before, demand);
  }
  if (starting) {
    own = before = total = {};
    for (const std::string& domain : view.LiveDomains()) {
      AddTo(&total, kOneDomain);
      if (domain < self_.domain)
        AddTo(&before, kOneDomain);
    }
    own = kOneDomain;
  }
  ContractDemand hosts;
  for (const auto& [host, demand] : contract->hosts)
    AddTo(&hosts, demand);
  Cutter requests(before.requests_per_second, own.requests_per_second,
                  total.requests_per_second, hosts.requests_per_second);
  Cutter tokens(before.tokens_per_second, own.tokens_per_second,
                total.tokens_per_second, hosts.tokens_per_second);
  Cutter concurrency(before.concurrency, own.concurrency, total.concurrency,
                     hosts.concurrency);
  for (const auto& [host, demand] : contract->hosts) {
    const ContractShare share{key, requests.Next(demand.requests_per_second),
                              tokens.Next(demand.tokens_per_second),
                              concurrency.Next(demand.concurrency)};
    SentShare& sent = contract->shares[host];
    const bool full = hosts_[host].full;
    const bool quiet = now - hosts_[host].sent < kMinorInterval;
    if (!full && sent.ever && !Differs(sent.share, share, limits)) {
      sent.held_since.reset();
      continue;
    }
    if (!full && hold_growth && !starting &&
        Grows(sent.share, share, limits.concurrency)) {
      if (!sent.held_since)
        sent.held_since = now;
      if (now - *sent.held_since <
          options_.send_interval * kGrowthHoldIntervals)
        continue;
    }
    if (!full && quiet && IsMinor(sent.share, share))
      continue;
    sent = {share, std::nullopt, true};
    output->shares[host].shares.push_back(share);
  }
}

void ShardOwner::Announce(const LimitLookup& limits,
                          TimePoint now,
                          Output* output) {
  for (auto& [key, contract] : contracts_)
    UpdateDomainDemand(key, &contract, limits.LimitsOf(key), /*may_grow=*/true,
                       output);
  output->full_domain_demands = resend_;
  output->send_domain_demands = resend_ || !output->domain_demands.empty();
  if (output->send_domain_demands)
    last_domain_send_ = now;
  resend_ = false;
}

ShardOwner::Output ShardOwner::Tick(const FleetView& view,
                                    const LimitLookup& limits,
                                    TimePoint now) {
  Output output;
  if (!owned_since_) {
    owned_since_ = now;
    granting_ = false;
    resend_ = true;
    for (auto& [key, contract] : contracts_) {
      contract.sent = {};
      contract.shares.clear();
    }
    for (auto& [name, host] : hosts_)
      host.full = true;
  }
  DropSilent(view, now);
  // Before it grants shares, a new owner receives the demand of all hosts of
  // its domain, sends their sum to the other domains and receives theirs. The
  // sum over only some of the hosts would be too small. After the keep-alive
  // interval the owner continues without what it has not received.
  const bool alone = view.listed() == 1;
  const bool late = now - *owned_since_ >= options_.keep_alive;
  if (!alone && !granting_ && !late) {
    if (now - *owned_since_ < kCollectTime || !HeardAllHosts(view))
      return output;
    if (!HeardAllDomains(view)) {
      Announce(limits, now, &output);
      return output;
    }
  }
  // Changed demand of another domain may still be in transit. This also applies
  // to a new owner that starts before the end of the keep-alive interval.
  const bool hold_growth = (granting_ || !late) && !alone;
  if (!granting_)
    resend_ = true;
  const bool may_grow = alone || MayGrow(view, now);
  for (auto it = contracts_.begin(); it != contracts_.end();) {
    auto& [key, contract] = *it;
    const config::Limits known = limits.LimitsOf(key);
    UpdateDomainDemand(key, &contract, known, may_grow, &output);
    Grant(key, &contract, known, view, hold_growth, now, &output);
    const bool unused = contract.hosts.empty() && contract.domains.empty() &&
                        IsZero(contract.sent);
    it = unused ? contracts_.erase(it) : std::next(it);
  }
  granting_ = true;
  output.full_domain_demands = resend_;
  output.send_domain_demands = resend_ || !output.domain_demands.empty() ||
                               now - last_domain_send_ >= options_.keep_alive;
  if (output.send_domain_demands)
    last_domain_send_ = now;
  resend_ = false;
  for (auto& [name, host] : hosts_) {
    const bool due = host.full || output.shares.count(name) > 0 ||
                     now - host.sent >= options_.keep_alive;
    if (!due)
      continue;
    output.shares[name].full = host.full;
    host.full = false;
    host.sent = now;
  }
  return output;
}

}  // namespace teaselhill::quota
