/// \file
/// Upstreams that end if they have to refuse many requests.

#ifndef TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_
#define TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_

#include <map>
#include <memory>
#include <vector>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct BrittleUpstreamOptions {
  /// Factor of the bound after a refusal, and the time in which further
  /// refusals come from requests that were open before.
  double shrink_factor = 0.7;
  Duration shrink_period = std::chrono::milliseconds(500);
  /// Growth of the bound, as a part of the slots per second, while the upstream
  /// refuses nothing.
  double growth_per_second = 0.05;
  /// Part of a host's share that less urgent requests leave free.
  double urgent_reserve = 0.25;
};

/// Bounds the open requests of the fleet at brittle upstream processes, so that
/// none has to be refused. The bound begins at the slots of the upstream, which
/// may have less room than that, such as memory: each refusal shrinks it on all
/// hosts. Each host has a fixed part of it, and the parts add up to the bound.
///
/// Deterministic: time is an argument.
class BrittleUpstreams {
 public:
  /// Counts one open request at an upstream until it is destroyed.
  using OpenRequest = std::shared_ptr<void>;

  explicit BrittleUpstreams(BrittleUpstreamOptions options = {})
      : options_(options), open_(std::make_shared<OpenCounts>()) {}

  void SetPosition(const FleetPosition& position) { position_ = position; }

  /// Call for each request that is sent.
  OpenRequest Open(const std::string& upstream_id);

  /// An answer to a request sent at `sent_at` says whether the upstream is
  /// brittle.
  void OnAnswer(const UpstreamProcess& upstream,
                bool brittle,
                TimePoint sent_at,
                TimePoint now);
  /// The upstream had no room for a request. `local`: of this host. Returns
  /// whether that is news for the other hosts.
  bool OnRefused(const UpstreamProcess& upstream, bool local, TimePoint now);

  bool empty() const { return states_.empty(); }
  bool IsBrittle(const UpstreamProcess& upstream) const {
    return states_.count(upstream) != 0;
  }

  /// Whether this host may send a further request to the upstream.
  bool HasRoom(const UpstreamEntry& upstream, bool urgent, TimePoint now) const;

  /// Removes processes that are gone. Call about once a second.
  void Expire(const UpstreamList& upstreams);

 private:
  using OpenCounts = std::map<std::string, int>;  ///< by upstream

  struct State {
    TimePoint observed_at;  ///< send of the request whose answer said so
    double fraction = 1;    ///< of the slots, at `changed_at`
    TimePoint changed_at;
    TimePoint shrunk_at{};
  };

  double FractionAt(const State& state, TimePoint now) const;
  /// Part of this host in the bound on open requests.
  int OwnShare(const UpstreamEntry& upstream,
               const State& state,
               TimePoint now) const;

  BrittleUpstreamOptions options_;
  FleetPosition position_;
  std::shared_ptr<OpenCounts> open_;
  std::map<UpstreamProcess, State> states_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_
