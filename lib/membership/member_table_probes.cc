/// \file
/// Probes of members, and the gossip that messages carry.

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "member_update.h"
#include "teaselhill/membership/member_table.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::membership {

// How many times a host sends an update per doubling of the member count. With
// three times per doubling, an update reaches all members with a probability
// above 0.99 if no messages are lost.
static constexpr int kSendsPerDoubling = 3;

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

}  // namespace teaselhill::membership
