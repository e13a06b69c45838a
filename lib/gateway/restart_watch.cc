/// \file
/// Doubts about the processes of upstreams.

#include "teaselhill/gateway/restart_watch.h"

namespace teaselhill::gateway {

/// Reads after which a record was written after a moment. The first may have
/// begun before it; what the second returns may have been written before it;
/// the records of the third were written after the second began.
static constexpr uint64_t kReadsUntilLater = 3;

/// Time for which data may be on its way after its sender has ended.
static constexpr std::chrono::milliseconds kMaxDataDelay{300};

bool RestartWatch::OnUnreachable(const UpstreamProcess& process,
                                 uint64_t reads,
                                 TimePoint now) {
  // Without a start time in its entry, each start of the upstream has a new id.
  if (process.incarnation == 0)
    return false;
  const auto [found, is_new] = doubts_.try_emplace(process);
  found->second = {reads + kReadsUntilLater, now};
  return is_new;
}

void RestartWatch::OnData(const UpstreamProcess& process,
                          TimePoint opened_at,
                          TimePoint now) {
  const auto doubt = doubts_.find(process);
  if (doubt == doubts_.end())
    return;
  const TimePoint since = doubt->second.since;
  if (opened_at < since && now - since >= kMaxDataDelay)
    doubts_.erase(doubt);
}

std::vector<std::string> RestartWatch::InDoubt(const EntryRenewals& renewals,
                                               TimePoint now) {
  std::vector<std::string> ids;
  for (auto doubt = doubts_.begin(); doubt != doubts_.end();) {
    const auto& [process, state] = *doubt;
    const auto renewal = renewals.find(process.id);
    const bool renewed = renewal != renewals.end() &&
                         (renewal->second.incarnation > process.incarnation ||
                          (renewal->second.incarnation == process.incarnation &&
                           renewal->second.read >= state.cleared_by_read));
    if (renewed || now - state.since >= kMaxDoubt) {
      doubt = doubts_.erase(doubt);
      continue;
    }
    ids.push_back(process.id);
    ++doubt;
  }
  return ids;
}

}  // namespace teaselhill::gateway
