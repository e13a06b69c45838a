/// \file
/// Addresses that the transport may reach.

#ifndef TEASELHILL_ROUTER_PEERS_H_
#define TEASELHILL_ROUTER_PEERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/membership/member_table.h"
#include "teaselhill/peer/transport.h"

namespace teaselhill::router {

/// All known hosts but `self`. Dead ones are among them: after a partition both
/// sides hold each other for dead, and only a probe of a dead host ends that.
std::vector<peer::PeerAddress> PeersOf(
    const std::vector<membership::MemberView>& members,
    const std::string& self,
    uint16_t port);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_PEERS_H_
