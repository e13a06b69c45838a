/// \file
/// This host's part of the limits: rate limiters, demand and messages.

#include "teaselhill/quota/limit_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "demand_meter.h"
#include "fleet_view.h"
#include "shard_owner.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::quota {
namespace {

constexpr Duration kShortestRetry = std::chrono::seconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(60);
/// More contracts with demand than this need too many messages when each end
/// of demand is reported after the short time.
constexpr size_t kManyContracts = 40;

/// A token bucket whose rate changes. It may go into debt by one request, so
/// that a request larger than the depth can pass.
class Bucket {
 public:
  explicit Bucket(TimePoint now) : updated_(now) {}

  void Refill(double rate, double depth, TimePoint now) {
    level_ = std::min(level_ + rate * ToSeconds(now - updated_), depth);
    updated_ = now;
  }

  double Missing(double cost, double depth) const {
    return std::min(cost, depth) - level_;
  }

  void Take(double cost) { level_ -= cost; }

 private:
  double level_ = 0;  // starts empty: a restarted host has no burst
  TimePoint updated_;
};

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

class LimitShare::Impl : public LimitLookup {
 public:
  Impl(HostIdentity self, QuotaOptions options, TimePoint now)
      : self_(std::move(self)),
        options_(options),
        view_(self_, options_),
        now_(now) {
    assert(options_.shards > 0 && "at least one shard");
    for (uint32_t shard = 0; shard < options_.shards; ++shard)
      owners_.emplace_back(self_, options_);
    shards_.resize(options_.shards);
  }

