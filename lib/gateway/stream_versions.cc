/// \file
/// Which software version began a stream.

#include "teaselhill/gateway/stream_versions.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

std::optional<StreamOrigin> DecideStreamOrigin(
    const StreamAnswer& own,
    const std::vector<StreamAnswer>& peers,
    bool directory_current) {
  using Kind = StreamAnswer::Kind;
  if (own.kind == Kind::kRecorded)
    return own.origin;
  const auto recorded = std::find_if(
      peers.begin(), peers.end(),
      [](const StreamAnswer& peer) { return peer.kind == Kind::kRecorded; });
  if (recorded != peers.end())
    return recorded->origin;
  if (own.kind == Kind::kSeveralVersions)
    return std::nullopt;
  // A host whose list is old does not know the versions that came since.
  if (peers.empty() && !directory_current)
    return std::nullopt;
  for (const StreamAnswer& peer : peers) {
    if (peer.kind == Kind::kSeveralVersions || !(peer.origin == own.origin))
      return std::nullopt;
  }
  return own.origin;
}

void StreamVersions::OnUpstreams(const UpstreamList& upstreams, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [service, versions] : versions_) {
    for (auto& [version, use] : versions) {
      if (std::exchange(use.listed, false))
        use.listed_at = now;
    }
  }
  for (const auto& [service, versions] : upstreams.versions_by_service) {
    std::map<std::string, VersionUse>& known = versions_[service];
    bool gained = false;
    for (const std::string& version : versions) {
      VersionUse& use = known[version];
      gained |= use.listed_at != now;
      use = {/*listed=*/true, now};
    }
    if (gained && versions.size() > 1)
      services_with_new_version_.push_back(service);
  }
}

void StreamVersions::Remember(const StreamRecord& record,
                              bool own,
                              TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [found, is_new] = entries_.emplace(record.attempt_id, Entry{});
  Entry& entry = found->second;
  entry.origin = record.origin;
  entry.own |= own;
  entry.expires_at = std::max(entry.expires_at, now + record.keep_for);
  if (!is_new)
    return;
  attempts_by_age_.push_back(record.attempt_id);
  if (attempts_by_age_.size() > kMaxRecords) {
    entries_.erase(attempts_by_age_.front());
    attempts_by_age_.pop_front();
  }
}

std::optional<StreamOrigin> StreamVersions::Find(const std::string& attempt_id,
                                                 TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(attempt_id);
  if (found == entries_.end() || found->second.expires_at <= now)
    return std::nullopt;
  return found->second.origin;
}

StreamAnswer StreamVersions::Answer(const StreamQuery& query,
                                    TimePoint now) const {
  using Kind = StreamAnswer::Kind;
  if (const auto origin = Find(query.attempt_id, now))
    return {Kind::kRecorded, *origin};
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<std::string> versions = VersionsOf(query.service, now);
  if (versions.size() != 1)
    return {};
  return {Kind::kOnlyVersion, {query.service, versions.front()}};
}

std::vector<std::string> StreamVersions::VersionsOf(const std::string& service,
                                                    TimePoint now) const {
  std::vector<std::string> versions;
  const auto found = versions_.find(service);
  if (found == versions_.end())
    return versions;
  for (const auto& [version, use] : found->second) {
    if (use.listed || now - use.listed_at < kVersionMemory)
      versions.push_back(version);
  }
  return versions;
}

bool StreamVersions::HasSeveral(const std::string& service,
                                TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return VersionsOf(service, now).size() > 1;
}

std::vector<std::string> StreamVersions::TakeServicesWithNewVersion() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(services_with_new_version_, {});
}

std::vector<StreamRecord> StreamVersions::OwnRecords(const std::string& service,
                                                     TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<StreamRecord> records;
  for (const auto& [attempt_id, entry] : entries_) {
    if (entry.own && entry.origin.service == service && entry.expires_at > now)
      records.push_back({attempt_id, entry.origin, entry.expires_at - now});
  }
  return records;
}

void StreamVersions::Expire(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto entry = entries_.begin(); entry != entries_.end();)
    entry = entry->second.expires_at <= now ? entries_.erase(entry)
                                            : std::next(entry);
  while (!attempts_by_age_.empty() &&
         entries_.count(attempts_by_age_.front()) == 0)
    attempts_by_age_.pop_front();
  for (auto& [service, versions] : versions_) {
    for (auto version = versions.begin(); version != versions.end();) {
      const VersionUse& use = version->second;
      version = !use.listed && now - use.listed_at >= kVersionMemory
                    ? versions.erase(version)
                    : std::next(version);
    }
  }
}

size_t StreamVersions::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.size();
}

}  // namespace teaselhill::gateway
