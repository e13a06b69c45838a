/// \file
/// Membership protocol similar to SWIM.

#include "teaselhill/membership/member_table.h"

#include <algorithm>
#include <tuple>

#include "member_update.h"

namespace teaselhill::membership {

static std::tuple<uint64_t, uint64_t, MemberState> UpdateVersion(
    const MemberUpdate& update) {
  return {update.id.incarnation, update.refutation, update.state};
}

MemberTable::MemberTable(MemberUpdate self, MemberOptions options)
    : self_(std::move(self)), options_(options) {}

MemberOutput MemberTable::OnTick(TimePoint now, Rng* rng) {
  MemberOutput out;
  if (last_tick_ && now - *last_tick_ > options_.pause_threshold)
    RestartTimeouts(now);
  last_tick_ = now;
  CheckProbe(now, rng, &out);
  ExpireEntries(now, &out);
  if (!probe_ && now >= next_probe_at_)
    StartProbe(now, rng, &out);
  return out;
}

// Called after a pause of this process. Acks that arrived during the pause have
// not been read yet, so timeouts that expired during the pause do not show that
// a peer is unresponsive.
void MemberTable::RestartTimeouts(TimePoint now) {
  probe_.reset();
  relays_.clear();
  next_probe_at_ = now;
  for (auto& [name, member] : members_) {
    if (member.update.state == MemberState::kSuspect)
      member.state_since = now;
  }
}

MemberOutput MemberTable::OnMessage(const Message& message,
                                    TimePoint now,
                                    Rng* /*rng*/) {
  MemberOutput out;
  if (const auto* ping = std::get_if<Ping>(&message))
    OnPing(*ping, now, &out);
  else if (const auto* ack = std::get_if<Ack>(&message))
    OnAck(*ack, now, &out);
  else
    OnIndirectPing(std::get<IndirectPing>(message), now, &out);
  return out;
}

void MemberTable::OnPing(const Ping& ping, TimePoint now, MemberOutput* out) {
  RecordContact(ping.from, now, out);
  MergeGossip(ping.gossip, now, out);
  SendAck(ping.from, ping.sequence, out);
}

void MemberTable::SendAck(const MemberUpdate& to,
                          uint64_t sequence,
                          MemberOutput* out) {
  Ack ack{self_, sequence, NextGossip()};
  // A sender that this host considers suspect or dead can refute that state
  // only if it receives the update about itself.
  const auto member = members_.find(to.id.host);
  if (member != members_.end() &&
      member->second.update.state != MemberState::kAlive)
    ack.gossip.members.push_back(member->second.update);
  SendTo(to.id.host, std::move(ack), out);
}

void MemberTable::OnAck(const Ack& ack, TimePoint now, MemberOutput* out) {
  RecordContact(ack.from, now, out);
  MergeGossip(ack.gossip, now, out);
  if (probe_ && probe_->sequence == ack.sequence)
    probe_.reset();
  const auto relay = relays_.find(ack.sequence);
  if (relay == relays_.end())
    return;
  SendTo(relay->second.requester,
         Ack{ack.from, relay->second.requester_sequence, {}}, out);
  relays_.erase(relay);
}

void MemberTable::OnIndirectPing(const IndirectPing& ping,
                                 TimePoint now,
                                 MemberOutput* out) {
  RecordContact(ping.from, now, out);
  MergeGossip(ping.gossip, now, out);
  if (relays_.size() >= options_.max_relays || members_.count(ping.target) == 0)
    return;
  const uint64_t sequence = next_sequence_++;
  relays_[sequence] = {ping.from.id.host, ping.sequence, now};
  SendTo(ping.target, Ping{self_, sequence, NextGossip()}, out);
}

void MemberTable::RecordContact(const MemberUpdate& from,
                                TimePoint now,
                                MemberOutput* out) {
  MergeUpdate(from, now, out);
  const auto member = members_.find(from.id.host);
  if (member == members_.end() ||
      member->second.update.id.incarnation != from.id.incarnation)
    return;
  member->second.last_seen = now;
  failed_probes_.erase(from.domain);
}

void MemberTable::MergeGossip(const Gossip& gossip,
                              TimePoint now,
                              MemberOutput* out) {
  for (const MemberUpdate& update : gossip.members)
    MergeUpdate(update, now, out);
  for (const UpstreamReport& report : gossip.upstream_reports)
    MergeReport(report, now, out);
}

void MemberTable::MergeUpdate(const MemberUpdate& update,
                              TimePoint now,
                              MemberOutput* out) {
  if (update.id.host == self_.id.host)
    return MergeSelfUpdate(update);
  const auto found = members_.find(update.id.host);
  if (found == members_.end())
    return AddMember(update, now, out);
  Member& member = found->second;
  if (UpdateVersion(update) <= UpdateVersion(member.update))
    return;
  const MemberState before = member.update.state;
  const bool restarted = update.id.incarnation != member.update.id.incarnation;
  const bool was_up = before != MemberState::kDead && !restarted;
  if (restarted && !IsOnlyFromHostList(member.update) &&
      before != MemberState::kDead)
    out->events.push_back({MemberEventKind::kDown, member.update.id});
  member.update = update;
  member.state_since = now;
  gossip_queue_[update.id.host] = 0;
  if (update.state == MemberState::kDead) {
    if (was_up)
      out->events.push_back({MemberEventKind::kDown, update.id});
    return;
  }
  if (!was_up)
    out->events.push_back({MemberEventKind::kUp, update.id});
  if (update.state == MemberState::kLeaving && before != MemberState::kLeaving)
    out->events.push_back({MemberEventKind::kLeaving, update.id});
  if (update.state == MemberState::kSuspect)
    out->events.push_back({MemberEventKind::kSuspect, update.id});
}

void MemberTable::MergeSelfUpdate(const MemberUpdate& update) {
  const bool reported_down = update.state == MemberState::kSuspect ||
                             update.state == MemberState::kDead;
  if (!reported_down || update.id.incarnation != self_.id.incarnation ||
      update.refutation < self_.refutation)
    return;
  self_.refutation = update.refutation + 1;
  gossip_queue_[self_.id.host] = 0;
}

void MemberTable::AddMember(const MemberUpdate& update,
                            TimePoint now,
                            MemberOutput* out) {
  if (update.state == MemberState::kDead || IsOnlyFromHostList(update) ||
      members_.size() >= options_.max_members)
    return;
  Member member;
  member.update = update;
  member.state_since = now;
  members_.emplace(update.id.host, std::move(member));
  gossip_queue_[update.id.host] = 0;
  out->events.push_back({MemberEventKind::kUp, update.id});
  if (update.state == MemberState::kLeaving)
    out->events.push_back({MemberEventKind::kLeaving, update.id});
}

void MemberTable::SetState(Member* member,
                           MemberState state,
                           TimePoint now,
                           MemberOutput* out) {
  member->update.state = state;
  member->state_since = now;
  // A host that is known only from the host list was never reported as up.
  if (IsOnlyFromHostList(member->update))
    return;
  gossip_queue_[member->update.id.host] = 0;
  const MemberEventKind kind = state == MemberState::kDead
                                   ? MemberEventKind::kDown
                                   : MemberEventKind::kSuspect;
  out->events.push_back({kind, member->update.id});
}

void MemberTable::ExpireEntries(TimePoint now, MemberOutput* out) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const Duration age = now - member.state_since;
    if (member.update.state == MemberState::kSuspect &&
        age >= options_.suspect_timeout)
      SetState(&member, MemberState::kDead, now, out);
    const bool expired = member.update.state == MemberState::kDead &&
                         !member.listed && age >= options_.dead_retention;
    if (expired)
      gossip_queue_.erase(it->first);
    it = expired ? members_.erase(it) : std::next(it);
  }
  for (auto it = reports_.begin(); it != reports_.end();)
    it = now - it->second.received_at >= options_.report_retention
             ? reports_.erase(it)
             : std::next(it);
  for (auto it = relays_.begin(); it != relays_.end();)
    it = now - it->second.sent_at >= options_.suspect_after ? relays_.erase(it)
                                                            : std::next(it);
}

