/// \file
/// What is known of upstreams, told to hosts that start.

#ifndef TEASELHILL_GATEWAY_PEER_NOTICES_H_
#define TEASELHILL_GATEWAY_PEER_NOTICES_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "teaselhill/gateway/peer_exchange.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/gateway/upstream_notices.h"

namespace teaselhill::gateway {

/// Hosts tell each other once that an upstream leaves or that the speed of an
/// engine has changed. A host that starts later asks others which upstreams
/// leave, and for the speeds. Used on the event loop of its PeerExchange, which
/// must outlive it.
class PeerNotices {
 public:
  /// `own_host`: name of this host, by which the hosts to ask are chosen.
  /// `shared_state`: its list of upstreams bounds what is remembered and told.
  PeerNotices(PeerExchange& exchange,
              std::string own_host,
              const SharedState& shared_state);

  /// What this host saw or was told.
  void Remember(const UpstreamObservations& observations);

  /// Asks some hosts, if any are known and this host has not asked before.
  /// `told` is called with each answer that names an upstream, and not at all
  /// for hosts that do not answer or run a build without this call.
  void AskOnce(const std::function<void(UpstreamObservations)>& told);

 private:
  Result<std::string> OnQuery();
  /// Forgets processes that the list of upstreams does not name any more.
  void Expire();

  PeerExchange& exchange_;
  std::string own_host_;
  const SharedState& shared_state_;
  std::set<UpstreamProcess> leaving_;
  std::map<UpstreamProcess, engines::EngineSpeed> speeds_;
  bool asked_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_NOTICES_H_
