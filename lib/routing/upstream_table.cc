/// \file
/// Configured upstreams, their load and the attempts in flight.

#include "teaselhill/routing/upstream_table.h"

#include <algorithm>
#include <cstddef>

#include "teaselhill/support/hash.h"
#include "upstream_table_impl.h"

namespace teaselhill::routing {

namespace {

/// A load report older than this is not used, because the count of attempts in
/// flight is then more accurate. At the design size, reports received from
/// peers are up to 12 s old.
constexpr Duration kMaxReportAge = std::chrono::seconds(15);
constexpr Duration kPeerExpiry = std::chrono::minutes(1);
constexpr uint32_t kAmbiguousIndex = std::numeric_limits<uint32_t>::max();
constexpr size_t kMaxLoadChanges = 128;

constexpr int kDefaultMaxBatch = 8;
constexpr int kDefaultServiceConcurrency = 32;

constexpr uint32_t kHardFailureWeight = 3;  ///< weight of a lost connection
constexpr uint32_t kSoftFailureWeight = 1;  ///< weight of a timeout

constexpr double kOutputLengthWeight = 0.05;

const std::vector<uint32_t>& FindOrEmpty(
    const std::unordered_map<std::string, std::vector<uint32_t>>& map,
    const std::string& key) {
  static const std::vector<uint32_t> empty;
  const auto found = map.find(key);
  return found == map.end() ? empty : found->second;
}

}  // namespace

UpstreamHash HashUpstreamName(std::string_view upstream) {
  return static_cast<UpstreamHash>(Hash64(upstream));
}

int64_t UpstreamTable::RemainingTokens(const Attempt& attempt) {
  return static_cast<int64_t>(attempt.predicted_tokens) -
         std::min(attempt.tokens, attempt.predicted_tokens);
}

UpstreamTable::UpstreamTable(HostIncarnation self) : self_(std::move(self)) {}

const std::string& UpstreamTable::VersionOf(const std::string& upstream) const {
  static const std::string unknown;
  const auto found = versions_by_name_.find(upstream);
  return found == versions_by_name_.end() ? unknown : found->second;
}

void UpstreamTable::SetUpstreams(const std::vector<UpstreamSpec>& specs,
                                 TimePoint now) {
  std::unordered_map<std::string, uint32_t> previous_indices;
  previous_indices.swap(by_name_);
  for (const UpstreamSpec& spec : specs) {
    if (by_name_.count(spec.name) != 0)
      continue;
    uint32_t index;
    const auto existing = previous_indices.find(spec.name);
    if (existing != previous_indices.end()) {
      index = existing->second;
      previous_indices.erase(existing);
    } else if (!free_indices_.empty()) {
      index = free_indices_.back();
      free_indices_.pop_back();
    } else {
      index = static_cast<uint32_t>(upstreams_.size());
      upstreams_.emplace_back();
    }
    Upstream& upstream = upstreams_[index];
    upstream.index = index;
    upstream.spec = spec;
    by_name_.emplace(spec.name, index);
    if (spec.draining)
      upstream.leaving_sources |= LeavingBit(LeavingSource::kOperator);
    else
      ClearLeaving(spec.name, LeavingSource::kOperator, now);
  }
  for (const auto& [name, index] : previous_indices)
    RemoveUpstreamAt(index);
  IndexTargets();
  RefreshPeerLeavingMarks(now);
}

void UpstreamTable::RemoveUpstreamAt(uint32_t index) {
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    it = it->second.upstream == index ? attempts_.erase(it) : std::next(it);
  }
  prefixes_.RemoveUpstream(index);
  upstreams_[index] = Upstream{};
  free_indices_.push_back(index);
}

void UpstreamTable::IndexTargets() {
  by_model_.clear();
  by_service_.clear();
  by_hash_.clear();
  for (const auto& [name, index] : by_name_) {
    const auto [hash_entry, added] =
        by_hash_.emplace(HashUpstreamName(name), index);
    if (!added)
      hash_entry->second = kAmbiguousIndex;
    const UpstreamSpec& spec = upstreams_[index].spec;
    if (spec.kind == UpstreamKind::kService) {
      by_service_[spec.service].push_back(index);
      continue;
    }
    for (const std::string& model : spec.models)
      by_model_[model].push_back(index);
  }
  // The iteration order of a hash map differs between runs and libraries;
  // sorting gives policies the same order everywhere.
  for (auto* targets : {&by_model_, &by_service_}) {
    for (auto& [target, indices] : *targets)
      std::sort(indices.begin(), indices.end());
  }
  for (auto it = model_stats_.begin(); it != model_stats_.end();) {
    it = by_model_.count(it->first) ? std::next(it) : model_stats_.erase(it);
  }
}

Upstream* UpstreamTable::FindMutable(const std::string& name) {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &upstreams_[found->second];
}

