/// \file
/// Membership protocol similar to SWIM.

#include "teaselhill/membership/member_table.h"

#include <algorithm>
#include <tuple>

#include "teaselhill/support/hash.h"

namespace teaselhill::membership {

// How many times a host sends an update per doubling of the member count. With
// three times per doubling, an update reaches all members with a probability
// above 0.99 if no messages are lost.
static constexpr int kSendsPerDoubling = 3;

static std::tuple<uint64_t, uint64_t, MemberState> UpdateVersion(
    const MemberUpdate& update) {
  return {update.id.incarnation, update.refutation, update.state};
}

static bool IsOnlyFromHostList(const MemberUpdate& update) {
  return update.id.incarnation == 0;
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

int MemberTable::MaxGossipSends() const {
  int doublings = 1;
  for (size_t n = members_.size() + 1; n > 1; n /= 2)
    ++doublings;
  return kSendsPerDoubling * doublings;
}

Gossip MemberTable::NextGossip() {
  Gossip gossip;
  const int limit = MaxGossipSends();
  size_t free_slots = options_.max_updates_per_message;
  std::vector<ReportState*> reports;
  for (auto& [name, state] : reports_) {
    if (state.send_count < limit)
      reports.push_back(&state);
  }
  std::sort(reports.begin(), reports.end(),
            [](const ReportState* a, const ReportState* b) {
              return a->send_count < b->send_count;
            });
  for (size_t i = 0; i < reports.size() && free_slots > 0; ++i, --free_slots) {
    ++reports[i]->send_count;
    gossip.upstream_reports.push_back(reports[i]->report);
  }
  // Updates about dead, suspect and leaving hosts and about this host come
  // before updates about live hosts.
  std::vector<std::tuple<bool, int, std::string>> updates;
  for (const auto& [name, send_count] : gossip_queue_) {
    const auto member = members_.find(name);
    const bool alive = member != members_.end() &&
                       member->second.update.state == MemberState::kAlive;
    updates.emplace_back(alive, send_count, name);
  }
  std::sort(updates.begin(), updates.end());
  size_t free_alive_slots = options_.max_alive_updates_per_message;
  for (size_t i = 0; i < updates.size() && free_slots > 0; ++i, --free_slots) {
    const auto& [alive, send_count, name] = updates[i];
    if (alive && free_alive_slots-- == 0)
      break;
    const auto member = members_.find(name);
    if (member != members_.end())
      gossip.members.push_back(member->second.update);
    else if (name == self_.id.host)
      gossip.members.push_back(self_);
    if (++gossip_queue_[name] >= limit)
      gossip_queue_.erase(name);
  }
  return gossip;
}

void MemberTable::SendTo(const std::string& host,
                         Message message,
                         MemberOutput* out) const {
  const auto member = members_.find(host);
  if (member != members_.end())
    out->messages.push_back(
        {host, member->second.update.address, std::move(message)});
}

bool MemberTable::IsProbedInTurn(const Member& member) const {
  return members_.size() <= options_.max_fully_probed_members ||
         member.update.domain == self_.domain;
}

std::string MemberTable::PickProbeTarget(Rng* rng) {
  ++probe_count_;
  if (probe_count_ % options_.probes_per_dead_probe == 0) {
    const std::string dead = PickDeadMember(rng);
    if (!dead.empty())
      return dead;
  }
  if (probe_count_ % options_.probes_per_cross_domain_probe == 0 ||
      !retry_domain_.empty()) {
    const std::string other = PickTargetInOtherDomain();
    if (!other.empty())
      return other;
  }
  for (int round = 0; round < 2; ++round) {
    while (!probe_order_.empty()) {
      const std::string name = probe_order_.back();
      probe_order_.pop_back();
      const auto member = members_.find(name);
      if (member != members_.end() &&
          member->second.update.state != MemberState::kDead)
        return name;
    }
    for (const auto& [name, member] : members_) {
      if (IsProbedInTurn(member) && member.update.state != MemberState::kDead)
        probe_order_.push_back(name);
    }
    for (size_t i = probe_order_.size(); i > 1; --i)
      std::swap(probe_order_[i - 1], probe_order_[rng->Below(i)]);
  }
  return {};
}

// Picks a host of retry_domain_ if retry_domain_ is set and has a host that is
// neither suspect nor dead, otherwise a host of the next other domain in turn.
// Within the domain it picks, among the hosts that are neither suspect nor
// dead, the one for which the hash of this host's name and its own name is
// highest, so that this host always uses the same few connections.
std::string MemberTable::PickTargetInOtherDomain() {
  std::map<std::string, std::pair<uint64_t, std::string>> best;
  for (const auto& [name, member] : members_) {
    if (IsProbedInTurn(member) || member.update.state == MemberState::kDead ||
        member.update.state == MemberState::kSuspect)
      continue;
    auto& best_in_domain = best[member.update.domain];
    best_in_domain =
        std::max(best_in_domain, {Hash64(self_.id.host + '/' + name), name});
  }
  if (best.empty())
    return {};
  auto next = best.find(retry_domain_);
  retry_domain_.clear();
  if (next == best.end()) {
    next = best.upper_bound(last_probed_domain_);
    if (next == best.end())
      next = best.begin();
    last_probed_domain_ = next->first;
  }
  return next->second.second;
}

std::string MemberTable::PickDeadMember(Rng* rng) const {
  std::vector<std::string> dead;
  for (const auto& [name, member] : members_) {
    if (member.update.state == MemberState::kDead)
      dead.push_back(name);
  }
  return dead.empty() ? std::string() : dead[rng->Below(dead.size())];
}

void MemberTable::StartProbe(TimePoint now, Rng* rng, MemberOutput* out) {
  next_probe_at_ = now + options_.probe_period;
  const std::string target = PickProbeTarget(rng);
  if (target.empty())
    return;
  probe_ = Probe{target, next_sequence_++, now, false};
  Ping ping{self_, probe_->sequence, NextGossip()};
  const MemberUpdate& target_update = members_.at(target).update;
  if (target_update.state != MemberState::kAlive &&
      !IsOnlyFromHostList(target_update))
    ping.gossip.members.push_back(target_update);
  SendTo(target, std::move(ping), out);
}

void MemberTable::CheckProbe(TimePoint now, Rng* rng, MemberOutput* out) {
  if (!probe_)
    return;
  const auto target = members_.find(probe_->target);
  if (target == members_.end()) {
    probe_.reset();
    return;
  }
  Member& member = target->second;
  if (!probe_->indirect && now - probe_->sent_at >= options_.probe_timeout) {
    probe_->indirect = true;
    std::vector<std::string> helpers;
    for (const auto& [name, other] : members_) {
      if (name != probe_->target && other.update.state == MemberState::kAlive &&
          !IsOnlyFromHostList(other.update) && IsProbedInTurn(other))
        helpers.push_back(name);
    }
    for (size_t i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
      const size_t index = rng->Below(helpers.size());
      SendTo(
          helpers[index],
          IndirectPing{self_, probe_->sequence, probe_->target, NextGossip()},
          out);
      helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  if (now - probe_->sent_at < options_.suspect_after)
    return;
  probe_.reset();
  if (member.update.domain != self_.domain &&
      ++failed_probes_[member.update.domain] == 1)
    retry_domain_ = member.update.domain;
  if (member.update.state == MemberState::kAlive)
    SetState(&member, MemberState::kSuspect, now, out);
  else if (member.update.state == MemberState::kLeaving)
    SetState(&member, MemberState::kDead, now, out);
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
