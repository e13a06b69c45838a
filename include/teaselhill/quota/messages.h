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

/// From a host to the owner of a shard of contracts in its own failure domain.
/// Contracts not named keep the demand last sent.
struct HostDemand {
  std::string host;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;  ///< increases with each message of an incarnation
  uint32_t shard = 0;
  std::vector<ContractDemand> demands;
};

/// From the owner of a shard to the owners of that shard in other domains:
/// the sum over its domain.
struct DomainDemand {
  std::string host;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint32_t shard = 0;
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

/// From the owner of a shard to a host of its domain. A share stays valid for
/// a fixed time after receipt; contracts not named keep the share last sent.
struct ShareGrant {
  std::string host;  ///< the owner
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint32_t shard = 0;
  std::vector<ContractShare> shares;
};

using QuotaMessage = std::variant<HostDemand, DomainDemand, ShareGrant>;

struct OutgoingMessage {
  std::string to_host;
  QuotaMessage message;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_QUOTA_MESSAGES_H_
