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

/// Token bucket with a variable rate. A request whose cost exceeds the depth
/// passes when the bucket is full, and makes the level negative.
class RateBucket {
 public:
  explicit RateBucket(TimePoint now) : refilled_at_(now) {}

  void Refill(double rate, double depth, TimePoint now) {
    level_ = std::min(level_ + rate * ToSeconds(now - refilled_at_), depth);
    refilled_at_ = now;
  }

  double Deficit(double cost, double depth) const {
    return std::min(cost, depth) - level_;
  }

  void Consume(double cost) { level_ -= cost; }

 private:
  double level_ = 0;  // initially empty, so that a restart allows no burst
  TimePoint refilled_at_;
};

/// State of `LimitShare`. Deterministic: the results depend only on the times
/// and messages that are passed in.
class LimitShare::Impl : public LimitLookup {
 public:
  Impl(HostIdentity self, QuotaOptions options, TimePoint now)
      : self_(std::move(self)),
        options_(options),
        view_(self_, options_),
        now_(now) {
    assert(options_.shard_count > 0 &&
           "QuotaOptions::shard_count must be positive");
    for (uint32_t shard = 0; shard < options_.shard_count; ++shard)
      shard_owners_.emplace_back(self_, options_);
    shards_.resize(options_.shard_count);
  }

  void ApplyContract(const std::string& customer,
                     const config::Limits& limits,
                     TimePoint now);
  void RemoveContract(const std::string& customer);
  void OnMembershipView(const MembershipView& view, TimePoint now);
  AcquireResult TryAcquire(const std::string& customer,
                           RequestCost cost,
                           TimePoint now,
                           AcquireAttempt attempt);
  void Release(const std::string& customer,
               RequestCost predicted,
               RequestCost actual,
               TimePoint now);
  std::vector<OutgoingMessage> MakeMessages(TimePoint now);
  void OnPeerMessage(const QuotaMessage& message, TimePoint now);
  ShareStats Stats(const std::string& customer, TimePoint now) const;
  double reachable_fraction() const { return view_.UsableFraction(now_); }
  config::Limits LimitsOf(ContractKey contract) const override;

 private:
  struct ContractState {
    explicit ContractState(TimePoint now)
        : request_bucket(now), token_bucket(now), demand_meter(now) {}

    ContractKey key = 0;
    config::Limits limits;
    RateBucket request_bucket;
    RateBucket token_bucket;
    int in_flight = 0;
    DemandMeter demand_meter;
    ContractDemand reported_demand;
    // Whether the contract has requested an early tick since it was last idle.
    bool early_tick_requested = false;
    ContractShare share;
    bool has_share = false;  // cleared by zero demand or a full grant
  };

  /// State of the exchange with the owner of one shard.
  struct ShardState {
    bool full_report_due = true;  // the next message lists all demand
    std::optional<TimePoint> reported_at;
    std::optional<TimePoint> renewed_at;
  };

  /// Kinds of messages. Messages of different kinds form separate streams, each
  /// with its own sequence numbers.
  enum class MessageKind { kHostDemand, kDomainDemand, kShareGrant };
  // Peer, kind of message and shard.
  using StreamKey = std::tuple<std::string, MessageKind, uint32_t>;
  struct ReceivedStream {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool lost_message = false;  // since the last full message
  };

  /// This host's shares of the three limits, in units of the limits.
  struct HostShares {
    double requests = 0;
    double tokens = 0;
    double concurrency = 0;  ///< a whole number
  };

  /// Splits a limit into a fraction that all hosts share by demand and an equal
  /// floor for each host.
  struct LimitSplit {
    double fraction_by_demand = 0;
    double floor_fraction_per_host = 0;

    double FractionOf(const ShareRange& range) const {
      return fraction_by_demand * (range.end - range.begin) +
             floor_fraction_per_host;
    }
  };

  bool OwnsShard(uint32_t shard) const;

  uint32_t ShardOf(ContractKey key) const;

  /// Extends the lifetime of the shares in force, so that they last at least
  /// until a new owner can have taken over the shard. Called while the owner is
  /// suspect and when the owner changes, because the time between renewals, the
  /// time to detect a dead owner and the time of the takeover add up to more
  /// than the lifetime of a share.
  void ExtendShares(ShardState* shard, TimePoint now) const;
  bool HasGrantInForce(const ContractState& contract, TimePoint now) const;

  /// Returns the depth of a rate limiter: `burst_duration` at the even share,
  /// independent of the current share, so that a host that was idle can admit a
  /// short burst. The depth is at least the smaller of two requests of `cost`
  /// and one second of the whole limit, and at least 1: if the limiter were
  /// full before the next request arrives, some of its rate would be lost.
  double BucketDepth(double limit, double cost) const;

  LimitSplit SplitLimit(double floor_fraction, TimePoint now) const;
  HostShares ComputeShares(const ContractState& contract, TimePoint now) const;
  bool HasConcurrencySlot(const ContractState& contract,
                          const HostShares& shares) const;
  static LimitRefusal MakeRefusal(const std::string& customer,
                                  LimitKind kind,
                                  double deficit,
                                  double share);

  template <typename Map>
  void RemoveUnreachableStreams(Map* streams) const {
    for (auto it = streams->begin(); it != streams->end();) {
      it = view_.IsLive(std::get<0>(it->first)) ? std::next(it)
                                                : streams->erase(it);
    }
  }

  void ReportDemand(TimePoint now, std::vector<OutgoingMessage>* messages);
  void RunShardOwner(uint32_t shard,
                     TimePoint now,
                     std::vector<OutgoingMessage>* messages);
  bool HasLostMessage(const std::string& peer,
                      MessageKind kind,
                      uint32_t shard) const;
  StreamHeader MakeStreamHeader(const std::string& to_host,
                                MessageKind kind,
                                uint32_t shard,
                                bool full,
                                MessageKind reverse_kind);

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

  /// Returns whether a message is from a live host and newer than the last
  /// message of its stream. If so, records whether a message of the stream was
  /// lost since the last full message.
  bool AcceptMessage(const StreamHeader& header, MessageKind kind);
  void Receive(const HostDemand& message, TimePoint now);
  void Receive(const DomainDemand& message, TimePoint now);
  void Receive(const ShareGrant& message, TimePoint now);
  void ClearShares(uint32_t shard);

  HostIdentity self_;
  QuotaOptions options_;
  FleetView view_;
  std::vector<ShardOwner> shard_owners_;  // by shard
  std::map<std::string, ContractState> contracts_;
  std::map<ContractKey, ContractState*> contracts_by_key_;
  std::vector<ShardState> shards_;
  std::map<StreamKey, ReceivedStream> received_streams_;
  std::map<StreamKey, uint64_t> sent_sequences_;  // last sequence number
  size_t active_contract_count_ = 0;  // with reported demand at the last tick
  std::optional<TimePoint> last_tick_at_;
  // Set when a contract's demand starts; the next tick then takes place after
  // `early_send_interval`.
  bool early_tick_due_ = false;
  TimePoint now_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_LIMIT_SHARE_IMPL_H_
