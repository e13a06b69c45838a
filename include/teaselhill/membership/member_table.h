/// \file
/// Host liveness by probes and piggybacked updates, with the host list as a
/// hint.

#ifndef TEASELHILL_MEMBERSHIP_MEMBER_TABLE_H_
#define TEASELHILL_MEMBERSHIP_MEMBER_TABLE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/membership/messages.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::membership {

struct MemberOptions {
  Duration probe_period = std::chrono::milliseconds(500);
  /// Without an answer by then, other hosts are asked to probe.
  Duration probe_timeout = std::chrono::milliseconds(150);
  /// Without an answer by then, counted from the probe, the target is
  /// suspected.
  Duration suspect_after = std::chrono::milliseconds(450);
  /// A suspected host that does not refute in this time is dead.
  Duration suspect_timeout = std::chrono::seconds(2);
  /// A longer time between two ticks means that this process was paused.
  Duration pause_threshold = std::chrono::milliseconds(200);
  /// Dead members that the host list does not name are remembered this long, so
  /// that late updates do not revive them.
  Duration dead_keep = std::chrono::seconds(30);
  /// Members of other domains that are neither listed nor heard of are dropped
  /// after this time, in case the update about their death was lost.
  Duration unlisted_keep = std::chrono::minutes(10);
  /// Reports about upstreams are forgotten after this; by then the host list
  /// names the upstream as leaving, or no longer.
  Duration leaving_keep = std::chrono::minutes(5);
  size_t indirect_probes = 2;
  size_t max_updates_per_message = 6;
  /// Of these, updates about live hosts. They may be late without harm, and a
  /// start of the whole fleet makes hundreds of them.
  size_t max_alive_per_message = 2;
  size_t max_members = 2000;
  size_t max_leaving = 1000;
  size_t max_relays = 64;
  /// Up to this many members all are probed in turn. With more, the own
  /// domain's are, and one host per other domain, so that connections stay few.
  size_t small_group = 16;
  /// Every this many probes one goes to another domain, or to a dead member.
  int cross_domain_every = 2;
  int dead_every = 7;
  /// Hosts of the own domain that hear at once of a leaving upstream; the
  /// others hear by piggybacked updates.
  size_t leaving_fanout = 40;
};

/// A message and where to send it.
struct Send {
  std::string to;  ///< host name
  std::string address;
  Message message;
};

enum class MemberEventKind { kUp, kSuspect, kDown, kLeaving };

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kUp;
  HostIncarnation id;
};

/// What the router has to do after a call.
struct Output {
  std::vector<Send> sends;
  std::vector<MemberEvent> events;
  std::vector<std::string> leaving_upstreams;   ///< newly learned
  std::vector<std::string> returned_upstreams;  ///< newly learned
};

struct HostListEntry {
  std::string name;
  std::string address;
  std::string domain;
  bool leaving = false;
};

struct UpstreamListEntry {
  std::string name;
  std::string domain;
  bool leaving = false;
};

struct DomainStatus {
  std::string domain;
  size_t known = 0;
  size_t reachable = 0;
};

struct MemberView {
  MemberUpdate member;
  Duration last_heard{};  ///< age of the last direct or indirect sign of life
  bool listed = false;    ///< on the host list
};

/// The state machine of one host.
class MemberTable {
 public:
  MemberTable(MemberUpdate self, MemberOptions options);

  /// Called at least every 50 ms.
  Output OnTick(TimePoint now, Rng* rng);
  Output OnMessage(const Message& message, TimePoint now, Rng* rng);

  /// Adds hosts that are unknown, marks leaving hosts and upstreams, and drops
  /// hosts that are neither listed nor heard of.
  Output OnHostList(const std::vector<HostListEntry>& hosts,
                    const std::vector<UpstreamListEntry>& upstreams,
                    TimePoint now);

  /// A sign seen by this host: a 503, an operator or the host list.
  Output MarkUpstreamLeaving(const std::string& upstream,
                             const std::string& domain,
                             uint64_t sequence,
                             TimePoint now);

  /// The upstream takes new work again: an engine after a reload, or by
  /// operator.
  Output MarkUpstreamReturned(const std::string& upstream,
                              const std::string& domain,
                              uint64_t sequence,
                              TimePoint now);

  /// This host is shutting down.
  Output MarkSelfLeaving(TimePoint now);

  std::vector<MemberView> Members(TimePoint now) const;
  /// Alive or leaving under exactly this incarnation, or suspected.
  bool IsUp(const HostIncarnation& id) const;
  /// Reachable share per failure domain, this host's own domain included.
  /// Another domain counts as cut off once two hosts of it failed to answer in
  /// a row.
  std::vector<DomainStatus> Domains(TimePoint now) const;
  const MemberUpdate& self() const { return self_; }

 private:
  struct Member {
    MemberUpdate update;  // incarnation 0: known from the host list only
    TimePoint state_since;
    TimePoint heard;
    bool listed = false;
  };
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    TimePoint sent;
    bool indirect = false;
  };
  struct Relay {
    std::string requester;
    uint64_t their_sequence = 0;
    TimePoint sent;
  };
  struct Leaving {
    UpstreamLeaving report;
    TimePoint since;
    int sent = 0;
  };

  Gossip TakeGossip();
  void Merge(const MemberUpdate& update, TimePoint now, Output* out);
  void MergeSelf(const MemberUpdate& update);
  void AddMember(const MemberUpdate& update, TimePoint now, Output* out);
  void MergeGossip(const Gossip& gossip, TimePoint now, Output* out);
  Output Announce(const UpstreamLeaving& report, TimePoint now);
  bool Learn(const UpstreamLeaving& report, TimePoint now, Output* out);
  void Heard(const MemberUpdate& from, TimePoint now, Output* out);
  void SetState(Member* member, MemberState state, TimePoint now, Output* out);
  void SendTo(const std::string& host, Message message, Output* out) const;
  void Reply(const MemberUpdate& to, uint64_t sequence, Output* out);
  void OnPing(const Ping& ping, TimePoint now, Output* out);
  void OnAck(const Ack& ack, TimePoint now, Output* out);
  void OnIndirectPing(const IndirectPing& ping, TimePoint now, Output* out);
  void StartProbe(TimePoint now, Rng* rng, Output* out);
  void CheckProbe(TimePoint now, Rng* rng, Output* out);
  void Expire(TimePoint now, Output* out);
  void DropUnlisted(TimePoint now, Output* out);
  void AfterPause(TimePoint now);
  std::string PickTarget(Rng* rng);
  std::string PickOtherDomain();
  std::string PickDead(Rng* rng) const;
  bool IsNear(const Member& member) const;
  int SpreadLimit() const;

  MemberUpdate self_;
  MemberOptions options_;
  std::map<std::string, Member> members_;  // without this host
  std::map<std::string, int> queue_;       // updates to spread: times sent
  std::map<std::string, Leaving> leaving_;
  std::map<std::string, int> failures_;  // probes in a row, by other domain
  std::string retry_domain_;        // probed next, to tell host from domain
  std::string last_domain_;         // of the last probe to another domain
  std::vector<std::string> order_;  // shuffled targets of this round
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;  // by our own sequence
  std::optional<TimePoint> last_tick_;
  TimePoint next_probe_;
  uint64_t next_sequence_ = 1;
  int probes_ = 0;
};

}  // namespace teaselhill::membership

#endif  // TEASELHILL_MEMBERSHIP_MEMBER_TABLE_H_
