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

/// The state of one host. Of two updates about a host, the one with the higher
/// (incarnation, refutation) applies. If these are equal, the update whose
/// state comes later in MemberState applies.
struct MemberUpdate {
  HostIncarnation id;
  /// Raised only by the host itself, to refute a suspicion or its reported
  /// death.
  uint64_t refutation = 0;
  MemberState state = MemberState::kAlive;
  std::string address;
  std::string domain;
};

/// Report that an upstream accepts no new requests, or accepts them again.
/// `sequence` is the reporter's wall time in milliseconds; of several reports
/// about an upstream the one with the highest sequence applies.
struct UpstreamReport {
  std::string upstream;
  std::string domain;
  uint64_t sequence = 0;
  bool leaving = true;  ///< false: accepts requests again, e.g. after a reload
};

/// The updates and reports that a message carries.
struct Gossip {
  std::vector<MemberUpdate> members;
  std::vector<UpstreamReport> upstream_reports;
};

struct Ping {
  MemberUpdate from;
  uint64_t sequence = 0;
  Gossip gossip;
};

struct Ack {
  MemberUpdate from;
  uint64_t sequence = 0;  ///< of the Ping or IndirectPing that is answered
  Gossip gossip;
};

/// Asks the receiver to ping `target` and to forward the target's Ack to
/// `from`.
struct IndirectPing {
  MemberUpdate from;
  uint64_t sequence = 0;
  std::string target;
  Gossip gossip;
};

using Message = std::variant<Ping, Ack, IndirectPing>;

}  // namespace teaselhill::membership

#endif  // TEASELHILL_MEMBERSHIP_MESSAGES_H_
