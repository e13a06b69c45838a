/// \file
/// Messages that hosts exchange about limits. Fields are plain values; the
/// codec is in the peer part.

#ifndef TEASELHILL_QUOTA_MESSAGES_H_
#define TEASELHILL_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace teaselhill::quota {

/// Hash64 of the customer's name; short on the wire and the same on all hosts.
using ContractKey = uint64_t;

/// Demand for one contract, admitted or not.
struct ContractDemand {
  ContractKey contract = 0;
  float requests_per_second = 0;
  float tokens_per_second = 0;
  float concurrency = 0;
};

/// Head of every message. Messages of one kind, shard, sender and receiver form
/// a stream; a message without entries shows that the sender is there.
struct StreamHead {
  std::string host;  ///< the sender
  uint64_t incarnation = 0;
  /// 1, 2, 3, ... in the stream of an incarnation; a gap means a lost message.
  uint64_t sequence = 0;
  uint32_t shard = 0;
  /// The message names everything; what is not named is zero. Otherwise what is
  /// not named keeps its last value.
  bool full = false;
  /// The sender missed a message in the opposite direction and asks for a full
  /// one.
  bool resync = false;
};

/// From a host to the owner of a shard of contracts in its own failure domain.
struct HostDemand {
  StreamHead head;
  std::vector<ContractDemand> demands;
};

/// From the owner of a shard to the owners of that shard in other domains:
/// the sum over its domain.
struct DomainDemand {
  StreamHead head;
  std::string domain;
  std::vector<ContractDemand> demands;
};

/// A part [begin, end) of the unit interval.
struct ShareRange {
  float begin = 0;
  float end = 0;
};

/// The parts of one contract's limits that a host may use.
struct ContractShare {
  ContractKey contract = 0;
  ShareRange requests;
  ShareRange tokens;
  ShareRange concurrency;
};

/// From the owner of a shard to a host of its domain. Each message in sequence
/// renews all shares of the shard for a fixed time.
struct ShareGrant {
  StreamHead head;
  std::vector<ContractShare> shares;
};

using QuotaMessage = std::variant<HostDemand, DomainDemand, ShareGrant>;

struct OutgoingMessage {
  std::string to_host;
  QuotaMessage message;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_QUOTA_MESSAGES_H_
