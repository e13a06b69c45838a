/// \file
/// Which software version began a stream.

#include "teaselhill/gateway/stream_versions.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

bool StreamEvidence::has_record() const {
  return std::any_of(peers.begin(), peers.end(), [](const StreamAnswer& peer) {
    return peer.kind == StreamAnswer::Kind::kRecorded;
  });
}

std::optional<StreamOrigin> DecideStreamOrigin(const StreamAnswer& own,
                                               const StreamEvidence& evidence) {
  using Kind = StreamAnswer::Kind;
  const std::vector<StreamAnswer>& peers = evidence.peers;
  if (own.kind == Kind::kRecorded)
    return own.origin;
  const auto recorded = std::find_if(
      peers.begin(), peers.end(),
      [](const StreamAnswer& peer) { return peer.kind == Kind::kRecorded; });
  if (recorded != peers.end())
    return recorded->origin;
  // Hosts that are cut off do not know the versions that came since, and hosts
  // that do not reply may have a record.
  if (!evidence.upstreams_read && !evidence.holders_replied)
    return std::nullopt;
  std::optional<StreamOrigin> known =
      own.kind == Kind::kOnlyVersion && evidence.upstreams_read
          ? std::optional(own.origin)
          : std::nullopt;
  for (const StreamAnswer& peer : peers) {
    if (peer.kind == Kind::kOnlyVersion && !known)
      known = peer.origin;
  }
  const auto agrees = [&known](const StreamAnswer& answer) {
    const bool knows_none =
        answer.kind == Kind::kPastUnknown && answer.origin.service.empty();
    return answer.kind != Kind::kSeveralVersions &&
           (knows_none || answer.origin == *known);
  };
  const bool all_agree =
      known && agrees(own) && std::all_of(peers.begin(), peers.end(), agrees);
  return all_agree ? known : std::nullopt;
}

void StreamVersions::OnUpstreams(const UpstreamList& upstreams, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!first_list_at_)
    first_list_at_ = now;
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

void StreamVersions::OnRecordedVersions(
    const std::vector<StreamOrigin>& versions,
    TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const StreamOrigin& recorded : versions) {
    recorded_versions_.insert(recorded);
    std::map<std::string, VersionUse>& known = versions_[recorded.service];
    const auto [use, is_new] = known.try_emplace(recorded.version);
    use->second.listed_at = std::max(use->second.listed_at, now);
    if (is_new && known.size() > 1)
      services_with_new_version_.push_back(recorded.service);
  }
}

void StreamVersions::OnRecordsListed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  records_listed_ = true;
}

std::vector<VersionRecord> StreamVersions::TakeVersionRecords() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<VersionRecord> records;
  if (!records_listed_)
    return records;
  for (const StreamOrigin& expired : std::exchange(expired_versions_, {})) {
    if (recorded_versions_.erase(expired) != 0)
      records.push_back({expired, /*withdrawn=*/true});
  }
  for (const auto& [service, versions] : versions_) {
    for (const auto& [version, use] : versions) {
      if (recorded_versions_.insert({service, version}).second)
        records.push_back({{service, version}, /*withdrawn=*/false});
    }
  }
  return records;
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
  if (versions.empty())
    return {Kind::kPastUnknown, {}};
  if (versions.size() > 1)
    return {Kind::kSeveralVersions, {}};
  return {KnowsPast(now) ? Kind::kOnlyVersion : Kind::kPastUnknown,
          {query.service, versions.front()}};
}

bool StreamVersions::KnowsPast(TimePoint now) const {
  return records_listed_ ||
         (first_list_at_ && now - *first_list_at_ >= kVersionMemory);
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
      if (use.listed || now - use.listed_at < kVersionMemory) {
        ++version;
        continue;
      }
      expired_versions_.push_back({service, version->first});
      version = versions.erase(version);
    }
  }
}

size_t StreamVersions::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.size();
}

}  // namespace teaselhill::gateway