MemberOutput MemberTable::OnHostList(
    const std::vector<HostListEntry>& hosts,
    const std::vector<UpstreamListEntry>& upstreams,
    TimePoint now) {
  MemberOutput out;
  for (auto& [name, member] : members_)
    member.listed = false;
  for (const HostListEntry& host : hosts) {
    if (host.name == self_.id.host)
      continue;
    const auto found = members_.find(host.name);
    if (found == members_.end()) {
      if (members_.size() >= options_.max_members)
        continue;
      Member member;
      member.update = {
          {host.name, 0}, 0, MemberState::kAlive, host.address, host.domain};
      member.state_since = now;
      member.listed = true;
      members_.emplace(host.name, std::move(member));
      continue;
    }
    found->second.listed = true;
    MemberUpdate leaving = found->second.update;
    leaving.state = MemberState::kLeaving;
    if (host.leaving && !IsOnlyFromHostList(leaving))
      MergeUpdate(leaving, now, &out);
  }
  RemoveUnlisted(now, &out);
  for (const UpstreamListEntry& upstream : upstreams) {
    if (upstream.leaving && reports_.count(upstream.name) == 0)
      MergeReport({upstream.name, upstream.domain, 0, true}, now, &out);
  }
  return out;
}

void MemberTable::RemoveUnlisted(TimePoint now, MemberOutput* out) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const TimePoint last_activity =
        std::max(member.last_seen, member.state_since);
    const bool inactive = !IsProbedInTurn(member) &&
                          now - last_activity >= options_.unlisted_retention;
    if (member.listed || (!IsOnlyFromHostList(member.update) && !inactive)) {
      ++it;
      continue;
    }
    if (!IsOnlyFromHostList(member.update) &&
        member.update.state != MemberState::kDead)
      out->events.push_back({MemberEventKind::kDown, member.update.id});
    gossip_queue_.erase(it->first);
    it = members_.erase(it);
  }
}