Upstream* UpstreamTable::FindMutableByHash(UpstreamHash hash) {
  const auto found = by_hash_.find(hash);
  const bool known =
      found != by_hash_.end() && found->second != kAmbiguousIndex;
  return known ? &upstreams_[found->second] : nullptr;
}

const Upstream* UpstreamTable::Find(const std::string& upstream) const {
  const auto found = by_name_.find(upstream);
  return found == by_name_.end() ? nullptr : &upstreams_[found->second];
}

void UpstreamTable::OnLoadReport(const std::string& name,
                                 const LoadReport& report,
                                 TimePoint now) {
  Upstream* const upstream = FindMutable(name);
  if (upstream == nullptr)
    return;
  const TimePoint measured_at = now - std::max(report.age, Duration{});
  if (upstream->has_report && measured_at < upstream->report_measured_at)
    return;
  upstream->has_report = true;
  upstream->report = report;
  upstream->report_measured_at = measured_at;
  auto& changes = upstream->load_changes;
  changes.erase(std::remove_if(changes.begin(), changes.end(),
                               [&](const LoadChange& change) {
                                 return change.changed_at <= measured_at;
                               }),
                changes.end());
}

void UpstreamTable::AddChange(Upstream& upstream, TimePoint at, int delta) {
  if (delta == 0)
    return;
  auto& changes = upstream.load_changes;
  if (changes.size() >= kMaxLoadChanges) {
    changes[1].delta += changes[0].delta;
    changes.erase(changes.begin());
  }
  changes.push_back({at, delta});
}

void UpstreamTable::OnAttemptSent(const SentAttempt& sent, TimePoint now) {
  Upstream* const upstream = FindMutable(sent.upstream);
  if (upstream == nullptr)
    return;
  Attempt attempt;
  attempt.upstream = upstream->index;
  attempt.sent_at = attempt.progress_at = now;
  attempt.predicted_tokens = sent.predicted_output_tokens;
  attempt.resumable = sent.resumable;
  attempt.suspect = sent.suspect;
  if (!attempts_.emplace(sent.attempt, attempt).second)
    return;
  ++upstream->own_in_flight;
  upstream->own_non_resumable += sent.resumable ? 0 : 1;
  upstream->own_suspects += sent.suspect ? 1 : 0;
  upstream->own_tokens_remaining += RemainingTokens(attempt);
  CountUnpublished(*upstream, &upstream->sent_since_message, now);
  AddChange(*upstream, now, 1);
  if (HealthOf(*upstream, now) == Health::kProbing)
    upstream->probe_attempt = sent.attempt;
  for (const uint64_t block : sent.prefix_blocks)
    prefixes_.Add(block, upstream->index, now);
}

void UpstreamTable::OnFirstToken(AttemptId id, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.first_token)
    return;
  Attempt& attempt = found->second;
  Upstream& upstream = upstreams_[attempt.upstream];
  upstream.own_tokens_remaining -= RemainingTokens(attempt);
  attempt.first_token = true;
  attempt.tokens = std::max<uint32_t>(attempt.tokens, 1);
  attempt.progress_at = now;
  upstream.own_tokens_remaining += RemainingTokens(attempt);
  OnSuccess(upstream, attempt.sent_at, now);
}

void UpstreamTable::OnProgress(AttemptId id, uint32_t tokens, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  if (!found->second.first_token)
    OnFirstToken(id, now);
  Attempt& attempt = found->second;
  if (tokens <= attempt.tokens)
    return;
  Upstream& upstream = upstreams_[attempt.upstream];
  const uint32_t new_tokens = tokens - attempt.tokens;
  if (now > attempt.progress_at)
    RecordPace(upstream, ToSeconds(now - attempt.progress_at) / new_tokens,
               new_tokens, now);
  upstream.own_tokens_remaining -= RemainingTokens(attempt);
  attempt.tokens = tokens;
  attempt.progress_at = now;
  upstream.own_tokens_remaining += RemainingTokens(attempt);
}

void UpstreamTable::OnAttemptEnded(AttemptId id, EndKind kind, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  Upstream& upstream = upstreams_[attempt.upstream];
  --upstream.own_in_flight;
  upstream.own_ended_at = now;
  upstream.own_non_resumable -= attempt.resumable ? 0 : 1;
  upstream.own_suspects -= attempt.suspect ? 1 : 0;
  upstream.own_tokens_remaining -= RemainingTokens(attempt);
  CountUnpublished(upstream, &upstream.ended_since_message, now);
  AddChange(upstream, now, -1);
  if (upstream.probe_attempt == id)
    upstream.probe_attempt = 0;

  switch (kind) {
    case EndKind::kCompleted:
      OnSuccess(upstream, attempt.sent_at, now);
      for (const std::string& model : upstream.spec.models) {
        double& mean = model_stats_[model].mean_output_tokens;
        mean = mean == 0 ? attempt.tokens
                         : mean + kOutputLengthWeight * (attempt.tokens - mean);
      }
      break;
    case EndKind::kCancelled:
      break;
    case EndKind::kRefused:
      upstream.leaving_sources |= LeavingBit(LeavingSource::kRefusal);
      upstream.refused_at = now;
      break;
    case EndKind::kConnectFailed:
    case EndKind::kStreamBroken:
      upstream.failure_weight += kHardFailureWeight;
      OnFailure(upstream, now);
      break;
    case EndKind::kTimeout:
      if (attempt.first_token)
        break;
      upstream.failure_weight += kSoftFailureWeight;
      OnFailure(upstream, now);
      break;
  }
}

