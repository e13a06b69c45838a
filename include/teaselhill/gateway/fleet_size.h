/// \file
/// Counts the hosts of the fleet.

#ifndef TEASELHILL_GATEWAY_FLEET_SIZE_H_
#define TEASELHILL_GATEWAY_FLEET_SIZE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Announcement of a host that runs.
struct HostRecord {
  std::string host;
  Duration age{};            ///< since the announcement
  std::string peer_address;  ///< IP address and port of PeerExchange; or empty
  /// IP address and port at which it serves requests of other hosts; or empty.
  std::string relay_address;
  std::string
      domain{};  ///< failure domain; empty for a host of an older version
};

/// Place of a host among the hosts of the fleet, in the order of their names.
struct FleetPosition {
  size_t index = 0;
  size_t hosts = 400;  ///< FleetSize::kMaxHosts, until a host is known

  friend bool operator==(const FleetPosition& a, const FleetPosition& b) {
    return a.index == b.index && a.hosts == b.hosts;
  }
};

/// The number of hosts that share a limit of the fleet. A host counts until its
/// last announcement is old, so that the number is rather too large than too
/// small: the limit must hold while hosts are restarted. Deterministic: time is
/// an argument.
class FleetSize {
 public:
  /// `own_host`: name of this host.
  explicit FleetSize(std::string own_host = "")
      : own_host_(std::move(own_host)) {}

  /// A host repeats its announcement after this time.
  static constexpr std::chrono::hours kAnnouncementPeriod{1};
  static constexpr std::chrono::hours kHostRetention{3};

  /// Assumed while no host is known, as before the first read of the records.
  /// The largest fleet that the system is designed for.
  static constexpr size_t kMaxHosts = 400;

  void OnRecords(const std::vector<HostRecord>& records, TimePoint now);

  /// Removes hosts whose last announcement is old.
  void Expire(TimePoint now);

  size_t hosts() const {
    return announced_at_.empty() ? kMaxHosts : announced_at_.size();
  }

  FleetPosition position() const;

 private:
  std::string own_host_;
  std::map<std::string, TimePoint> announced_at_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_FLEET_SIZE_H_
