/// \file
/// Detects by probes and gossip which hosts are alive. The host list does not
/// show whether a host is alive; it names hosts to probe and shows which hosts
/// and upstreams are leaving.

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
  /// If the target of a probe has not answered within this time after the probe
  /// was sent, other hosts are asked to probe the target.
  Duration probe_timeout = std::chrono::milliseconds(150);
  /// A target that has not answered within this time after the probe was sent
  /// is suspected or, if it was leaving, declared dead.
  Duration suspect_after = std::chrono::milliseconds(450);
  /// A suspected host that does not refute the suspicion within this time is
  /// declared dead.
  Duration suspect_timeout = std::chrono::seconds(2);
  /// If more time than this passes between two calls to OnTick(), this process
  /// is assumed to have been paused.
  Duration pause_threshold = std::chrono::milliseconds(200);
  /// Members that are not on the host list are removed this time after they
  /// were declared dead. Until then a delayed update cannot add them again as
  /// live members.
  Duration dead_retention = std::chrono::seconds(30);
  /// Members that are neither probed in turn (see max_fully_probed_members) nor
  /// on the host list are removed if for this time this host received no
  /// message from them and their state did not change. The update that declares
  /// them dead may have been lost.
  Duration unlisted_retention = std::chrono::minutes(10);
  /// Reports about upstreams expire this time after they were received. By then
  /// the host list shows the upstream as leaving or no longer contains it.
  Duration report_retention = std::chrono::minutes(5);
  size_t indirect_probes = 2;
  size_t max_updates_per_message = 6;
  /// Maximum number of updates about live hosts among the
  /// max_updates_per_message updates of a message. A delay of updates about
  /// live hosts does no harm, and a start of the whole fleet causes hundreds of
  /// them.
  size_t max_alive_updates_per_message = 2;
  size_t max_members = 2000;
  size_t max_reports = 1000;
  size_t max_relays = 64;
  /// If there are at most this many members besides this host, all of them are
  /// probed in turn. If there are more, only the hosts of this host's domain
  /// are probed in turn. Of every other domain one host is probed, which limits
  /// the number of connections.
  size_t max_fully_probed_members = 16;
  /// If not all members are probed in turn, every N-th probe, with N this
  /// number, goes to a host of another domain.
  int probes_per_cross_domain_probe = 2;
  /// Every N-th probe, with N this number, goes to a dead member, if there is
  /// one.
  int probes_per_dead_probe = 7;
  /// Maximum number of hosts that are pinged immediately when an upstream is
  /// leaving or has returned, or when this host is leaving. Only hosts that are
  /// probed in turn are pinged. The other hosts receive the report by gossip.
  size_t report_fanout = 40;
};

/// A message and its destination.
struct OutgoingMessage {
  std::string host;  ///< host name
  std::string address;
  Message message;
};

enum class MemberEventKind { kUp, kSuspect, kDown, kLeaving };

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kUp;
  HostIncarnation id;
};

/// What the router has to do after a call. `leaving_upstreams` and
/// `returned_upstreams` name the upstreams whose state the call changed.
struct MemberOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberEvent> events;
  std::vector<std::string> leaving_upstreams;
  std::vector<std::string> returned_upstreams;
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
  /// Time since the last message that the member sent directly or that another
  /// host forwarded from it. Not meaningful if no such message was received.
  Duration time_since_last_seen{};
  bool listed = false;  ///< on the host list
};

/// The membership state machine of one host.
class MemberTable {
 public:
  MemberTable(MemberUpdate self, MemberOptions options);

  /// Called at least every 50 ms.
  MemberOutput OnTick(TimePoint now, Rng* rng);
  MemberOutput OnMessage(const Message& message, TimePoint now, Rng* rng);

  /// Adds the hosts that are not known yet. Marks a host that the list shows as
  /// leaving as leaving, unless the host is known only from the list. Marks an
  /// upstream that the list shows as leaving as leaving, unless a report about
  /// the upstream is stored. Removes a host that is no longer on the list if
  /// the host was known only from the list or if
  /// MemberOptions::unlisted_retention applies.
  MemberOutput OnHostList(const std::vector<HostListEntry>& hosts,
                          const std::vector<UpstreamListEntry>& upstreams,
                          TimePoint now);

  /// Called when this host observes from a response 503, an operator's command
  /// or the host list that the upstream is leaving. Reports to the other hosts
  /// that the upstream is leaving.
  MemberOutput MarkUpstreamLeaving(const std::string& upstream,
                                   const std::string& domain,
                                   uint64_t sequence,
                                   TimePoint now);