void UpstreamTable::OnCacheEvents(const std::string& name,
                                  const std::vector<CacheEvent>& events,
                                  bool gap,
                                  TimePoint now) {
  const Upstream* const upstream = Find(name);
  if (upstream == nullptr)
    return;
  // The lost events may have evicted any known block. The events that follow
  // add the blocks that the upstream stores from now on.
  if (gap)
    prefixes_.RemoveUpstream(upstream->index);
  for (const CacheEvent& event : events) {
    switch (event.kind) {
      case CacheEventKind::kStored:
        prefixes_.Add(event.block, upstream->index, now);
        break;
      case CacheEventKind::kRemoved:
        prefixes_.Remove(event.block, upstream->index);
        break;
      case CacheEventKind::kCleared:
        prefixes_.RemoveUpstream(upstream->index);
        break;
    }
  }
}

void UpstreamTable::Tick(TimePoint now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.last_seen_at > kPeerExpiry ? peers_.erase(it)
                                                     : std::next(it);
  }
  for (Upstream& upstream : upstreams_) {
    auto& loads = upstream.peer_loads;
    loads.erase(std::remove_if(loads.begin(), loads.end(),
                               [&](const PeerLoad& load) {
                                 return now - load.received_at >
                                        kMaxPeerLoadAge;
                               }),
                loads.end());
  }
  RefreshPeerLeavingMarks(now);
  RefreshStalls(now);
  RefreshStragglers(now);
}

const std::vector<uint32_t>& UpstreamTable::ServingModel(
    const std::string& model) const {
  return FindOrEmpty(by_model_, model);
}

const std::vector<uint32_t>& UpstreamTable::ServingService(
    const std::string& service) const {
  return FindOrEmpty(by_service_, service);
}

int UpstreamTable::CorrectedLoad(const Upstream& upstream,
                                 TimePoint now) const {
  const int own = static_cast<int>(upstream.own_in_flight);
  if (!upstream.has_report ||
      now - upstream.report_measured_at > kMaxReportAge) {
    int load = own;
    for (const PeerLoad& peer : upstream.peer_loads) {
      if (now - peer.received_at <= kMaxPeerLoadAge)
        load += static_cast<int>(peer.in_flight);
    }
    return load;
  }
  int load = upstream.report.running + upstream.report.waiting;
  for (const LoadChange& change : upstream.load_changes)
    load += change.delta;
  return std::max(load, own);
}

int UpstreamTable::MaxBatch(const Upstream& upstream) const {
  const int configured = upstream.spec.max_concurrency;
  if (upstream.spec.kind == UpstreamKind::kService)
    return configured > 0 ? configured : kDefaultServiceConcurrency;
  const int reported = upstream.has_report ? upstream.report.max_batch : 0;
  if (configured > 0 && reported > 0)
    return std::min(configured, reported);
  if (configured > 0 || reported > 0)
    return std::max(configured, reported);
  return kDefaultMaxBatch;
}

int UpstreamTable::NonResumable(const Upstream& upstream, TimePoint now) const {
  uint32_t count = upstream.own_non_resumable;
  for (const PeerLoad& peer : upstream.peer_loads)
    count += now - peer.received_at <= kMaxPeerLoadAge ? peer.non_resumable : 0;
  return static_cast<int>(count);
}

int UpstreamTable::Suspects(const Upstream& upstream, TimePoint now) const {
  uint32_t count = upstream.own_suspects;
  for (const PeerLoad& peer : upstream.peer_loads)
    count += now - peer.received_at <= kMaxPeerLoadAge ? peer.suspects : 0;
  return static_cast<int>(count);
}

size_t UpstreamTable::MemoryBytes() const {
  size_t bytes = prefixes_.MemoryBytes();
  for (const Upstream& upstream : upstreams_) {
    bytes += sizeof(Upstream) + upstream.spec.name.capacity() +
             upstream.spec.domain.capacity() +
             upstream.spec.service.capacity() +
             upstream.load_changes.capacity() * sizeof(LoadChange) +
             upstream.peer_loads.capacity() * sizeof(PeerLoad);
    for (const std::string& model : upstream.spec.models)
      bytes += sizeof(std::string) + model.capacity() + sizeof(uint32_t);
    // Entries of by_name_ and by_hash_: nodes, keys and buckets.
    bytes += 64 + upstream.spec.name.capacity() + 32;
  }
  bytes += attempts_.size() * (sizeof(Attempt) + 32);
  return bytes;
}

}  // namespace teaselhill::routing
