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
  MembershipView alone;
  alone.members.push_back({self.host, self.domain, MemberState::kAlive});
  alone.listed_total = 1;
  Apply(alone, TimePoint{});
  applied_ = false;
}

double FleetView::FractionOf(size_t live) const {
  const double listed = static_cast<double>(listed_);
  const double reached = static_cast<double>(live) / listed;
  if (live == listed_)
    return 1;
  // However a partition splits the hosts, the fractions of its sides add up to
  // at most 1: a majority leaves exactly the fraction that the hosts it cannot
  // reach may use.
  if (2 * live > listed_)
    return 1 - options_.minority_fraction * (1 - reached);
  return 2 * live == listed_ ? 0.5 : options_.minority_fraction * reached;
}

void FleetView::Apply(const MembershipView& view, TimePoint now) {
  const size_t listed_before = listed_;
  const std::map<std::string, std::string> live_before =
      std::exchange(live_, {});
  owners_.clear();
  rank_ = 0;
  const auto place = std::tie(self_.domain, self_.host);
  for (const Member& member : view.members) {
    if (std::tie(member.domain, member.host) < place)
      ++rank_;
    if (member.state != MemberState::kDead)
      live_[member.host] = member.domain;
  }
  live_[self_.host] = self_.domain;
  listed_ = std::max(view.listed_total, live_.size());

  AssignOwners();

  const double fraction = FractionOf(live_.size());
  const double in_force = Fraction(now);
  // A decrease takes effect at once. An increase waits until the other hosts
  // have the same view and their demand has arrived. It does not wait if its
  // only cause is the removal of dead hosts from the host list, because then no
  // other host starts to use the limits.
  const bool dropped = live_ == live_before && listed_ < listed_before;
  if (!applied_ || fraction <= in_force || dropped) {
    fraction_ = next_fraction_ = fraction;
  } else if (fraction != next_fraction_) {
    fraction_ = in_force;
    next_fraction_ = fraction;
    raised_at_ = now + options_.view_hold;
  }
  applied_ = true;
}

void FleetView::AssignOwners() {
  std::map<std::string, std::vector<std::string>> hosts;
  for (const auto& [host, domain] : live_)
    hosts[domain].push_back(host);
  for (const auto& [domain, names] : hosts) {
    // No host owns more shards than an even distribution requires. Plain
    // rendezvous hashing assigns three shards to some hosts, which then send
    // three times as much.
    const size_t most = (options_.shards + names.size() - 1) / names.size();
    std::map<std::string, size_t> owned;
    for (uint32_t shard = 0; shard < options_.shards; ++shard) {
      const std::string* best = nullptr;
      uint64_t best_score = 0;
      for (const std::string& name : names) {
        const uint64_t score = Hash64(name, shard);
        if (owned[name] >= most || (best != nullptr && score <= best_score))
          continue;
        best = &name;
        best_score = score;
      }
      owners_[domain].push_back(*best);
      ++owned[*best];
    }
  }
}

const std::string& FleetView::Owner(uint32_t shard,
                                    const std::string& domain) const {
  static const std::string none;
  const auto found = owners_.find(domain);
  return found == owners_.end() ? none : found->second[shard];
}

bool FleetView::InDomain(const std::string& host,
                         const std::string& domain) const {
  const auto found = live_.find(host);
  return found != live_.end() && found->second == domain;
}

std::vector<std::string> FleetView::LiveDomains() const {
  std::vector<std::string> domains;
  for (const auto& [domain, owners] : owners_)
    domains.push_back(domain);
  return domains;
}

std::vector<std::string> FleetView::LiveHosts(const std::string& domain) const {
  std::vector<std::string> hosts;
  for (const auto& [host, in] : live_) {
    if (in == domain)
      hosts.push_back(host);
  }
  return hosts;
}

double FleetView::Fraction(TimePoint now) const {
  return now >= raised_at_ ? next_fraction_ : fraction_;
}

}  // namespace teaselhill::quota
