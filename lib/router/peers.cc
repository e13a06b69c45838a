/// \file
/// Addresses of peers for the transport.

#include "teaselhill/router/peers.h"

namespace teaselhill::router {

std::vector<peer::PeerAddress> MakePeerAddresses(
    const std::vector<membership::MemberView>& members,
    const std::string& self,
    uint16_t port) {
  std::vector<peer::PeerAddress> peers;
  for (const membership::MemberView& seen : members) {
    if (seen.member.id.host != self)
      peers.push_back({seen.member.id.host, seen.member.address, port});
  }
  return peers;
}

}  // namespace teaselhill::router
