/// \file
/// Upstreams that end if they have to refuse many requests.

#ifndef TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_
#define TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct BrittleUpstreamOptions {
  /// Part of the slots at which the bound of the fleet begins if each host has
  /// several. Memory may let an upstream run fewer requests than it has slots.
  double initial_part = 0.5;
  /// Growth of the bound of the fleet while the upstream refuses nothing, as a
  /// part of the slots per second. It adapts between the two limits.
  double initial_growth = 0.05;
  double min_growth = 0.002;
  double max_growth = 0.1;
  /// Time between two refusals to which the growth adapts.
  Duration refusal_interval = std::chrono::seconds(4);
  /// Largest bound of a host, as a multiple of an even share of the slots. The
  /// hosts get unlike parts of the traffic.
  double max_share = 2;
  /// Part of the open requests at a refusal that the bound leaves.
  double part_after_refusal = 0.9;
  /// Pauses after refusals last so long that at most this part of the refusals
  /// that an upstream tolerates begin a pause.
  double used_refusals = 0.5;
  Duration min_pause = std::chrono::milliseconds(200);
  Duration max_pause = std::chrono::seconds(1);
  /// Slots per tolerated refusal up to which hosts learn of a refusal before
  /// they send as many requests as make the upstream end.
  double few_slots = 4;
  /// Part of a host's bound that less urgent requests leave free.
  double urgent_reserve = 0.25;
};

/// Bounds the open requests of the fleet at brittle upstreams. A refusal tells
/// that an upstream is full: all hosts then set their bounds below what they
/// have open there and pause, so that the sum of the bounds is less than the
/// upstream's room and follows the traffic of the hosts. Afterwards the bounds
/// grow, so slowly that refusals are rare.
///
/// Deterministic: time is an argument, and random numbers come from a seed.
class BrittleUpstreams {
 public:
  /// Counts one open request at an upstream until it is destroyed.
  using OpenRequest = std::shared_ptr<void>;

  explicit BrittleUpstreams(uint64_t seed, BrittleUpstreamOptions options = {})
      : options_(options), rng_(seed), open_(std::make_shared<OpenCounts>()) {}

  void SetPosition(const FleetPosition& position) { hosts_ = position.hosts; }

  /// Call for each request that is sent.
  OpenRequest Open(const std::string& upstream_id);

  /// An answer to a request sent at `sent_at` says how many refusals per second
  /// the upstream tolerates; nothing: it is not brittle.
  void OnAnswer(const UpstreamEntry& upstream,
                std::optional<double> tolerated_refusals,
                TimePoint sent_at,
                TimePoint now);
  /// The upstream had no room for a request. `local`: for one of this host,
  /// which is still counted as open. Returns whether that is news for the other
  /// hosts.
  bool OnRefused(const UpstreamEntry& upstream, bool local, TimePoint now);

  /// Call with each new list. Upstreams that are new in a service with brittle
  /// ones count as brittle until they answer.
  void OnUpstreams(const UpstreamList& upstreams, TimePoint now);

  bool empty() const { return states_.empty(); }
  bool IsBrittle(const UpstreamProcess& upstream) const {
    return states_.count(upstream) != 0;
  }

  /// Whether this host may send a further request to the upstream.
  bool HasRoom(const UpstreamEntry& upstream, bool urgent, TimePoint now) const;

 private:
  using OpenCounts = std::map<std::string, int>;  ///< by upstream

  struct State {
    std::string service;
    int slots = 1;
    /// Send of the last request whose answer said that it is brittle.
    TimePoint observed_at = TimePoint::min();
    double tolerated_refusals = 1;  ///< per second
    double bound = 0;               ///< of this host, at `changed_at`
    double growth = 0;              ///< part of the slots per second
    TimePoint changed_at{};
    std::optional<TimePoint> refused_at;
    TimePoint paused_until = TimePoint::min();
  };

  /// The state of the upstream, added if it has none. Its bound begins at that
  /// of another upstream of the service, which is likely to have as much room.
  State& Add(const UpstreamEntry& upstream, TimePoint now);
  /// Of each upstream of the service that has refused requests.
  std::vector<double> BoundsOf(const std::string& service, TimePoint now) const;
  /// Part of one host if all have the same part of `total`.
  double EvenShare(double total) const;
  double BoundAt(const State& state, TimePoint now) const;
  Duration PauseAfterRefusal(const State& state, TimePoint now) const;
  void AdaptGrowth(State& state, TimePoint now) const;
  int CountOpen(const std::string& upstream_id) const;

  BrittleUpstreamOptions options_;
  Rng rng_;
  size_t hosts_ = FleetPosition().hosts;
  std::shared_ptr<OpenCounts> open_;
  std::map<UpstreamProcess, State> states_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_BRITTLE_UPSTREAMS_H_
