/// \file
/// Messages that hosts exchange about limits. Their codec is in lib/peer.

#ifndef TEASELHILL_QUOTA_MESSAGES_H_
#define TEASELHILL_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace teaselhill::quota {

/// Hash64 of the customer's name. The hash is shorter than the name and the
/// same on all hosts.
using ContractKey = uint64_t;

/// Demand for one contract. Refused requests are included.
struct ContractDemand {
  ContractKey contract = 0;
  float requests_per_second = 0;
  float tokens_per_second = 0;
  float concurrency = 0;
};

/// Header of every message. Messages of one kind and shard from one sender to
/// one receiver form a stream. A message without entries serves as a
/// keep-alive.
struct StreamHeader {
  std::string host;  ///< the sender
  uint64_t incarnation = 0;
  /// 1, 2, 3, ... in each stream of an incarnation; a gap means that a message
  /// was lost.
  uint64_t sequence = 0;
  uint32_t shard = 0;
  /// Marks a full message, in which contracts that are not listed have the
  /// value zero. In other messages they keep their last value.
  bool is_full = false;
  /// The sender missed a message of the stream in the opposite direction and
  /// requests a full message on that stream.
  bool resync = false;
};

/// Sent by a host to the owner of a shard in its own failure domain.
struct HostDemand {
  StreamHeader header;
  std::vector<ContractDemand> demands;
};

/// Sent by the owner of a shard to the shard's owners in the other domains.
/// Contains the sum of the demand of all hosts in the sender's domain.
struct DomainDemand {
  StreamHeader header;
  std::string domain;
  std::vector<ContractDemand> demands;
};

/// A range [begin, end) of the unit interval.
struct ShareRange {
  float begin = 0;
  float end = 0;
};

/// The share of one contract's limits that a host may use in addition to the
/// floor. Each range is a part of the fraction of the limit that is split by
/// demand.
struct ContractShare {
  ContractKey contract = 0;
  ShareRange requests;
  ShareRange tokens;
  ShareRange concurrency;
};

/// Sent by the owner of a shard to a host of its domain. A message renews all
/// shares of the shard for `QuotaOptions::share_lifetime`, unless a message of
/// the stream was lost and no full message has arrived since.
struct ShareGrant {
  StreamHeader header;
  std::vector<ContractShare> shares;
};

using QuotaMessage = std::variant<HostDemand, DomainDemand, ShareGrant>;

struct OutgoingMessage {
  std::string to_host;
  QuotaMessage message;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_QUOTA_MESSAGES_H_