bool MemberTable::MergeReport(const UpstreamReport& report,
                              TimePoint now,
                              MemberOutput* out) {
  const auto found = reports_.find(report.upstream);
  if (found != reports_.end() &&
      found->second.report.sequence >= report.sequence)
    return false;
  if (found == reports_.end() && reports_.size() >= options_.max_reports)
    return false;
  reports_[report.upstream] = {report, now, 0};
  (report.leaving ? out->leaving_upstreams : out->returned_upstreams)
      .push_back(report.upstream);
  return true;
}

MemberOutput MemberTable::MarkUpstreamLeaving(const std::string& upstream,
                                              const std::string& domain,
                                              uint64_t sequence,
                                              TimePoint now) {
  return BroadcastReport({upstream, domain, sequence, true}, now);
}

MemberOutput MemberTable::MarkUpstreamReturned(const std::string& upstream,
                                               const std::string& domain,
                                               uint64_t sequence,
                                               TimePoint now) {
  return BroadcastReport({upstream, domain, sequence, false}, now);
}

MemberOutput MemberTable::BroadcastReport(const UpstreamReport& report,
                                          TimePoint now) {
  MemberOutput out;
  if (!MergeReport(report, now, &out))
    return out;
  size_t remaining = options_.report_fanout;
  for (const auto& [name, member] : members_) {
    if (remaining == 0)
      break;
    if (!IsProbedInTurn(member) || member.update.state == MemberState::kDead)
      continue;
    --remaining;
    Ping ping{self_, next_sequence_++, {}};
    ping.gossip.upstream_reports.push_back(report);
    SendTo(name, std::move(ping), &out);
  }
  return out;
}

MemberOutput MemberTable::MarkSelfLeaving(TimePoint now) {
  MemberOutput out;
  self_.state = MemberState::kLeaving;
  gossip_queue_[self_.id.host] = 0;
  size_t remaining = options_.report_fanout;
  for (const auto& [name, member] : members_) {
    if (remaining == 0)
      break;
    if (!IsProbedInTurn(member) || member.update.state == MemberState::kDead)
      continue;
    --remaining;
    SendTo(name, Ping{self_, next_sequence_++, {}}, &out);
  }
  return out;
}

std::vector<MemberView> MemberTable::Members(TimePoint now) const {
  std::vector<MemberView> views;
  views.reserve(members_.size());
  for (const auto& [name, member] : members_)
    views.push_back({member.update, now - member.last_seen, member.listed});
  return views;
}

bool MemberTable::IsUp(const HostIncarnation& id) const {
  if (id.host == self_.id.host)
    return id == self_.id;
  const auto member = members_.find(id.host);
  if (member == members_.end() ||
      member->second.update.state == MemberState::kDead)
    return false;
  return IsOnlyFromHostList(member->second.update) ||
         member->second.update.id == id;
}

std::vector<DomainStatus> MemberTable::Domains(TimePoint /*now*/) const {
  std::map<std::string, DomainStatus> domains;
  domains[self_.domain] = {self_.domain, 1, 1};
  for (const auto& [name, member] : members_) {
    DomainStatus& status = domains[member.update.domain];
    status.domain = member.update.domain;
    ++status.known;
    status.reachable += member.update.state != MemberState::kDead;
  }
  std::vector<DomainStatus> statuses;
  for (auto& [name, status] : domains) {
    const auto failed = failed_probes_.find(name);
    if (failed != failed_probes_.end() && failed->second >= 2)
      status.reachable = 0;
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace teaselhill::membership
