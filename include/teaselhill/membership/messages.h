/// \file
/// Messages of the membership protocol.

#ifndef TEASELHILL_MEMBERSHIP_MESSAGES_H_
#define TEASELHILL_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselhill/support/ids.h"

namespace teaselhill::membership {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// A statement about one host. A higher (incarnation, refutation) wins; with
/// equal numbers the later state in MemberState's order wins.
struct MemberUpdate {
  HostIncarnation id;
  uint64_t refutation = 0;  ///< raised by the host itself to refute a suspicion
  MemberState state = MemberState::kAlive;
  std::string address;
  std::string domain;
};

/// An upstream that takes no new work, or takes it again. `sequence` is the
/// reporter's wall time in milliseconds; the highest one counts.
struct UpstreamLeaving {
  std::string upstream;
  std::string domain;
  uint64_t sequence = 0;
  bool leaving = true;  ///< false: it is back, for instance after a reload
};

/// Updates carried by every message.
struct Gossip {
  std::vector<MemberUpdate> members;
  std::vector<UpstreamLeaving> leaving;
};

struct Ping {
  MemberUpdate from;
  uint64_t sequence = 0;
  Gossip gossip;
};

struct Ack {
  MemberUpdate from;
  uint64_t sequence = 0;  ///< of the Ping or IndirectPing it answers
  Gossip gossip;
};

/// Asks the receiver to ping `target` and pass its Ack on.
struct IndirectPing {
  MemberUpdate from;
  uint64_t sequence = 0;
  std::string target;
  Gossip gossip;
};

using Message = std::variant<Ping, Ack, IndirectPing>;

}  // namespace teaselhill::membership

#endif  // TEASELHILL_MEMBERSHIP_MESSAGES_H_
