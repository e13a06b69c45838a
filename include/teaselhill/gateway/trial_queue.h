/// \file
/// Lets one host at a time run a request that may crash its upstream.

#ifndef TEASELHILL_GATEWAY_TRIAL_QUEUE_H_
#define TEASELHILL_GATEWAY_TRIAL_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// A host's claim as hosts tell it each other. A host has one claim at most.
struct TrialClaim {
  uint64_t host = 0;
  /// The claim is given up, or its trial has ended.
  bool released = false;
  /// Of the claims of this host, from one. Zero: not told, as in a release.
  uint64_t number = 0;
  Duration age{};  ///< since the claim was made
};

struct TrialQueueOptions {
  /// Time for which a claim is in force at most once it is the first. A host
  /// may end before it releases its claim.
  Duration lease = std::chrono::seconds(2);
  /// Time after which a claim that did not come back in the log counts as the
  /// first: the log is unreachable, and each host is on its own.
  Duration max_claim_delay = std::chrono::seconds(2);
  /// The hosts' delays are up to this much longer, each by another part of it,
  /// so that the crash of one trial is known before the next one.
  Duration claim_delay_spread = std::chrono::milliseconds(1500);
  /// Age of a claim at which any host removes it from the log.
  Duration retention = std::chrono::hours(1);
  /// A claim that no request asked for during this time is released.
  Duration max_idle = std::chrono::milliseconds(300);
  /// Time for which the last claim of another host is remembered. A late copy
  /// of it arrives before.
  Duration memory = std::chrono::minutes(2);
  /// Time after a trial that ended with its connection at which the claim is
  /// released, if there is no verdict on the loss by then.
  Duration max_verdict_delay = std::chrono::seconds(1);
};

/// The hosts' claims in the order of the log that all hosts read; the first one
/// is in force. Many hosts may have a copy of a held request, and each copy
/// could crash another upstream if all were tried at once.
///
/// The log may have a claim again, in another order: an append without an
/// answer is repeated, and the hosts write their records again when the store
/// comes back from an older copy. A claim that was read keeps its place.
///
/// Deterministic: time is an argument.
class TrialQueue {
 public:
  /// `host`: differs between all hosts and restarts.
  explicit TrialQueue(uint64_t host, TrialQueueOptions options = {})
      : host_(host), options_(options) {}

  /// Whether a trial may begin now. Joins the queue if not; call again soon.
  bool TryStart(TimePoint now);
  void OnTrialStarted() { running_ = true; }
  void OnTrialEnded();
  /// The trial lost its connection. The claim stays in force until OnVerdict(),
  /// so that the next host knows of the crash before its trial.
  void OnTrialLost(TimePoint now);
  void OnVerdict();
  /// Applies claims of all hosts, this one included, in the order of the log.
  void OnClaims(const std::vector<TrialClaim>& claims, TimePoint now);
  /// Releases a claim that is not used. Call about once a second.
  void Expire(TimePoint now);
  /// Returns the claims to share since the last call.
  std::vector<TrialClaim> TakeClaims() { return std::exchange(unshared_, {}); }

 private:
  struct Waiting {
    uint64_t host;
    std::optional<TimePoint> first_since;
  };
  struct Read {
    uint64_t number = 0;
    TimePoint at;
  };

  Duration OwnClaimDelay() const;
  bool IsListed(uint64_t host) const;
  /// Whether this claim or a later one of its host was read before.
  bool IsReadAgain(const TrialClaim& claim, TimePoint now);
  void OnClaim(const TrialClaim& claim);
  void Remove(uint64_t host);
  void Release();
  /// Drops claims whose lease is over, and starts the lease of the first one.
  void Advance(TimePoint now);

  uint64_t host_;
  TrialQueueOptions options_;
  std::deque<Waiting> claims_;
  std::unordered_map<uint64_t, Read> last_read_;  ///< by host
  uint64_t last_claim_ = 0;
  std::optional<TimePoint> claimed_at_;
  TimePoint last_asked_at_{};
  bool running_ = false;
  /// When to release the claim of a trial that was lost.
  std::optional<TimePoint> verdict_due_at_;
  std::vector<TrialClaim> unshared_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_TRIAL_QUEUE_H_
