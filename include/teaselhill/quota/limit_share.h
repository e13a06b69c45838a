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
  /// Number of hosts on the host list, reachable or not. Hosts that are leaving
  /// or were removed from the list do not count.
  size_t listed_host_count = 0;
};

/// Tokens that one request consumes of its contract's token limit.
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

/// Whether `TryAcquire` is called for the first time for a request, or again
/// after a refusal of the same request.
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
  /// A minority side of a partition may use this fraction of the even shares of
  /// its hosts (even share: the limit divided by the number of listed hosts).
  double minority_fraction = 0.5;
  /// Time at the host's even share of a limit that fills a rate limiter. A
  /// limiter may be deeper, to admit large requests.
  Duration burst_duration = std::chrono::seconds(1);
  /// A share that is not renewed for this long expires. The host may then use
  /// only the floor.
  Duration share_lifetime = std::chrono::seconds(5);
  /// When a membership change allows the reachable hosts to use a larger
  /// fraction of the limits, the larger fraction takes effect after this delay.
  Duration fraction_increase_delay = std::chrono::seconds(3);
  /// If nothing changes on a stream, a message without entries is sent at this
  /// interval as a keep-alive. A host sends no keep-alive to the owner of a
  /// shard in which it reported no demand.
  Duration keep_alive_interval = std::chrono::seconds(2);
  /// Minimum interval between two messages of a stream, except as described at
  /// `early_send_interval`.
  Duration send_interval = std::chrono::milliseconds(250);
  /// Replaces `send_interval` when a host starts to use a contract, because
  /// that host may use only the floor until a share is granted.
  Duration early_send_interval = std::chrono::milliseconds(50);
};

/// Splits the limits of each contract over the hosts in proportion to their
/// demand. The hosts exchange their demand in messages. A deterministic state
/// machine: times must not decrease between calls.
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
  /// Removes the limits of `customer`. The customer's requests are then not
  /// limited.
  void RemoveContract(const std::string& customer);

  /// Updates the owners of the shards and the fraction of the limits that the
  /// reachable hosts may use.
  void OnMembershipView(const MembershipView& view, TimePoint now);

  /// Charges one request to the limits of `customer`, or refuses the request if
  /// it would exceed one of the limits. A customer whose contract was not
  /// applied on this host is not limited. Only a call with
  /// AcquireAttempt::kFirst counts the request as demand.
  AcquireResult TryAcquire(const std::string& customer,
                           RequestCost cost,
                           TimePoint now,
                           AcquireAttempt attempt = AcquireAttempt::kFirst);

  /// Ends a request that `TryAcquire` charged with the cost `predicted`, and
  /// charges the difference between `actual` and `predicted`.
  void Release(const std::string& customer,
               RequestCost predicted,
               RequestCost actual,
               TimePoint now);

  /// Returns the messages due now; call it every `early_send_interval`.
  std::vector<OutgoingMessage> MakeMessages(TimePoint now);

  /// Handles a message from a peer. Outdated and duplicate messages are
  /// ignored. After a lost message, a full message is requested from the peer.
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
