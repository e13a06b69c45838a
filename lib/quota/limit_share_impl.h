/// \file
/// Implementation of `LimitShare`.

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

/// Token bucket with a variable rate. One request may make its level negative,
/// so that a request larger than the depth can pass.
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
  double level_ = 0;  // initially empty, so that a restart allows no burst
  TimePoint updated_;
};

/// State of `LimitShare`. Deterministic: times and messages are arguments.
class LimitShare::Impl : public LimitLookup {
 public:
  Impl(HostIdentity self, QuotaOptions options, TimePoint now)
      : self_(std::move(self)),
        options_(options),
        view_(self_, options_),
        now_(now) {
    assert(options_.shards > 0 && "QuotaOptions::shards must be positive");
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
    bool woke = false;  // has caused an early tick since it was idle
    ContractShare share;
    bool has_share = false;  // false again when the host reports no demand
  };

  /// State of the exchange with the owner of one shard.
  struct Shard {
    bool resend = true;  // the next message lists all demand
    std::optional<TimePoint> reported_at;
    std::optional<TimePoint> renewed_at;
  };

  /// Kinds of messages; each kind is a stream with its own sequence numbers.
  enum class Kind { kHostDemand, kDomainDemand, kShareGrant };
  // Peer, kind and shard.
  using StreamKey = std::tuple<std::string, Kind, uint32_t>;
  struct Received {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool missed = false;  // a message was lost; a full one is required
  };

  /// This host's shares of the three limits, in units of the limits.
  struct Shares {
    double requests = 0;
    double tokens = 0;
    double concurrency = 0;  ///< a whole number
  };

  /// Fractions of a limit: the one that all hosts share by demand, and the
  /// floor of each host.
  struct Split {
    double by_demand = 0;
    double even = 0;

    double Width(const ShareRange& range) const {
      return by_demand * (range.end - range.begin) + even;
    }
  };

  bool Owns(uint32_t shard) const;

  uint32_t ShardOf(ContractKey key) const;

  /// Lets the shares in force last for at least the time of a takeover from
  /// now. This is done while their owner is suspected and when the owner
  /// changes, because the time between renewals, the detection of a dead owner
  /// and the takeover by a new one together exceed the lifetime of a share.
  void KeepShares(Shard* shard, TimePoint now) const;
  bool IsGranted(const Contract& contract, TimePoint now) const;

  /// Returns the depth of a rate limiter: `burst` at the even share,
  /// independent of the current share, so that a host that was idle can admit a
  /// short burst. The depth is at least the smaller of two requests of `cost`
  /// and one second of the whole limit, because a limiter that is full before
  /// the next request arrives loses some of its rate.
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
  /// of its stream, and records whether a message in between was lost.
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
  bool wake_ =
      false;  // a contract's demand has started: the next tick is early
  TimePoint now_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_LIMIT_SHARE_IMPL_H_