  /// Called when the upstream accepts requests again: after the reload of an
  /// engine or on an operator's command. Reports to the other hosts that the
  /// upstream accepts requests.
  MemberOutput MarkUpstreamReturned(const std::string& upstream,
                                    const std::string& domain,
                                    uint64_t sequence,
                                    TimePoint now);

  /// Called when this host is shutting down. Reports to the other hosts that
  /// this host is leaving.
  MemberOutput MarkSelfLeaving(TimePoint now);

  std::vector<MemberView> Members(TimePoint now) const;
  /// Returns true if the host is known, not dead and has this incarnation. A
  /// host that is known only from the host list is up in any incarnation.
  bool IsUp(const HostIncarnation& id) const;
  /// Counts the known and the reachable hosts of each failure domain, including
  /// this host's own domain. All hosts of another domain count as unreachable
  /// after two failed probes to the domain if no message from the domain
  /// arrived between the two.
  std::vector<DomainStatus> Domains(TimePoint now) const;
  const MemberUpdate& self() const { return self_; }

 private:
  struct Member {
    MemberUpdate update;  // incarnation 0: known only from the host list
    TimePoint state_since;
    TimePoint last_seen;
    bool listed = false;
  };
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    TimePoint sent_at;
    bool indirect = false;
  };
  struct Relay {
    std::string requester;
    uint64_t requester_sequence = 0;
    TimePoint sent_at;
  };
  struct ReportState {
    UpstreamReport report;
    TimePoint received_at;
    int send_count = 0;
  };

  Gossip NextGossip();
  void MergeUpdate(const MemberUpdate& update,
                   TimePoint now,
                   MemberOutput* out);
  void MergeSelfUpdate(const MemberUpdate& update);
  void AddMember(const MemberUpdate& update, TimePoint now, MemberOutput* out);
  void MergeGossip(const Gossip& gossip, TimePoint now, MemberOutput* out);
  MemberOutput BroadcastReport(const UpstreamReport& report, TimePoint now);
  bool MergeReport(const UpstreamReport& report,
                   TimePoint now,
                   MemberOutput* out);
  void RecordContact(const MemberUpdate& from,
                     TimePoint now,
                     MemberOutput* out);
  void SetState(Member* member,
                MemberState state,
                TimePoint now,
                MemberOutput* out);
  void SendTo(const std::string& host,
              Message message,
              MemberOutput* out) const;
  void SendAck(const MemberUpdate& to, uint64_t sequence, MemberOutput* out);
  void OnPing(const Ping& ping, TimePoint now, MemberOutput* out);
  void OnAck(const Ack& ack, TimePoint now, MemberOutput* out);
  void OnIndirectPing(const IndirectPing& ping,
                      TimePoint now,
                      MemberOutput* out);
  void StartProbe(TimePoint now, Rng* rng, MemberOutput* out);
  void CheckProbe(TimePoint now, Rng* rng, MemberOutput* out);
  void ExpireEntries(TimePoint now, MemberOutput* out);
  void RemoveUnlisted(TimePoint now, MemberOutput* out);
  void RestartTimeouts(TimePoint now);
  std::string PickProbeTarget(Rng* rng);
  std::string PickTargetInOtherDomain();
  std::string PickDeadMember(Rng* rng) const;
  bool IsProbedInTurn(const Member& member) const;
  int MaxGossipSends() const;

  MemberUpdate self_;
  MemberOptions options_;
  std::map<std::string, Member> members_;  // by name; without this host
  // Hosts whose updates are gossiped, including this host. By name: how often
  // the host's update was sent so far.
  std::map<std::string, int> gossip_queue_;
  std::map<std::string, ReportState> reports_;
  // By domain: number of failed probes to the domain since the last message
  // from it. Probes to hosts of this host's own domain are not counted.
  std::map<std::string, int> failed_probes_;
  // Domain to probe next because one of its hosts did not answer. The probe of
  // another host shows whether only the first host or the whole domain is
  // unreachable.
  std::string retry_domain_;
  // Domain of the last probe to another domain, not counting probes to
  // retry_domain_.
  std::string last_probed_domain_;
  // Shuffled targets that have not been probed yet in this round.
  std::vector<std::string> probe_order_;
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;  // by the sequence of this host's ping
  std::optional<TimePoint> last_tick_;
  TimePoint next_probe_at_;
  uint64_t next_sequence_ = 1;
  int probe_count_ = 0;
};

}  // namespace teaselhill::membership

#endif  // TEASELHILL_MEMBERSHIP_MEMBER_TABLE_H_
