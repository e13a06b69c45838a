/// \file
/// Announcements and expiry of hosts.

#include "teaselhill/gateway/fleet_size.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::gateway {

void FleetSize::OnRecords(const std::vector<HostRecord>& records,
                          TimePoint now) {
  for (const HostRecord& record : records) {
    if (record.age >= kHostRetention)
      continue;
    TimePoint& announced_at = announced_at_[record.host];
    announced_at = std::max(announced_at, now - record.age);
  }
}

FleetPosition FleetSize::position() const {
  const auto own = announced_at_.lower_bound(own_host_);
  const auto index =
      static_cast<size_t>(std::distance(announced_at_.begin(), own));
  return {index, hosts()};
}

void FleetSize::Expire(TimePoint now) {
  for (auto it = announced_at_.begin(); it != announced_at_.end();)
    it = now - it->second >= kHostRetention ? announced_at_.erase(it)
                                            : std::next(it);
}

}  // namespace teaselhill::gateway
