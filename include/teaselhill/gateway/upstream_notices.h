/// \file
/// What upstreams say of themselves in their answers.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_NOTICES_H_
#define TEASELHILL_GATEWAY_UPSTREAM_NOTICES_H_

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselhill/engines/engine_speeds.h"
#include "teaselhill/engines/reserve_agreement.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/gateway/upstream_limits.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What one answer says of its upstream.
struct UpstreamNotice {
  LimitNotice limit;
  /// The upstream leaves and wants no further requests.
  bool leaving = false;
  /// Time in which it wants no requests of this host; zero: none is named.
  Duration pause{};
  /// The upstream ends if it has to refuse more requests a second than this for
  /// want of room; nothing: it does not say so.
  std::optional<double> tolerated_refusals;
};

/// A notice as hosts tell it each other.
struct NoticeObservation {
  UpstreamProcess upstream;
  bool leaving = false;
  Duration pause{};  ///< time that is left of it
};

/// All that a host tells the others of upstreams.
struct UpstreamObservations {
  std::vector<LimitObservation> limits;
  std::vector<NoticeObservation> notices;
  /// Brittle upstreams that had no room for a request.
  std::vector<UpstreamProcess> refusals;
  /// Upstreams that could not be connected to and may start again.
  std::vector<UpstreamProcess> unreachable;
  /// Speeds of engines that have changed.
  std::vector<engines::EngineSpeed> speeds;
  /// Parts of services' engines that the host would reserve.
  std::vector<engines::ReserveNeed> reserve_needs;

  bool empty() const {
    return limits.empty() && notices.empty() && refusals.empty() &&
           unreachable.empty() && speeds.empty() && reserve_needs.empty();
  }
};

/// A notice for the log.
struct NoticeChange {
  UpstreamProcess upstream;
  bool leaving = false;  ///< otherwise it wants a pause
  Duration pause{};
};

/// Keeps the notices of upstream processes, until they are gone. An upstream
/// that leaves gets no further requests of any host. A pause binds the host to
/// which it was named; the others avoid the upstream if they can, since it is
/// likely to turn them away as well. Limits are kept by UpstreamLimits.
///
/// Deterministic: time is an argument.
class UpstreamNotices {
 public:
  bool empty() const { return states_.empty() && limits_.empty(); }

  UpstreamLimits& limits() { return limits_; }
  const UpstreamLimits& limits() const { return limits_; }

  /// An answer to a request sent at `sent_at`.
  void OnAnswer(const UpstreamProcess& upstream,
                const UpstreamNotice& notice,
                TimePoint sent_at,
                TimePoint now,
                WallTime wall_now);
  /// What other hosts saw.
  void OnObservations(const UpstreamObservations& observations,
                      TimePoint now,
                      WallTime wall_now);
  /// Returns what to tell the other hosts since the last call.
  UpstreamObservations TakeObservations(TimePoint now);
  /// Returns the changes for the log since the last call, without limits.
  std::vector<NoticeChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

  bool IsLeaving(const UpstreamProcess& upstream) const;
  /// Whether this host must not send to the upstream now.
  bool IsExcluded(const UpstreamProcess& upstream, TimePoint now) const;
  /// Whether another host was told to wait, and this one was not.
  bool IsAvoided(const UpstreamProcess& upstream, TimePoint now) const;
  /// Time until the end of the pause; zero if there is none.
  Duration UntilPauseEnds(const UpstreamProcess& upstream, TimePoint now) const;

  /// Removes what is known of processes that are gone. Call about once a
  /// second.
  void Expire(const UpstreamList& upstreams, TimePoint now);

 private:
  struct State {
    bool leaving = false;
    TimePoint paused_until{};         ///< for this host
    TimePoint others_paused_until{};  ///< for another host
    TimePoint listed_at{};            ///< last time in the directory
  };

  const State* Find(const UpstreamProcess& upstream) const;
  void ApplyOwn(const UpstreamProcess& upstream,
                const UpstreamNotice& notice,
                TimePoint now);

  UpstreamLimits limits_;
  std::map<UpstreamProcess, State> states_;
  std::vector<NoticeObservation> unshared_;
  std::vector<NoticeChange> changes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_NOTICES_H_
