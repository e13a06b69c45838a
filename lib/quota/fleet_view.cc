/// \file
/// Shard owners by rendezvous hashing, and the usable fraction of the limits.

#include "fleet_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::quota {

FleetView::FleetView(const HostIdentity& self, const QuotaOptions& options)
    : self_(self), options_(options) {
  MembershipView own_view;
  own_view.members.push_back({self.host, self.domain, MemberState::kAlive});
  own_view.listed_host_count = 1;
  ApplyMembership(own_view, TimePoint{});
  has_membership_ = false;
}

double FleetView::ComputeFraction(size_t live_count) const {
  const double listed_count = static_cast<double>(listed_count_);
  const double reached_fraction =
      static_cast<double>(live_count) / listed_count;
  if (live_count == listed_count_)
    return 1;
  // However a partition splits the hosts, the fractions of its sides add up to
  // at most 1: the fraction that a majority does not use is exactly the
  // fraction that the hosts outside the majority may use.
  if (2 * live_count > listed_count_)
    return 1 - options_.minority_fraction * (1 - reached_fraction);
  return 2 * live_count == listed_count_
             ? 0.5
             : options_.minority_fraction * reached_fraction;
}

void FleetView::ApplyMembership(const MembershipView& view, TimePoint now) {
  const size_t listed_before = listed_count_;
  const std::map<std::string, std::string> live_before =
      std::exchange(live_hosts_, {});
  owners_by_domain_.clear();
  own_index_ = 0;
  const auto own_position = std::tie(self_.domain, self_.host);
  for (const Member& member : view.members) {
    if (std::tie(member.domain, member.host) < own_position)
      ++own_index_;
    if (member.state != MemberState::kDead)
      live_hosts_[member.host] = member.domain;
  }
  live_hosts_[self_.host] = self_.domain;
  listed_count_ = std::max(view.listed_host_count, live_hosts_.size());

  AssignOwners();

  const double fraction = ComputeFraction(live_hosts_.size());
  const double current_fraction = UsableFraction(now);
  // A decrease takes effect at once. An increase takes effect after
  // `fraction_increase_delay`, in which the other hosts receive the same view
  // and their demand arrives. If the only cause of the increase is the removal
  // of dead hosts from the host list, there is no delay, because then no other
  // host starts to use the limits.
  const bool only_removals =
      live_hosts_ == live_before && listed_count_ < listed_before;
  if (!has_membership_ || fraction <= current_fraction || only_removals) {
    fraction_ = next_fraction_ = fraction;
  } else if (fraction != next_fraction_) {
    fraction_ = current_fraction;
    next_fraction_ = fraction;
    next_fraction_at_ = now + options_.fraction_increase_delay;
  }
  has_membership_ = true;
}

void FleetView::AssignOwners() {
  std::map<std::string, std::vector<std::string>> hosts_by_domain;
  for (const auto& [host, domain] : live_hosts_)
    hosts_by_domain[domain].push_back(host);
  for (const auto& [domain, hosts_of_domain] : hosts_by_domain) {
    // No host owns more shards than an even distribution requires. Plain
    // rendezvous hashing would assign three shards to some hosts, which would
    // then send three times as much data as the owner of one shard.
    const size_t max_owned_shards =
        (options_.shard_count + hosts_of_domain.size() - 1) /
        hosts_of_domain.size();
    std::map<std::string, size_t> owned_shards;
    for (uint32_t shard = 0; shard < options_.shard_count; ++shard) {
      const std::string* best_host = nullptr;
      uint64_t best_score = 0;
      for (const std::string& host : hosts_of_domain) {
        const uint64_t score = Hash64(host, shard);
        if (owned_shards[host] >= max_owned_shards ||
            (best_host != nullptr && score <= best_score))
          continue;
        best_host = &host;
        best_score = score;
      }
      owners_by_domain_[domain].push_back(*best_host);
      ++owned_shards[*best_host];
    }
  }
}

const std::string& FleetView::OwnerOf(uint32_t shard,
                                      const std::string& domain) const {
  static const std::string no_owner;
  const auto found = owners_by_domain_.find(domain);
  return found == owners_by_domain_.end() ? no_owner : found->second[shard];
}

bool FleetView::IsLiveInDomain(const std::string& host,
                               const std::string& domain) const {
  const auto found = live_hosts_.find(host);
  return found != live_hosts_.end() && found->second == domain;
}

std::vector<std::string> FleetView::LiveDomains() const {
  std::vector<std::string> domains;
  for (const auto& [domain, owners] : owners_by_domain_)
    domains.push_back(domain);
  return domains;
}

std::vector<std::string> FleetView::LiveHosts(const std::string& domain) const {
  std::vector<std::string> hosts;
  for (const auto& [host, host_domain] : live_hosts_) {
    if (host_domain == domain)
      hosts.push_back(host);
  }
  return hosts;
}

double FleetView::UsableFraction(TimePoint now) const {
  return now >= next_fraction_at_ ? next_fraction_ : fraction_;
}

}  // namespace teaselhill::quota
