/// \file
/// Shard owners, order of the hosts, and the fraction of each limit that the
/// reachable hosts may use.

#ifndef TEASELHILL_LIB_QUOTA_FLEET_VIEW_H_
#define TEASELHILL_LIB_QUOTA_FLEET_VIEW_H_

#include <map>
#include <string>
#include <vector>

#include "teaselhill/quota/limit_share.h"

namespace teaselhill::quota {

/// Derives from the membership the owners of the shards, the order of the hosts
/// and the usable fraction of the limits. Hosts that are not dead count as
/// live.
class FleetView {
 public:
  FleetView(const HostIdentity& self, const QuotaOptions& options);

  void ApplyMembership(const MembershipView& view, TimePoint now);

  /// Returns the host that owns `shard` in `domain`, or an empty string if the
  /// domain has no live host.
  const std::string& OwnerOf(uint32_t shard, const std::string& domain) const;

  bool IsLive(const std::string& host) const {
    return live_hosts_.count(host) > 0;
  }
  bool IsLiveInDomain(const std::string& host, const std::string& domain) const;
  bool HasLiveHost(const std::string& domain) const {
    return owners_by_domain_.count(domain) > 0;
  }

  /// Returns the domains that have a live host.
  std::vector<std::string> LiveDomains() const;
  std::vector<std::string> LiveHosts(const std::string& domain) const;

  /// Returns the fraction of every limit that the live hosts may use together.
  double UsableFraction(TimePoint now) const;

  size_t listed_count() const { return listed_count_; }
  /// Index of this host among all members, sorted by domain and host.
  size_t own_index() const { return own_index_; }
  size_t live_count() const { return live_hosts_.size(); }

 private:
  double ComputeFraction(size_t live_count) const;
  void AssignOwners();

  HostIdentity self_;
  QuotaOptions options_;
  std::map<std::string, std::string> live_hosts_;  // host to domain
  // Owners by domain; the index is the shard.
  std::map<std::string, std::vector<std::string>> owners_by_domain_;
  size_t listed_count_ = 1;
  size_t own_index_ = 0;
  bool has_membership_ = false;
  double fraction_ = 1;       // in force until `next_fraction_at_`
  double next_fraction_ = 1;  // in force from `next_fraction_at_`
  TimePoint next_fraction_at_{};
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_FLEET_VIEW_H_
