/// \file
/// Requests that one host sends to upstreams for another, which is cut from
/// them.

#ifndef TEASELHILL_GATEWAY_RELAY_H_
#define TEASELHILL_GATEWAY_RELAY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/net/http_types.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What the host that takes a request from a caller tells the one that serves
/// it.
struct RelayOrigin {
  std::string host;       ///< that took the request
  int attempts_left = 1;  ///< upstreams at which the request may still run
};

/// What the serving host tells of an upstream's response.
struct RelayedResponse {
  std::string service;  ///< of the upstream; a route may lead to several
  std::string version;  ///< of its software
  /// Upstreams that may have run the request so far. Read by hosts of older
  /// builds; the serving host may need more before its answer ends.
  int runs = 1;
};

void AddRelayOrigin(const RelayOrigin& origin, net::Headers* headers);
/// Removes the headers that it decodes; nothing if they are missing or invalid.
std::optional<RelayOrigin> TakeRelayOrigin(net::Headers* headers);

void AddRelayedResponse(const RelayedResponse& response, net::Headers* headers);
/// Removes the headers that it decodes; nothing if they are missing or invalid.
std::optional<RelayedResponse> TakeRelayedResponse(net::Headers* headers);

/// Code of a response that the serving host gave by itself; nothing: the
/// response is an upstream's.
std::optional<ResultCode> RelayErrorCode(const net::Headers& headers);

/// Delay that the serving host names with a refusal; zero if it names none.
Duration RelayRetryAfter(const net::Headers& headers);

/// Whether another host may serve a request that one has refused so. Refusals
/// for load, limits and crashes hold for the whole fleet.
bool MayServeElsewhere(ResultCode code);

/// The hosts of the fleet that may serve requests for this one. Deterministic:
/// time is an argument.
class RelayPeers {
 public:
  struct Peer {
    std::string host;
    std::string address;  ///< IP address and port
  };

  /// Time for which a host is avoided that did not serve a request, or that
  /// told that it is cut off itself. It repeats that more often.
  static constexpr std::chrono::seconds kAvoidance{2};

  /// `own_host`: is never a peer.
  explicit RelayPeers(std::string own_host) : own_host_(std::move(own_host)) {}

  void OnHosts(const std::vector<HostRecord>& records);
  void OnFailed(const std::string& host, TimePoint now);
  /// The host tells that it is, or is not any more, cut from all upstreams.
  void OnReach(const std::string& host, bool cut, TimePoint now);

  /// A host at random, other than `tried` and those that are cut off; nothing
  /// if none is left. Hosts that have failed come last: they may be back.
  std::optional<Peer> Pick(const std::vector<std::string>& tried,
                           Rng& rng,
                           TimePoint now) const;

  /// Whether a host of the fleet has this IP address.
  bool IsFleetAddress(std::string_view ip) const;

 private:
  std::string own_host_;
  std::map<std::string, std::string> address_by_host_;
  std::unordered_set<std::string> fleet_ips_;
  std::map<std::string, TimePoint> failed_at_;  ///< by host
  std::map<std::string, TimePoint> cut_at_;     ///< by host, as last told
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RELAY_H_
