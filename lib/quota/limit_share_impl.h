/// \file
/// State of this host's part of the limits.

#ifndef TEASELHILL_LIB_QUOTA_LIMIT_SHARE_IMPL_H_
#define TEASELHILL_LIB_QUOTA_LIMIT_SHARE_IMPL_H_

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "demand_meter.h"
#include "fleet_view.h"
#include "shard_owner.h"
#include "teaselhill/quota/limit_share.h"

namespace teaselhill::quota {

/// A token bucket whose rate changes. It may go into debt by one request, so
/// that a request larger than the depth can pass.
class RateBucket {
 public:
  explicit RateBucket(TimePoint now) : updated_(now) {}

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

/// State behind `LimitShare`. Deterministic: times and messages are arguments.
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
                     TimePoint now);
  void RemoveContract(const std::string& customer);
  void OnMembers(const MembershipView& view, TimePoint now);
  TakeResult TryTake(const std::string& customer,
                     Cost cost,
                     TimePoint now,
                     Attempt attempt);
  void Finish(const std::string& customer,
              Cost predicted,
              Cost actual,
              TimePoint now);
  std::vector<OutgoingMessage> MakeDemand(TimePoint now);
  void OnPeerDemand(const QuotaMessage& message, TimePoint now);
  ShareFigures Figures(const std::string& customer, TimePoint now) const;
  double reachable_fraction() const { return view_.Fraction(now_); }
  config::Limits LimitsOf(ContractKey contract) const override;

 private:
  struct Contract {
    explicit Contract(TimePoint now) : requests(now), tokens(now), meter(now) {}

    ContractKey key = 0;
    config::Limits limits;
    RateBucket requests;
    RateBucket tokens;
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

  /// Parts of a limit: split by demand over all hosts, and even for each.
  struct Split {
    double by_demand = 0;
    double even = 0;

    double Width(const ShareRange& range) const {
      return by_demand * (range.end - range.begin) + even;
    }
  };

  bool Owns(uint32_t shard) const;

  uint32_t ShardOf(ContractKey key) const;

  /// Shares in force stay so while their owner is suspected and until a new one
  /// has granted its own: a renewal, the detection of a death and a takeover
  /// together take longer than the lifetime of a share.
  void KeepShares(Shard* shard, TimePoint now) const;
  bool IsGranted(const Contract& contract, TimePoint now) const;

  /// Depth of a rate limiter: the even share of `burst`, whatever the present
  /// share is, so that a host that was idle can take a short burst. It holds
  /// two requests of `cost`, within one second of the whole limit: a limiter
  /// that is full while the next request is on its way loses part of its rate.
  double Depth(double limit, double cost) const;

  Split SplitOf(double floor_fraction, TimePoint now) const;
  Shares SharesOf(const Contract& contract, TimePoint now) const;
  bool MayStart(const Contract& contract, const Shares& shares) const;
  static LimitRefusal Refuse(const std::string& customer,
                             LimitKind kind,
                             double missing,
                             double share);

  template <typename Map>
  void DropStreams(Map* streams) const {
    for (auto it = streams->begin(); it != streams->end();) {
      it = view_.IsLive(std::get<0>(it->first)) ? std::next(it)
                                                : streams->erase(it);
    }
  }

  void ReportDemand(TimePoint now, std::vector<OutgoingMessage>* messages);
  void RunOwner(uint32_t shard,
                TimePoint now,
                std::vector<OutgoingMessage>* messages);
  bool Missed(const std::string& peer, Kind kind, uint32_t shard) const;
  StreamHead Head(const std::string& to_host,
                  Kind kind,
                  uint32_t shard,
                  bool full,
                  Kind opposite);

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
  bool IsNew(const StreamHead& head, Kind kind);
  void Receive(const HostDemand& message, TimePoint now);
  void Receive(const DomainDemand& message, TimePoint now);
  void Receive(const ShareGrant& message, TimePoint now);
  void ClearShares(uint32_t shard);

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

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_LIMIT_SHARE_IMPL_H_
