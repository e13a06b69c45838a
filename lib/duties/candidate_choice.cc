/// \file
/// Order of the hosts that may take the lease.

#include "teaselhill/duties/candidate_choice.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "teaselhill/support/hash.h"

namespace teaselhill::duties {

namespace {

/// The candidates' ranks are followed by this many, which the other hosts share
/// by their names: if all candidates are lost, a host waits no longer than
/// these ranks make it.
constexpr size_t kSharedRanks = 16;

}  // namespace

void CandidateChoice::OnHosts(const std::vector<KnownHost>& hosts,
                              TimePoint now) {
  if (announced_at_.empty())
    first_known_at_ = now;
  for (const KnownHost& host : hosts) {
    if (host.age >= options_.host_retention)
      continue;
    TimePoint& announced_at = announced_at_[host.name];
    announced_at = std::max(announced_at, now - host.age);
  }
  for (auto it = announced_at_.begin(); it != announced_at_.end();)
    it = now - it->second >= options_.host_retention ? announced_at_.erase(it)
                                                     : std::next(it);
}

std::optional<size_t> CandidateChoice::rank() const {
  if (announced_at_.empty())
    return std::nullopt;
  const uint64_t own = Hash64(host_);
  const auto before = std::count_if(
      announced_at_.begin(), announced_at_.end(), [&](const auto& entry) {
        return std::tuple(Hash64(entry.first), entry.first) <
               std::tuple(own, host_);
      });
  return static_cast<size_t>(before);
}

ReadPlan CandidateChoice::Plan(std::optional<TimePoint> last_read_at,
                               Duration newest_age,
                               TimePoint now) const {
  ReadPlan plan;
  plan.at = now;
  const std::optional<size_t> place = rank();
  if (place && *place < options_.candidates) {
    plan.rank = place;
    plan.max_wait = options_.max_wait;
    if (!last_read_at)
      plan.at = first_known_at_ + options_.settle_time;
    return plan;
  }
  if (!last_read_at) {
    const uint64_t interval =
        static_cast<uint64_t>(options_.look_interval.count());
    plan.at = first_known_at_ + Duration(Hash64(host_) % interval);
    return plan;
  }
  if (newest_age > options_.max_age) {
    plan.rank = options_.candidates + Hash64(host_) % kSharedRanks;
    plan.max_wait = options_.max_wait;
    return plan;
  }
  plan.at = *last_read_at + options_.look_interval;
  return plan;
}

}  // namespace teaselhill::duties
