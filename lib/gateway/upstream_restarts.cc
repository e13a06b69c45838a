/// \file
/// Finds restarts of upstreams in the lists of the directory.

#include "teaselhill/gateway/upstream_restarts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaselhill::gateway {

/// The entry of that upstream; null if there is none. `entries` are in the
/// order of their ids.
static const UpstreamEntry* FindById(const std::vector<UpstreamEntry>& entries,
                                     const std::string& id) {
  const auto found =
      std::lower_bound(entries.begin(), entries.end(), id,
                       [](const UpstreamEntry& entry, const std::string& key) {
                         return entry.id < key;
                       });
  return found != entries.end() && found->id == id ? &*found : nullptr;
}

std::vector<UpstreamRestart> UpstreamRestarts::OnUpstreams(
    std::shared_ptr<const UpstreamList> list) {
  if (!list || list == last_)
    return {};
  std::vector<UpstreamRestart> restarts;
  for (const auto& [service, entries] : list->by_service) {
    if (!last_)
      break;
    const std::vector<UpstreamEntry>& last = last_->OfService(service);
    for (const UpstreamEntry& entry : entries) {
      const UpstreamEntry* before = FindById(last, entry.id);
      if (!before || before->incarnation >= entry.incarnation)
        continue;
      const std::chrono::milliseconds started_at{entry.incarnation};
      restarts.push_back(
          {{entry.id, before->incarnation}, service, WallTime(started_at)});
    }
  }
  last_ = std::move(list);
  return restarts;
}

}  // namespace teaselhill::gateway
