/// \file
/// Enforces contract limits across the fleet without a central coordinator.

#ifndef TEASELHILL_QUOTA_LIMIT_SHARE_H_
#define TEASELHILL_QUOTA_LIMIT_SHARE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/quota/messages.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::quota {

enum class MemberState { kAlive, kSuspect, kDead };

struct Member {
  std::string host;
  std::string domain;
  MemberState state = MemberState::kAlive;
};

/// The hosts of the fleet as seen from this host, itself included.
struct MembershipView {
  std::vector<Member> members;
  /// Number of hosts on the host list, reachable or not, without those that are
  /// leaving or were removed from it.
  size_t listed_host_count = 0;
};

/// Tokens that one request consumes of its contract's limit.
struct RequestCost {
  double tokens = 0;  ///< predicted at first; corrected by `Release`
};

/// The request was charged and may run; `Release` must be called at its end.
struct AcquiredQuota {};

enum class LimitKind { kRequests, kTokens, kConcurrency };

/// Returns the name of the limit in log lines, in snake_case.
std::string_view LimitName(LimitKind kind);

/// The request was not charged and must not run.
struct LimitRefusal {
  Error error;  ///< kLimitExceeded
  LimitKind limit = LimitKind::kRequests;
  Duration retry_after{};
  double share = 0;  ///< this host's share, in units of the limit
};

/// Whether `TryAcquire` is called for the first time for a request or again
/// after a refusal.
enum class AcquireAttempt { kFirst, kRepeated };

using AcquireResult = std::variant<AcquiredQuota, LimitRefusal>;

/// This host's share of the limits of one contract, for status pages and tests.
/// A value is negative if the contract has no such limit.
struct ShareStats {
  double requests_per_second = -1;
  double tokens_per_second = -1;
  double concurrency = -1;
  int in_flight = 0;
  bool has_grant = false;  ///< if false, the host may use only the floor
};

/// Identifies this host in the fleet.
struct HostIdentity {
  std::string host;
  std::string domain;
  uint64_t incarnation = 0;
};

struct QuotaOptions {
  /// Number of shards that the contracts are divided into. Each shard has one
  /// owner in each failure domain.
  uint32_t shard_count = 8;
  /// Fraction of a limit that is split evenly over the hosts, independent of
  /// demand.
  double floor_fraction = 0.05;
  /// Fraction of its even share that a minority side of a partition may use.
  double minority_fraction = 0.5;
  /// Depth of the rate limiters, as time at the host's even share.
  Duration burst_duration = std::chrono::seconds(1);
  /// A share that is not renewed for this long expires, which leaves the floor.
  Duration share_lifetime = std::chrono::seconds(5);
  /// Delay before a change of membership may increase the fraction of the
  /// limits that the reachable hosts use.
  Duration fraction_increase_delay = std::chrono::seconds(3);
  /// Interval after which an empty message is sent on a stream without changes.
  Duration keep_alive_interval = std::chrono::seconds(2);
  /// Minimum interval between two messages of a stream.
  Duration send_interval = std::chrono::milliseconds(250);
  /// The same when a host starts to use a contract, of which it may use only
  /// the floor until a share is granted.
  Duration early_send_interval = std::chrono::milliseconds(50);
};

/// Splits the limits of each contract over the hosts in proportion to their
/// demand, which they exchange. A deterministic state machine: times must not
/// decrease between calls.
class LimitShare {
 public:
  LimitShare(HostIdentity self, QuotaOptions options, TimePoint now);
  ~LimitShare();
  LimitShare(const LimitShare&) = delete;
  LimitShare& operator=(const LimitShare&) = delete;

  /// Sets or changes the limits of `customer`. Requests in flight stay counted.
  void ApplyContract(const std::string& customer,
                     const config::Limits& limits,
                     TimePoint now);
  /// Removes the limits of `customer`. Its requests are then not limited.
  void RemoveContract(const std::string& customer);

  /// Updates the shard owners and the usable fraction of the limits.
  void OnMembershipView(const MembershipView& view, TimePoint now);

  /// Charges one request to the limits of `customer`, unless one of them is
  /// exceeded. A customer without a contract here is not limited. A request
  /// counts as demand only with AcquireAttempt::kFirst.
  AcquireResult TryAcquire(const std::string& customer,
                           RequestCost cost,
                           TimePoint now,
                           AcquireAttempt attempt = AcquireAttempt::kFirst);

  /// Ends a request that was charged by `TryAcquire` with the cost `predicted`,
  /// and charges the difference to its `actual` cost.
  void Release(const std::string& customer,
               RequestCost predicted,
               RequestCost actual,
               TimePoint now);

  /// Returns the messages due now; call it every `early_send_interval`.
  std::vector<OutgoingMessage> MakeMessages(TimePoint now);

  /// Handles a message from a peer. Outdated and duplicate messages are
  /// ignored; after a lost message, a full one is requested.
  void OnPeerMessage(const QuotaMessage& message, TimePoint now);

  /// Returns this host's share of the limits of `customer`.
  ShareStats Stats(const std::string& customer, TimePoint now) const;

  /// Fraction of every limit that the reachable hosts may use together.
  double reachable_fraction() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_QUOTA_LIMIT_SHARE_H_
