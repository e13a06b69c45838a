/// \file
/// Enforcement of contract limits over all hosts without a coordinator.

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

/// What this host believes about the hosts, itself included.
struct MembershipView {
  std::vector<Member> members;
  /// Hosts on the host list, reachable or not. Hosts that are leaving or have
  /// left the list are not counted.
  size_t listed_total = 0;
};

/// What one request takes of its contract's limits.
struct Cost {
  double tokens = 0;  ///< predicted; corrected by `Finish`
};

/// The request may go on; end it with `Finish`.
struct Taken {};

enum class LimitKind { kRequests, kTokens, kConcurrency };

/// Returns the limit's name in snake_case for a log line.
std::string_view LimitName(LimitKind kind);

/// The request was not charged and must not run.
struct LimitRefusal {
  Error error;  ///< kLimitExceeded
  LimitKind limit = LimitKind::kRequests;
  Duration retry_after{};
  double share = 0;  ///< this host's share of that limit
};

/// Whether a request asks for the first time.
enum class Attempt { kFirst, kAgain };

using TakeResult = std::variant<Taken, LimitRefusal>;

/// This host's part of one contract's limits, for status pages and tests.
/// A value is negative when the contract has no such limit.
struct ShareFigures {
  double requests_per_second = -1;
  double tokens_per_second = -1;
  double concurrency = -1;
  int in_flight = 0;
  bool granted = false;  ///< false: only the floor is in use
};

/// This host's place in the fleet.
struct HostIdentity {
  std::string host;
  std::string domain;
  uint64_t incarnation = 0;
};

struct QuotaOptions {
  /// Contracts are spread over this many shards; each has one owner a domain.
  uint32_t shards = 8;
  /// Part of a limit that is split evenly, demand or not.
  double floor_fraction = 0.05;
  /// Part of its even share that a minority side keeps in a partition.
  double minority_fraction = 0.5;
  /// Depth of the rate limiters as time at the host's share.
  Duration burst = std::chrono::seconds(1);
  /// A share not renewed for this long falls back to the floor.
  Duration share_lifetime = std::chrono::seconds(5);
  /// Wait before a smaller view may enlarge shares.
  Duration view_hold = std::chrono::seconds(3);
  /// A stream without changes sends an empty message after this time.
  Duration keep_alive = std::chrono::seconds(2);
  /// Shortest time between two messages of a kind to one host.
  Duration send_interval = std::chrono::milliseconds(250);
  /// The same when use of a contract starts: it has only the floor until then.
  Duration start_interval = std::chrono::milliseconds(50);
};

/// Splits every contract's limits over the hosts by exchanged demand. A
/// deterministic state machine: times never decrease between calls.
class LimitShare {
 public:
  LimitShare(HostIdentity self, QuotaOptions options, TimePoint now);
  ~LimitShare();
  LimitShare(const LimitShare&) = delete;
  LimitShare& operator=(const LimitShare&) = delete;

  /// Sets or changes the limits of `customer`. Requests in flight are kept.
  void ApplyContract(const std::string& customer,
                     const config::Limits& limits,
                     TimePoint now);
  void RemoveContract(const std::string& customer);

  void OnMembers(const MembershipView& view, TimePoint now);

  /// Charges one request. A customer without a contract here is not limited.
  /// A request that asks again after a refusal counts as demand only once.
  TakeResult TryTake(const std::string& customer,
                     Cost cost,
                     TimePoint now,
                     Attempt attempt = Attempt::kFirst);

  /// Ends a request charged by `TryTake`; `predicted` is the cost given there.
  void Finish(const std::string& customer,
              Cost predicted,
              Cost actual,
              TimePoint now);

  /// Returns the messages due now; call it every `start_interval`.
  std::vector<OutgoingMessage> MakeDemand(TimePoint now);

  /// Takes in a message from another host. Old and repeated ones are ignored;
  /// lost ones are noticed and asked for again.
  void OnPeerDemand(const QuotaMessage& message, TimePoint now);

  ShareFigures Figures(const std::string& customer, TimePoint now) const;

  /// Part of every limit that the reachable hosts may use together.
  double reachable_fraction() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_QUOTA_LIMIT_SHARE_H_
