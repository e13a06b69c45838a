/// \file
/// Addresses of peers for the transport.

#ifndef TEASELHILL_ROUTER_PEERS_H_
#define TEASELHILL_ROUTER_PEERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/peer/transport.h"

namespace teaselhill::router {

/// Returns all known hosts except `self`. Includes dead hosts: after a
/// partition each side considers the other one dead, and only a probe of a dead
/// host ends this state.
std::vector<peer::PeerAddress> MakePeerAddresses(
    const std::vector<membership::MemberView>& members,
    const std::string& self,
    uint16_t port);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_PEERS_H_
