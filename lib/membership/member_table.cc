/// \file
/// Membership protocol similar to SWIM.

#include "teaselhill/membership/member_table.h"

#include <algorithm>
#include <tuple>

#include "teaselhill/support/hash.h"

namespace teaselhill::membership {

// How often an update is sent per doubling of the member count. With three, it
// reaches all members with a probability above 0.99 if no messages are lost.
static constexpr int kSpreadFactor = 3;

static std::tuple<uint64_t, uint64_t, MemberState> Version(
    const MemberUpdate& update) {
  return {update.id.incarnation, update.refutation, update.state};
}

static bool IsHint(const MemberUpdate& update) {
  return update.id.incarnation == 0;
}

MemberTable::MemberTable(MemberUpdate self, MemberOptions options)
    : self_(std::move(self)), options_(options) {}

MemberOutput MemberTable::OnTick(TimePoint now, Rng* rng) {
  MemberOutput out;
  if (last_tick_ && now - *last_tick_ > options_.pause_threshold)
    AfterPause(now);
  last_tick_ = now;
  CheckProbe(now, rng, &out);
  Expire(now, &out);
  if (!probe_ && now >= next_probe_)
    StartProbe(now, rng, &out);
  return out;
}

// Acks that arrived while this process was paused have not been read yet, so
// timeouts that ran during the pause do not show that a peer is unresponsive.
void MemberTable::AfterPause(TimePoint now) {
  probe_.reset();
  relays_.clear();
  next_probe_ = now;
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
  Heard(ping.from, now, out);
  MergeGossip(ping.gossip, now, out);
  Reply(ping.from, ping.sequence, out);
}

void MemberTable::Reply(const MemberUpdate& to,
                        uint64_t sequence,
                        MemberOutput* out) {
  Ack ack{self_, sequence, TakeGossip()};
  // A sender that this host considers suspect or dead must receive that update
  // to be able to refute it.
  const auto member = members_.find(to.id.host);
  if (member != members_.end() &&
      member->second.update.state != MemberState::kAlive)
    ack.gossip.members.push_back(member->second.update);
  SendTo(to.id.host, std::move(ack), out);
}

void MemberTable::OnAck(const Ack& ack, TimePoint now, MemberOutput* out) {
  Heard(ack.from, now, out);
  MergeGossip(ack.gossip, now, out);
  if (probe_ && probe_->sequence == ack.sequence)
    probe_.reset();
  const auto relay = relays_.find(ack.sequence);
  if (relay == relays_.end())
    return;
  SendTo(relay->second.requester,
         Ack{ack.from, relay->second.their_sequence, {}}, out);
  relays_.erase(relay);
}

void MemberTable::OnIndirectPing(const IndirectPing& ping,
                                 TimePoint now,
                                 MemberOutput* out) {
  Heard(ping.from, now, out);
  MergeGossip(ping.gossip, now, out);
  if (relays_.size() >= options_.max_relays || members_.count(ping.target) == 0)
    return;
  const uint64_t sequence = next_sequence_++;
  relays_[sequence] = {ping.from.id.host, ping.sequence, now};
  SendTo(ping.target, Ping{self_, sequence, TakeGossip()}, out);
}

void MemberTable::Heard(const MemberUpdate& from,
                        TimePoint now,
                        MemberOutput* out) {
  Merge(from, now, out);
  const auto member = members_.find(from.id.host);
  if (member == members_.end() ||
      member->second.update.id.incarnation != from.id.incarnation)
    return;
  member->second.heard = now;
  failures_.erase(from.domain);
}

void MemberTable::MergeGossip(const Gossip& gossip,
                              TimePoint now,
                              MemberOutput* out) {
  for (const MemberUpdate& update : gossip.members)
    Merge(update, now, out);
  for (const UpstreamReport& report : gossip.upstream_reports)
    Learn(report, now, out);
}

void MemberTable::Merge(const MemberUpdate& update,
                        TimePoint now,
                        MemberOutput* out) {
  if (update.id.host == self_.id.host)
    return MergeSelf(update);
  const auto found = members_.find(update.id.host);
  if (found == members_.end())
    return AddMember(update, now, out);
  Member& member = found->second;
  if (Version(update) <= Version(member.update))
    return;
  const MemberState before = member.update.state;
  const bool restarted = update.id.incarnation != member.update.id.incarnation;
  const bool was_up = before != MemberState::kDead && !restarted;
  if (restarted && !IsHint(member.update) && before != MemberState::kDead)
    out->events.push_back({MemberEventKind::kDown, member.update.id});
  member.update = update;
  member.state_since = now;
  queue_[update.id.host] = 0;
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

void MemberTable::MergeSelf(const MemberUpdate& update) {
  const bool accused = update.state == MemberState::kSuspect ||
                       update.state == MemberState::kDead;
  if (!accused || update.id.incarnation != self_.id.incarnation ||
      update.refutation < self_.refutation)
    return;
  self_.refutation = update.refutation + 1;
  queue_[self_.id.host] = 0;
}

void MemberTable::AddMember(const MemberUpdate& update,
                            TimePoint now,
                            MemberOutput* out) {
  if (update.state == MemberState::kDead || IsHint(update) ||
      members_.size() >= options_.max_members)
    return;
  Member member;
  member.update = update;
  member.state_since = now;
  members_.emplace(update.id.host, std::move(member));
  queue_[update.id.host] = 0;
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
  if (IsHint(member->update))
    return;
  queue_[member->update.id.host] = 0;
  const MemberEventKind kind = state == MemberState::kDead
                                   ? MemberEventKind::kDown
                                   : MemberEventKind::kSuspect;
  out->events.push_back({kind, member->update.id});
}

int MemberTable::SpreadLimit() const {
  int doublings = 1;
  for (size_t n = members_.size() + 1; n > 1; n /= 2)
    ++doublings;
  return kSpreadFactor * doublings;
}

Gossip MemberTable::TakeGossip() {
  Gossip gossip;
  const int limit = SpreadLimit();
  size_t room = options_.max_updates_per_message;
  std::vector<Leaving*> reports;
  for (auto& [name, leaving] : leaving_) {
    if (leaving.sent < limit)
      reports.push_back(&leaving);
  }
  std::sort(
      reports.begin(), reports.end(),
      [](const Leaving* a, const Leaving* b) { return a->sent < b->sent; });
  for (size_t i = 0; i < reports.size() && room > 0; ++i, --room) {
    ++reports[i]->sent;
    gossip.upstream_reports.push_back(reports[i]->report);
  }
  // Dead, suspect and leaving hosts come before live ones.
  std::vector<std::tuple<bool, int, std::string>> updates;
  for (const auto& [name, sent] : queue_) {
    const auto member = members_.find(name);
    const bool alive = member != members_.end() &&
                       member->second.update.state == MemberState::kAlive;
    updates.emplace_back(alive, sent, name);
  }
  std::sort(updates.begin(), updates.end());
  size_t alive_room = options_.max_alive_updates_per_message;
  for (size_t i = 0; i < updates.size() && room > 0; ++i, --room) {
    const auto& [alive, sent, name] = updates[i];
    if (alive && alive_room-- == 0)
      break;
    const auto member = members_.find(name);
    if (member != members_.end())
      gossip.members.push_back(member->second.update);
    else if (name == self_.id.host)
      gossip.members.push_back(self_);
    if (++queue_[name] >= limit)
      queue_.erase(name);
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

bool MemberTable::IsNear(const Member& member) const {
  return members_.size() <= options_.max_fully_probed_members ||
         member.update.domain == self_.domain;
}

std::string MemberTable::PickTarget(Rng* rng) {
  ++probes_;
  if (probes_ % options_.probes_per_dead_probe == 0) {
    const std::string dead = PickDead(rng);
    if (!dead.empty())
      return dead;
  }
  if (probes_ % options_.probes_per_cross_domain_probe == 0 ||
      !retry_domain_.empty()) {
    const std::string other = PickOtherDomain();
    if (!other.empty())
      return other;
  }
  for (int round = 0; round < 2; ++round) {
    while (!order_.empty()) {
      const std::string name = order_.back();
      order_.pop_back();
      const auto member = members_.find(name);
      if (member != members_.end() &&
          member->second.update.state != MemberState::kDead)
        return name;
    }
    for (const auto& [name, member] : members_) {
      if (IsNear(member) && member.update.state != MemberState::kDead)
        order_.push_back(name);
    }
    for (size_t i = order_.size(); i > 1; --i)
      std::swap(order_[i - 1], order_[rng->Below(i)]);
  }
  return {};
}

// Selects the other domains in turn and in each the live host with the highest
// hash, so that a host always uses the same few connections.
std::string MemberTable::PickOtherDomain() {
  std::map<std::string, std::pair<uint64_t, std::string>> best;
  for (const auto& [name, member] : members_) {
    if (IsNear(member) || member.update.state == MemberState::kDead ||
        member.update.state == MemberState::kSuspect)
      continue;
    auto& slot = best[member.update.domain];
    slot = std::max(slot, {Hash64(self_.id.host + '/' + name), name});
  }
  if (best.empty())
    return {};
  auto next = best.find(retry_domain_);
  retry_domain_.clear();
  if (next == best.end()) {
    next = best.upper_bound(last_domain_);
    if (next == best.end())
      next = best.begin();
    last_domain_ = next->first;
  }
  return next->second.second;
}

std::string MemberTable::PickDead(Rng* rng) const {
  std::vector<std::string> dead;
  for (const auto& [name, member] : members_) {
    if (member.update.state == MemberState::kDead)
      dead.push_back(name);
  }
  return dead.empty() ? std::string() : dead[rng->Below(dead.size())];
}

void MemberTable::StartProbe(TimePoint now, Rng* rng, MemberOutput* out) {
  next_probe_ = now + options_.probe_period;
  const std::string target = PickTarget(rng);
  if (target.empty())
    return;
  probe_ = Probe{target, next_sequence_++, now, false};
  Ping ping{self_, probe_->sequence, TakeGossip()};
  const MemberUpdate& known = members_.at(target).update;
  if (known.state != MemberState::kAlive && !IsHint(known))
    ping.gossip.members.push_back(known);
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
  if (!probe_->indirect && now - probe_->sent >= options_.probe_timeout) {
    probe_->indirect = true;
    std::vector<std::string> helpers;
    for (const auto& [name, other] : members_) {
      if (name != probe_->target && other.update.state == MemberState::kAlive &&
          !IsHint(other.update) && IsNear(other))
        helpers.push_back(name);
    }
    for (size_t i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
      const size_t at = rng->Below(helpers.size());
      SendTo(
          helpers[at],
          IndirectPing{self_, probe_->sequence, probe_->target, TakeGossip()},
          out);
      helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(at));
    }
  }
  if (now - probe_->sent < options_.suspect_after)
    return;
  probe_.reset();
  if (member.update.domain != self_.domain &&
      ++failures_[member.update.domain] == 1)
    retry_domain_ = member.update.domain;
  if (member.update.state == MemberState::kAlive)
    SetState(&member, MemberState::kSuspect, now, out);
  else if (member.update.state == MemberState::kLeaving)
    SetState(&member, MemberState::kDead, now, out);
}

void MemberTable::Expire(TimePoint now, MemberOutput* out) {
  for (auto at = members_.begin(); at != members_.end();) {
    Member& member = at->second;
    const Duration age = now - member.state_since;
    if (member.update.state == MemberState::kSuspect &&
        age >= options_.suspect_timeout)
      SetState(&member, MemberState::kDead, now, out);
    const bool forget = member.update.state == MemberState::kDead &&
                        !member.listed && age >= options_.dead_retention;
    if (forget)
      queue_.erase(at->first);
    at = forget ? members_.erase(at) : std::next(at);
  }
  for (auto at = leaving_.begin(); at != leaving_.end();)
    at = now - at->second.since >= options_.report_retention
             ? leaving_.erase(at)
             : std::next(at);
  for (auto at = relays_.begin(); at != relays_.end();)
    at = now - at->second.sent >= options_.suspect_after ? relays_.erase(at)
                                                         : std::next(at);
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
    if (host.leaving && !IsHint(leaving))
      Merge(leaving, now, &out);
  }
  DropUnlisted(now, &out);
  for (const UpstreamListEntry& upstream : upstreams) {
    if (upstream.leaving && leaving_.count(upstream.name) == 0)
      Learn({upstream.name, upstream.domain, 0, true}, now, &out);
  }
  return out;
}

void MemberTable::DropUnlisted(TimePoint now, MemberOutput* out) {
  for (auto at = members_.begin(); at != members_.end();) {
    const Member& member = at->second;
    const TimePoint sign = std::max(member.heard, member.state_since);
    const bool silent =
        !IsNear(member) && now - sign >= options_.unlisted_retention;
    if (member.listed || (!IsHint(member.update) && !silent)) {
      ++at;
      continue;
    }
    if (!IsHint(member.update) && member.update.state != MemberState::kDead)
      out->events.push_back({MemberEventKind::kDown, member.update.id});
    queue_.erase(at->first);
    at = members_.erase(at);
  }
}

bool MemberTable::Learn(const UpstreamReport& report,
                        TimePoint now,
                        MemberOutput* out) {
  const auto found = leaving_.find(report.upstream);
  if (found != leaving_.end() &&
      found->second.report.sequence >= report.sequence)
    return false;
  if (found == leaving_.end() && leaving_.size() >= options_.max_reports)
    return false;
  leaving_[report.upstream] = {report, now, 0};
  (report.leaving ? out->leaving_upstreams : out->returned_upstreams)
      .push_back(report.upstream);
  return true;
}

MemberOutput MemberTable::MarkUpstreamLeaving(const std::string& upstream,
                                              const std::string& domain,
                                              uint64_t sequence,
                                              TimePoint now) {
  return Announce({upstream, domain, sequence, true}, now);
}

MemberOutput MemberTable::MarkUpstreamReturned(const std::string& upstream,
                                               const std::string& domain,
                                               uint64_t sequence,
                                               TimePoint now) {
  return Announce({upstream, domain, sequence, false}, now);
}

MemberOutput MemberTable::Announce(const UpstreamReport& report,
                                   TimePoint now) {
  MemberOutput out;
  if (!Learn(report, now, &out))
    return out;
  size_t left = options_.report_fanout;
  for (const auto& [name, member] : members_) {
    if (left == 0)
      break;
    if (!IsNear(member) || member.update.state == MemberState::kDead)
      continue;
    --left;
    Ping ping{self_, next_sequence_++, {}};
    ping.gossip.upstream_reports.push_back(report);
    SendTo(name, std::move(ping), &out);
  }
  return out;
}

MemberOutput MemberTable::MarkSelfLeaving(TimePoint now) {
  MemberOutput out;
  self_.state = MemberState::kLeaving;
  queue_[self_.id.host] = 0;
  size_t left = options_.report_fanout;
  for (const auto& [name, member] : members_) {
    if (left == 0)
      break;
    if (!IsNear(member) || member.update.state == MemberState::kDead)
      continue;
    --left;
    SendTo(name, Ping{self_, next_sequence_++, {}}, &out);
  }
  return out;
}

std::vector<MemberView> MemberTable::Members(TimePoint now) const {
  std::vector<MemberView> views;
  views.reserve(members_.size());
  for (const auto& [name, member] : members_)
    views.push_back({member.update, now - member.heard, member.listed});
  return views;
}

bool MemberTable::IsUp(const HostIncarnation& id) const {
  if (id.host == self_.id.host)
    return id == self_.id;
  const auto member = members_.find(id.host);
  if (member == members_.end() ||
      member->second.update.state == MemberState::kDead)
    return false;
  return IsHint(member->second.update) || member->second.update.id == id;
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
    const auto failed = failures_.find(name);
    if (failed != failures_.end() && failed->second >= 2)
      status.reachable = 0;
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace teaselhill::membership