  void ApplyContract(const std::string& customer,
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

  void RemoveContract(const std::string& customer) {
    const auto found = contracts_.find(customer);
    if (found == contracts_.end())
      return;
    by_key_.erase(found->second.key);
    contracts_.erase(found);
  }

  void OnMembers(const MembershipView& view, TimePoint now) {
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

  TakeResult TryTake(const std::string& customer,
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
    // Once a contract: small demand may go unreported for a while.
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

  void Finish(const std::string& customer,
              Cost predicted,
              Cost actual,
              TimePoint now) {
    const auto found = contracts_.find(customer);
    // A contract removed and applied again does not know older requests.
    if (found == contracts_.end() || found->second.in_flight == 0)
      return;
    Contract& contract = found->second;
    --contract.in_flight;
    contract.tokens.Refill(
        SharesOf(contract, now).tokens,
        Depth(contract.limits.tokens_per_second, predicted.tokens), now);
    contract.tokens.Take(actual.tokens - predicted.tokens);
  }

  std::vector<OutgoingMessage> MakeDemand(TimePoint now) {
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

  void OnPeerDemand(const QuotaMessage& message, TimePoint now) {
    std::visit([&](const auto& typed) { Receive(typed, now); }, message);
  }

  ShareFigures Figures(const std::string& customer, TimePoint now) const {
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

  double reachable_fraction() const { return view_.Fraction(now_); }

  config::Limits LimitsOf(ContractKey contract) const override {
    const auto found = by_key_.find(contract);
    return found == by_key_.end() ? config::Limits{} : found->second->limits;
  }

 private:
  struct Contract {
    explicit Contract(TimePoint now) : requests(now), tokens(now), meter(now) {}

    ContractKey key = 0;
    config::Limits limits;
    Bucket requests;
    Bucket tokens;
    int in_flight = 0;
    DemandMeter meter;
    ContractDemand reported;
    bool woke = false;  // has asked for an early tick since it was idle
    ContractShare share;
    bool has_share = false;  // and has had demand since
  };

  /// What this host sends to and gets from the owner of one shard.
  struct Shard {
    bool resend = true;  // the next message names all demand
    std::optional<TimePoint> reported_at;
    std::optional<TimePoint> renewed_at;
  };

  /// Kinds of messages, which number their streams apart.
  enum class Kind { kHostDemand, kDomainDemand, kShareGrant };
  using StreamKey = std::tuple<std::string, Kind, uint32_t>;  // peer, shard
  struct Received {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool missed = false;  // a full message is needed
  };

  /// This host's part of the three limits.
  struct Shares {
    double requests = 0;
    double tokens = 0;
    double concurrency = 0;  ///< a whole number
  };

  bool Owns(uint32_t shard) const {
    return view_.Owner(shard, self_.domain) == self_.host;
  }

  uint32_t ShardOf(ContractKey key) const {
    return static_cast<uint32_t>(key % options_.shards);
  }

  /// Shares in force stay so while their owner is suspected and until a new one
  /// has granted its own: a renewal, the detection of a death and a takeover
  /// together take longer than the lifetime of a share.
  void KeepShares(Shard* shard, TimePoint now) const {
    const Duration takeover = options_.keep_alive + 2 * options_.send_interval;
    const TimePoint renewed_at = now - options_.share_lifetime + takeover;
    const bool in_force = shard->renewed_at &&
                          now - *shard->renewed_at <= options_.share_lifetime;
    if (in_force)
      shard->renewed_at = std::max(*shard->renewed_at, renewed_at);
  }

  bool IsGranted(const Contract& contract, TimePoint now) const {
    const auto& renewed_at = shards_[ShardOf(contract.key)].renewed_at;
    return contract.has_share && renewed_at &&
           now - *renewed_at <= options_.share_lifetime;
  }

  /// Depth of a rate limiter: the even share of `burst`, whatever the present
  /// share is, so that a host that was idle can take a short burst. It holds
  /// two requests of `cost`, within one second of the whole limit: a limiter
  /// that is full while the next request is on its way loses part of its rate.
  double Depth(double limit, double cost) const {
    const double even = limit / static_cast<double>(view_.listed());
    const double two = std::max(std::min(2 * cost, limit), 1.0);
    return std::max(two, even * ToSeconds(options_.burst));
  }

  /// Parts of a limit: split by demand over all hosts, and even for each.
  struct Split {
    double by_demand = 0;
    double even = 0;

    double Width(const ShareRange& range) const {
      return by_demand * (range.end - range.begin) + even;
    }
  };

  Split SplitOf(double floor_fraction, TimePoint now) const {
    return {(1 - floor_fraction) * view_.Fraction(now),
            floor_fraction / static_cast<double>(view_.listed())};
  }

  Shares SharesOf(const Contract& contract, TimePoint now) const {
    const ContractShare none;
    const ContractShare& share =
        IsGranted(contract, now) ? contract.share : none;
    const config::Limits& limits = contract.limits;
    const Split rates = SplitOf(options_.floor_fraction, now);
    Shares shares;
    shares.requests = limits.requests_per_second * rates.Width(share.requests);
    shares.tokens = limits.tokens_per_second * rates.Width(share.tokens);
    // An even part of less than one request a host is of no use to any of them.
    const bool has_floor = limits.concurrency * options_.floor_fraction >=
                           static_cast<double>(view_.listed());
    const Split split = SplitOf(has_floor ? options_.floor_fraction : 0, now);
    const double begin = split.by_demand * share.concurrency.begin +
                         split.even * static_cast<double>(view_.rank());
    const double end = begin + split.Width(share.concurrency);
    // Rounding the ends instead of the width makes the whole numbers of all
    // hosts add up to the limit. The tolerance absorbs float ends.
    constexpr double kTolerance = 1e-4;
    shares.concurrency = std::floor(limits.concurrency * end + kTolerance) -
                         std::floor(limits.concurrency * begin + kTolerance);
    return shares;
  }

  bool MayStart(const Contract& contract, const Shares& shares) const {
    if (contract.in_flight < shares.concurrency)
      return true;
    // A host that was idle may start one request before its share arrives.
    const bool idle = contract.in_flight == 0 && IsZero(contract.reported);
    return idle &&
           contract.limits.concurrency >= static_cast<int>(view_.listed());
  }

  static LimitRefusal Refuse(const std::string& customer,
                             LimitKind kind,
                             double missing,
                             double share) {
    const double seconds = share > 0 && kind != LimitKind::kConcurrency
                               ? std::min(missing / share, 60.0)
                               : 1;
    return {Error{ResultCode::kLimitExceeded,
                  "limit on " + std::string(LimitName(kind)) + " of contract " +
                      customer + " is used up"},
            kind,
            std::clamp(FromSeconds(seconds), kShortestRetry, kLongestRetry),
            share};
  }

  template <typename Map>
  void DropStreams(Map* streams) const {
    for (auto it = streams->begin(); it != streams->end();) {
      it = view_.IsLive(std::get<0>(it->first)) ? std::next(it)
                                                : streams->erase(it);
    }
  }

  void ReportDemand(TimePoint now, std::vector<OutgoingMessage>* messages) {
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
      const bool changed = !may_wait && IsSignificant(contract.reported, demand,
                                                      contract.limits);
      if (resend || changed) {
        contract.reported = demand;
        due[shard].push_back(demand);
      }
      // The owner gives the share of an idle host to others without asking.
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
      // A new owner waits for a full message of each host, also without demand.
      const bool send = shard.resend || !due[index].empty() ||
                        (active[index] && silent) ||
                        Missed(owner, Kind::kShareGrant, index);
      if (!send)
        continue;
      HostDemand message{Head(owner, Kind::kHostDemand, index, shard.resend,
                              Kind::kShareGrant),
                         std::move(due[index])};
      shard.resend = false;
      shard.reported_at = now;
      Send(owner, std::move(message), now, messages);
    }
  }

  void RunOwner(uint32_t shard,
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

  bool Missed(const std::string& peer, Kind kind, uint32_t shard) const {
    const auto found = received_.find({peer, kind, shard});
    return found != received_.end() && found->second.missed;
  }

  StreamHead Head(const std::string& to_host,
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

  template <typename Message>
  void Send(const std::string& to_host,
            Message message,
            TimePoint now,
            std::vector<OutgoingMessage>* messages) {
    if (to_host == self_.host)
      Receive(message, now);
    else
      messages->push_back({to_host, std::move(message)});
  }

  /// Returns whether a message is from a live host and newer than the last one
  /// of its stream, and notes a gap.
  bool IsNew(const StreamHead& head, Kind kind) {
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

  void Receive(const HostDemand& message, TimePoint now) {
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

  void Receive(const DomainDemand& message, TimePoint now) {
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

  void Receive(const ShareGrant& message, TimePoint now) {
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
    // After a lost message the other shares may be out of date.
    if (!Missed(head.host, Kind::kShareGrant, head.shard))
      shard.renewed_at = now;
  }

  void ClearShares(uint32_t shard) {
    for (auto& [customer, contract] : contracts_) {
      if (ShardOf(contract.key) == shard)
        contract.has_share = false;
    }
  }

  HostIdentity self_;
  QuotaOptions options_;
  FleetView view_;
  std::vector<ShardOwner> owners_;  // by shard
  std::map<std::string, Contract> contracts_;
  std::map<ContractKey, Contract*> by_key_;
  std::vector<Shard> shards_;
  std::map<StreamKey, Received> received_;
  std::map<StreamKey, uint64_t> sent_;  // last sequence number
  size_t active_contracts_ = 0;         // with demand at the last tick
  std::optional<TimePoint> last_tick_;
  bool wake_ = false;  // use of a contract starts, so the next tick is early
  TimePoint now_;
};

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
