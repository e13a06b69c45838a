/// \file
/// Ranks the hosts of a failure domain as readers.

#include "teaselhill/gateway/reader_choice.h"

#include <algorithm>
#include <iterator>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

std::string_view ReadRoleName(ReadRole role) {
  switch (role) {
    case ReadRole::kAlone:
      return "alone";
    case ReadRole::kReader:
      return "reader";
    case ReadRole::kFollower:
      return "follower";
  }
  return "unknown";
}

void ReaderChoice::OnHosts(const std::vector<HostRecord>& records) {
  for (const HostRecord& record : records) {
    if (record.peer_address.empty() || record.domain != domain_)
      continue;
    hosts_[record.host] = record.peer_address;
    // It has started just now.
    pauses_.erase(record.peer_address);
  }
}

size_t ReaderChoice::rank() const {
  return static_cast<size_t>(
      std::distance(hosts_.begin(), hosts_.lower_bound(host_)));
}

size_t ReaderChoice::readers() const {
  const size_t share = (hosts_.size() + options_.hosts_per_reader / 2) /
                       options_.hosts_per_reader;
  return std::max(options_.min_readers, share);
}

ReadRole ReaderChoice::role() const {
  if (hosts_.size() < options_.min_hosts)
    return ReadRole::kAlone;
  return rank() < readers() ? ReadRole::kReader : ReadRole::kFollower;
}

std::optional<std::string> ReaderChoice::Choose(TimePoint now) const {
  if (role() != ReadRole::kFollower)
    return std::nullopt;
  std::optional<std::string> chosen;
  uint64_t best = 0;
  size_t candidates = 0;
  const auto own = hosts_.lower_bound(host_);
  for (auto it = hosts_.begin(); it != own && candidates < readers(); ++it) {
    if (IsPaused(it->second, now))
      continue;
    ++candidates;
    const uint64_t weight = Hash64(it->first, Hash64(host_));
    if (chosen && weight <= best)
      continue;
    chosen = it->second;
    best = weight;
  }
  return chosen;
}

bool ReaderChoice::IsPaused(const std::string& address, TimePoint now) const {
  const auto found = pauses_.find(address);
  return found != pauses_.end() && now < found->second.until;
}

void ReaderChoice::OnAnswered(const std::string& address) {
  pauses_.erase(address);
}

void ReaderChoice::OnFailed(const std::string& address, TimePoint now) {
  Pause& pause = pauses_[address];
  pause.length =
      std::clamp(2 * pause.length, options_.min_pause, options_.max_pause);
  pause.until = now + pause.length;
}

}  // namespace teaselhill::gateway
