/// \file
/// Bookkeeping of upstream load, pace, health and leaving marks.

#include "teaselhill/routing/upstream_table.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::routing {

namespace {

/// A report older than this says less than the attempts in flight.
/// At the design size, reports that hosts share are up to 12 s old.
constexpr Duration kReportUsable = std::chrono::seconds(15);
constexpr Duration kPeerLoadUsable = std::chrono::seconds(5);
constexpr Duration kPeerForgotten = std::chrono::minutes(1);
/// Counts that could not be told within this time are dropped: a report taken
/// since then may contain them, and a receiver would count them twice.
constexpr Duration kUntoldUsable = std::chrono::seconds(1);
/// Repeats attempts in flight before `kPeerLoadUsable` ends at the receivers.
constexpr Duration kSendsRenewal = std::chrono::seconds(1);
constexpr uint32_t kAmbiguous = std::numeric_limits<uint32_t>::max();
constexpr size_t kMaxChanges = 128;
constexpr size_t kMaxPeerLoads = 64;
constexpr size_t kMaxPeers = 1024;

constexpr int kDefaultBatch = 8;
constexpr int kDefaultServiceConcurrency = 32;

/// The first ejection must outlast `CrashTrackerOptions::merge_window`, within
/// which two crashes of an upstream count as one.
constexpr Duration kFirstEjection = std::chrono::seconds(4);
constexpr Duration kLongestEjection = std::chrono::seconds(60);
/// After this long without a failure the back-off starts afresh.
constexpr Duration kBackoffForgotten = std::chrono::seconds(60);
constexpr uint32_t kEjectingFailures = 3;
constexpr uint32_t kHardFailure = 3;  ///< weight of a lost connection
constexpr uint32_t kSoftFailure = 1;  ///< weight of a time-out

constexpr std::chrono::seconds kPaceHalfLife{5};
constexpr double kMaxPaceSamples = 400;
/// Tokens behind a pace before it is compared with others.
constexpr double kMinPaceSamples = 16;
constexpr size_t kMinPacedEngines = 3;
constexpr double kStragglerEnter = 2.0;  ///< times the median
constexpr double kStragglerLeave = 1.4;
/// Streams report progress every 100 ms, so this is ten missed reports.
constexpr Duration kStall = std::chrono::seconds(1);
constexpr uint32_t kStallTokens = 4;  ///< weight of one stalled stream

constexpr double kOutputLengthWeight = 0.05;
/// An upstream in use appears in about every second message of a peer.
constexpr double kPeerPaceWeight = 0.2;

uint8_t Bit(LeavingSign sign) {
  return static_cast<uint8_t>(sign);
}

/// Signs after which an upstream may come back as another process.
constexpr uint8_t kStopSigns = static_cast<uint8_t>(LeavingSign::kHostList) |
                               static_cast<uint8_t>(LeavingSign::kOperator);

double DecayedSamples(const Upstream& upstream, TimePoint now) {
  return upstream.pace_samples *
         DecayFactor(now - upstream.pace_at, kPaceHalfLife);
}

const std::vector<uint32_t>& FindOrEmpty(
    const std::unordered_map<std::string, std::vector<uint32_t>>& map,
    const std::string& key) {
  static const std::vector<uint32_t> empty;
  const auto found = map.find(key);
  return found == map.end() ? empty : found->second;
}

}  // namespace

UpstreamNumber NumberOf(std::string_view upstream) {
  return static_cast<UpstreamNumber>(Hash64(upstream));
}

int64_t UpstreamTable::Owed(const Attempt& attempt) {
  return static_cast<int64_t>(attempt.predicted) -
         std::min(attempt.tokens, attempt.predicted);
}

UpstreamTable::UpstreamTable(HostIncarnation self) : self_(std::move(self)) {}

void UpstreamTable::Apply(const std::vector<UpstreamSpec>& specs,
                          TimePoint now) {
  std::unordered_map<std::string, uint32_t> old;
  old.swap(by_name_);
  for (const UpstreamSpec& spec : specs) {
    if (by_name_.count(spec.name) != 0)
      continue;
    uint32_t index;
    const auto kept = old.find(spec.name);
    if (kept != old.end()) {
      index = kept->second;
      old.erase(kept);
    } else if (!free_.empty()) {
      index = free_.back();
      free_.pop_back();
    } else {
      index = static_cast<uint32_t>(upstreams_.size());
      upstreams_.emplace_back();
    }
    Upstream& upstream = upstreams_[index];
    upstream.index = index;
    upstream.spec = spec;
    by_name_.emplace(spec.name, index);
    if (spec.draining)
      upstream.leaving |= Bit(LeavingSign::kOperator);
    else
      ClearLeaving(spec.name, LeavingSign::kOperator, now);
  }
  for (const auto& [name, index] : old)
    Release(index);
  IndexTargets();
  RefreshPeerMarks(now);
}

void UpstreamTable::Release(uint32_t index) {
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    it = it->second.upstream == index ? attempts_.erase(it) : std::next(it);
  }
  prefixes_.RemoveUpstream(index);
  upstreams_[index] = Upstream{};
  free_.push_back(index);
}

void UpstreamTable::IndexTargets() {
  by_model_.clear();
  by_service_.clear();
  by_number_.clear();
  for (const auto& [name, index] : by_name_) {
    const auto [numbered, added] = by_number_.emplace(NumberOf(name), index);
    if (!added)
      numbered->second = kAmbiguous;
    const UpstreamSpec& spec = upstreams_[index].spec;
    if (spec.kind == UpstreamKind::kService) {
      by_service_[spec.service].push_back(index);
      continue;
    }
    for (const std::string& model : spec.models)
      by_model_[model].push_back(index);
  }
  // The order of a hash map differs between runs and libraries; policies see
  // the same order everywhere.
  for (auto* targets : {&by_model_, &by_service_}) {
    for (auto& [target, indices] : *targets)
      std::sort(indices.begin(), indices.end());
  }
  for (auto it = pace_.begin(); it != pace_.end();) {
    it = by_model_.count(it->first) ? std::next(it) : pace_.erase(it);
  }
}

Upstream* UpstreamTable::Mutable(const std::string& name) {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &upstreams_[found->second];
}

Upstream* UpstreamTable::MutableByNumber(UpstreamNumber number) {
  const auto found = by_number_.find(number);
  const bool known = found != by_number_.end() && found->second != kAmbiguous;
  return known ? &upstreams_[found->second] : nullptr;
}

void UpstreamTable::CountUntold(Upstream& upstream,
                                uint32_t* count,
                                TimePoint now) {
  if (upstream.sent_since_message == 0 && upstream.ended_since_message == 0)
    upstream.changed_at = now;
  ++*count;
}

const Upstream* UpstreamTable::Find(const std::string& upstream) const {
  const auto found = by_name_.find(upstream);
  return found == by_name_.end() ? nullptr : &upstreams_[found->second];
}

void UpstreamTable::OnReport(const std::string& name,
                             const LoadReport& report,
                             TimePoint now) {
  Upstream* const upstream = Mutable(name);
  if (upstream == nullptr)
    return;
  const TimePoint taken = now - std::max(report.age, Duration{});
  if (upstream->has_report && taken < upstream->report_taken)
    return;
  upstream->has_report = true;
  upstream->report = report;
  upstream->report_taken = taken;
  auto& changes = upstream->changes;
  changes.erase(std::remove_if(changes.begin(), changes.end(),
                               [&](const LoadChange& change) {
                                 return change.at <= taken;
                               }),
                changes.end());
}

void UpstreamTable::AddChange(Upstream& upstream, TimePoint at, int delta) {
  if (delta == 0)
    return;
  auto& changes = upstream.changes;
  if (changes.size() >= kMaxChanges) {
    changes[1].delta += changes[0].delta;
    changes.erase(changes.begin());
  }
  changes.push_back({at, delta});
}

void UpstreamTable::OnSent(const SentAttempt& sent, TimePoint now) {
  Upstream* const upstream = Mutable(sent.upstream);
  if (upstream == nullptr)
    return;
  Attempt attempt;
  attempt.upstream = upstream->index;
  attempt.sent_at = attempt.progress_at = now;
  attempt.predicted = sent.predicted_output_tokens;
  attempt.resumable = sent.resumable;
  attempt.suspect = sent.suspect;
  if (!attempts_.emplace(sent.attempt, attempt).second)
    return;
  ++upstream->own_in_flight;
  upstream->own_non_resumable += sent.resumable ? 0 : 1;
  upstream->own_suspects += sent.suspect ? 1 : 0;
  upstream->own_tokens_owed += Owed(attempt);
  CountUntold(*upstream, &upstream->sent_since_message, now);
  AddChange(*upstream, now, 1);
  if (HealthOf(*upstream, now) == Health::kProbing)
    upstream->probe = sent.attempt;
  for (const uint64_t block : sent.prefix_blocks)
    prefixes_.Add(block, upstream->index, now);
}

void UpstreamTable::OnFirstToken(AttemptId id, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.first_token)
    return;
  Attempt& attempt = found->second;
  Upstream& upstream = upstreams_[attempt.upstream];
  upstream.own_tokens_owed -= Owed(attempt);
  attempt.first_token = true;
  attempt.tokens = std::max<uint32_t>(attempt.tokens, 1);
  attempt.progress_at = now;
  upstream.own_tokens_owed += Owed(attempt);
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
  const uint32_t fresh = tokens - attempt.tokens;
  if (now > attempt.progress_at)
    RecordPace(upstream, ToSeconds(now - attempt.progress_at) / fresh, fresh,
               now);
  upstream.own_tokens_owed -= Owed(attempt);
  attempt.tokens = tokens;
  attempt.progress_at = now;
  upstream.own_tokens_owed += Owed(attempt);
}

void UpstreamTable::OnEnded(AttemptId id, EndKind kind, TimePoint now) {
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
  upstream.own_tokens_owed -= Owed(attempt);
  CountUntold(upstream, &upstream.ended_since_message, now);
  AddChange(upstream, now, -1);
  if (upstream.probe == id)
    upstream.probe = 0;

  switch (kind) {
    case EndKind::kCompleted:
      OnSuccess(upstream, attempt.sent_at, now);
      for (const std::string& model : upstream.spec.models) {
        double& mean = pace_[model].mean_output_tokens;
        mean = mean == 0 ? attempt.tokens
                         : mean + kOutputLengthWeight * (attempt.tokens - mean);
      }
      break;
    case EndKind::kCancelled:
      break;
    case EndKind::kRefused:
      upstream.leaving |= Bit(LeavingSign::kRefusal);
      upstream.refused_at = now;
      break;
    case EndKind::kConnectFailed:
    case EndKind::kStreamBroken:
      upstream.failures += kHardFailure;
      OnFailure(upstream, now);
      break;
    case EndKind::kTimeout:
      if (attempt.first_token)
        break;
      upstream.failures += kSoftFailure;
      OnFailure(upstream, now);
      break;
  }
}

void UpstreamTable::OnFailure(Upstream& upstream, TimePoint now) {
  if (upstream.failures < kEjectingFailures)
    return;
  // The other streams of a crashed upstream break within its ejection and are
  // part of the same failure.
  if (upstream.ejected && now < upstream.ejected_until)
    return;
  if (now - upstream.failed_at > kBackoffForgotten + kLongestEjection)
    upstream.ejections = 0;
  const uint32_t doublings = std::min<uint32_t>(upstream.ejections, 5);
  ++upstream.ejections;
  upstream.ejected = true;
  upstream.failed_at = now;
  upstream.ejected_until =
      now + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

void UpstreamTable::OnSuccess(Upstream& upstream,
                              TimePoint sent_at,
                              TimePoint now) {
  // An answer from before the failure does not show that it is over.
  if (upstream.ejected && sent_at <= upstream.failed_at)
    return;
  upstream.ejected = false;
  upstream.failures = 0;
}

Health UpstreamTable::HealthOf(const Upstream& upstream, TimePoint now) const {
  if (!upstream.ejected)
    return Health::kHealthy;
  return now < upstream.ejected_until ? Health::kEjected : Health::kProbing;
}

void UpstreamTable::OnCacheEvents(const std::string& name,
                                  const std::vector<CacheEvent>& events,
                                  bool gap,
                                  TimePoint now) {
  const Upstream* const upstream = Find(name);
  if (upstream == nullptr)
    return;
  // After a gap any of the known blocks may be gone; the later events tell
  // what is there.
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

bool UpstreamTable::MarkLeaving(const std::string& name,
                                LeavingSign sign,
                                TimePoint now) {
  Upstream* const upstream = Mutable(name);
  if (upstream == nullptr)
    return false;
  const bool was_leaving = IsLeaving(*upstream, now);
  upstream->leaving |= Bit(sign);
  if (sign == LeavingSign::kRefusal)
    upstream->refused_at = now;
  return !was_leaving;
}

void UpstreamTable::ClearLeaving(const std::string& name,
                                 LeavingSign sign,
                                 TimePoint now) {
  Upstream* const upstream = Mutable(name);
  if (upstream == nullptr)
    return;
  const uint8_t before = upstream->leaving;
  upstream->leaving &= ~Bit(sign);
  if ((before & kStopSigns) != 0 && (upstream->leaving & kStopSigns) == 0)
    OnReturned(*upstream);
}

void UpstreamTable::OnReturned(Upstream& upstream) {
  Upstream fresh;
  fresh.spec = std::move(upstream.spec);
  fresh.index = upstream.index;
  fresh.leaving = upstream.leaving;
  fresh.refused_at = upstream.refused_at;
  fresh.peers = std::move(upstream.peers);
  // Own attempts may still be running, and their ends will be counted.
  fresh.own_in_flight = upstream.own_in_flight;
  fresh.own_non_resumable = upstream.own_non_resumable;
  fresh.own_suspects = upstream.own_suspects;
  fresh.own_tokens_owed = upstream.own_tokens_owed;
  fresh.sent_since_message = upstream.sent_since_message;
  fresh.ended_since_message = upstream.ended_since_message;
  fresh.changed_at = upstream.changed_at;
  fresh.told_at = upstream.told_at;
  fresh.told_in_flight = upstream.told_in_flight;
  fresh.told_non_resumable = upstream.told_non_resumable;
  fresh.told_suspects = upstream.told_suspects;
  upstream = std::move(fresh);
  prefixes_.RemoveUpstream(upstream.index);
}

bool UpstreamTable::IsLeaving(const Upstream& upstream, TimePoint now) const {
  const uint8_t firm = upstream.leaving & ~Bit(LeavingSign::kRefusal);
  const bool refusing = (upstream.leaving & Bit(LeavingSign::kRefusal)) != 0 &&
                        now - upstream.refused_at < kRefusalHold;
  return firm != 0 || refusing;
}

bool UpstreamTable::Accepts(const HostIncarnation& sender) const {
  return sender.host != self_.host &&
         (peers_.size() < kMaxPeers || peers_.count(sender.host) != 0);
}

UpstreamTable::Peer& UpstreamTable::PeerOf(const HostIncarnation& host,
                                           TimePoint now) {
  const auto [it, added] = peers_.emplace(host.host, Peer{});
  Peer& peer = it->second;
  if (added)
    peer.number = ++next_peer_;
  if (added || peer.incarnation < host.incarnation) {
    peer.incarnation = host.incarnation;
    peer.sends_sequence = peer.leaving_sequence = 0;
    peer.leaving.clear();
  }
  peer.heard_at = now;
  return peer;
}

void UpstreamTable::OnPeerSends(const UpstreamSends& message, TimePoint now) {
  if (!Accepts(message.sender))
    return;
  Peer& peer = PeerOf(message.sender, now);
  if (message.sender.incarnation < peer.incarnation ||
      message.sequence <= peer.sends_sequence)
    return;
  peer.sends_sequence = message.sequence;
  for (const UpstreamSendsEntry& entry : message.entries) {
    Upstream* const upstream = MutableByNumber(entry.upstream);
    if (upstream == nullptr)
      continue;
    const int64_t delta = int64_t{entry.sent} - int64_t{entry.ended};
    AddChange(*upstream, now,
              static_cast<int>(std::clamp<int64_t>(delta, -4096, 4096)));
    auto& loads = upstream->peers;
    auto load = std::find_if(
        loads.begin(), loads.end(),
        [&](const PeerLoad& known) { return known.peer == peer.number; });
    if (load == loads.end()) {
      if (loads.size() >= kMaxPeerLoads)
        loads.erase(loads.begin());
      loads.push_back({});
      load = std::prev(loads.end());
    }
    *load = PeerLoad{peer.number, entry.in_flight, entry.non_resumable,
                     entry.suspects, now};
    if (entry.between_tokens > Duration{}) {
      double& pace = upstream->peer_seconds_per_token;
      const double told = ToSeconds(entry.between_tokens);
      pace = pace == 0 ? told : pace + kPeerPaceWeight * (told - pace);
    }
  }
}

void UpstreamTable::OnPeerLeaving(const UpstreamLeaving& message,
                                  TimePoint now) {
  if (!Accepts(message.sender))
    return;
  Peer& peer = PeerOf(message.sender, now);
  if (message.sender.incarnation < peer.incarnation ||
      message.sequence <= peer.leaving_sequence)
    return;
  peer.leaving_sequence = message.sequence;
  peer.leaving_at = now;
  peer.leaving = message.upstreams;
  RefreshPeerMarks(now);
}

void UpstreamTable::RefreshPeerMarks(TimePoint now) {
  for (Upstream& upstream : upstreams_)
    upstream.leaving &= ~Bit(LeavingSign::kPeer);
  for (const auto& [host, peer] : peers_) {
    if (now - peer.leaving_at >= kPeerLeavingHold)
      continue;
    for (const std::string& name : peer.leaving) {
      if (Upstream* const upstream = Mutable(name))
        upstream->leaving |= Bit(LeavingSign::kPeer);
    }
  }
}

void UpstreamTable::OnPeerReports(const EngineReports& message, TimePoint now) {
  constexpr uint32_t kMostRequests = 1'000'000;
  if (!Accepts(message.sender))
    return;
  for (const EngineReportEntry& entry : message.entries) {
    const Upstream* const upstream = MutableByNumber(entry.upstream);
    if (upstream == nullptr)
      continue;
    LoadReport report;
    report.max_batch =
        static_cast<int>(std::min(entry.max_batch, kMostRequests));
    const int load = static_cast<int>(std::min(entry.load, kMostRequests));
    report.running = std::min(load, report.max_batch);
    report.waiting = load - report.running;
    report.tokens_per_second = entry.tokens_per_second;
    report.age = entry.age;
    OnReport(upstream->spec.name, report, now);
  }
}

UpstreamSends UpstreamTable::MakeSendsMessage(TimePoint now,
                                              size_t max_entries) {
  struct Candidate {
    bool suspects;
    bool non_resumable;
    uint32_t change;
    TimePoint told_at;
    uint32_t index;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, index] : by_name_) {
    Upstream& upstream = upstreams_[index];
    uint32_t& sent = upstream.sent_since_message;
    uint32_t& ended = upstream.ended_since_message;
    if (now - upstream.changed_at > kUntoldUsable)
      sent = ended = 0;
    const bool renew =
        upstream.own_in_flight > 0 && now - upstream.told_at >= kSendsRenewal;
    const Candidate candidate = {
        upstream.own_suspects != upstream.told_suspects ||
            (renew && upstream.own_suspects > 0),
        upstream.own_non_resumable != upstream.told_non_resumable ||
            (renew && upstream.own_non_resumable > 0),
        sent > ended ? sent - ended : ended - sent, upstream.told_at, index};
    if (candidate.suspects || candidate.non_resumable || sent > 0 ||
        ended > 0 || renew || upstream.own_in_flight != upstream.told_in_flight)
      candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(b.suspects, b.non_resumable, b.change, a.told_at,
                              a.index) < std::tie(a.suspects, a.non_resumable,
                                                  a.change, b.told_at, b.index);
            });
  UpstreamSends message{self_, ++sends_sequence_, {}};
  for (const Candidate& candidate : candidates) {
    if (message.entries.size() >= max_entries && !candidate.suspects)
      break;
    Upstream& upstream = upstreams_[candidate.index];
    const Duration pace = DecayedSamples(upstream, now) >= kMinPaceSamples
                              ? FromSeconds(upstream.seconds_per_token)
                              : Duration{};
    message.entries.push_back(
        {NumberOf(upstream.spec.name), upstream.sent_since_message,
         upstream.ended_since_message, upstream.own_in_flight,
         upstream.own_non_resumable, upstream.own_suspects, pace});
    upstream.sent_since_message = upstream.ended_since_message = 0;
    upstream.told_at = now;
    upstream.told_in_flight = upstream.own_in_flight;
    upstream.told_non_resumable = upstream.own_non_resumable;
    upstream.told_suspects = upstream.own_suspects;
  }
  return message;
}

UpstreamLeaving UpstreamTable::MakeLeavingMessage(TimePoint now) {
  UpstreamLeaving message{self_, ++leaving_sequence_, {}};
  for (const auto& [name, index] : by_name_) {
    Upstream own = Upstream{};
    own.leaving = upstreams_[index].leaving &
                  static_cast<uint8_t>(~Bit(LeavingSign::kPeer));
    own.refused_at = upstreams_[index].refused_at;
    if (IsLeaving(own, now))
      message.upstreams.push_back(name);
  }
  return message;
}

void UpstreamTable::Tick(TimePoint now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard_at > kPeerForgotten ? peers_.erase(it)
                                                    : std::next(it);
  }
  for (Upstream& upstream : upstreams_) {
    auto& loads = upstream.peers;
    loads.erase(std::remove_if(loads.begin(), loads.end(),
                               [&](const PeerLoad& load) {
                                 return now - load.at > kPeerLoadUsable;
                               }),
                loads.end());
  }
  RefreshPeerMarks(now);
  RefreshStalls(now);
  RefreshStragglers(now);
}

void UpstreamTable::RecordPace(Upstream& upstream,
                               double seconds,
                               uint32_t tokens,
                               TimePoint now) {
  const double known = std::min(DecayedSamples(upstream, now), kMaxPaceSamples);
  upstream.seconds_per_token =
      (upstream.seconds_per_token * known + seconds * tokens) /
      (known + tokens);
  upstream.pace_samples = known + tokens;
  upstream.pace_at = now;
}

void UpstreamTable::RefreshStalls(TimePoint now) {
  for (const auto& [id, attempt] : attempts_) {
    const Duration silence = now - attempt.progress_at;
    if (attempt.first_token && silence > kStall)
      RecordPace(upstreams_[attempt.upstream], ToSeconds(silence), kStallTokens,
                 now);
  }
}

void UpstreamTable::RefreshStragglers(TimePoint now) {
  std::vector<double> paces;
  for (const auto& [model, indices] : by_model_) {
    paces.clear();
    for (const uint32_t index : indices) {
      const Upstream& upstream = upstreams_[index];
      if (DecayedSamples(upstream, now) >= kMinPaceSamples)
        paces.push_back(upstream.seconds_per_token);
    }
    if (paces.size() < kMinPacedEngines)
      continue;
    auto middle =
        paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    const double median = *middle;
    pace_[model].median_seconds_per_token = median;
    for (const uint32_t index : indices) {
      Upstream& upstream = upstreams_[index];
      if (DecayedSamples(upstream, now) < kMinPaceSamples)
        continue;
      const double limit =
          (upstream.straggler ? kStragglerLeave : kStragglerEnter) * median;
      upstream.straggler = upstream.seconds_per_token > limit;
    }
  }
}

const std::vector<uint32_t>& UpstreamTable::ServingModel(
    const std::string& model) const {
  return FindOrEmpty(by_model_, model);
}

const std::vector<uint32_t>& UpstreamTable::ServingService(
    const std::string& service) const {
  return FindOrEmpty(by_service_, service);
}

ModelPace UpstreamTable::PaceOf(const std::string& model) const {
  const auto found = pace_.find(model);
  return found == pace_.end() ? ModelPace{} : found->second;
}

int UpstreamTable::CorrectedLoad(const Upstream& upstream,
                                 TimePoint now) const {
  const int own = static_cast<int>(upstream.own_in_flight);
  if (!upstream.has_report || now - upstream.report_taken > kReportUsable) {
    int load = own;
    for (const PeerLoad& peer : upstream.peers) {
      if (now - peer.at <= kPeerLoadUsable)
        load += static_cast<int>(peer.in_flight);
    }
    return load;
  }
  int load = upstream.report.running + upstream.report.waiting;
  for (const LoadChange& change : upstream.changes)
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
  return kDefaultBatch;
}

int UpstreamTable::NonResumable(const Upstream& upstream, TimePoint now) const {
  uint32_t count = upstream.own_non_resumable;
  for (const PeerLoad& peer : upstream.peers)
    count += now - peer.at <= kPeerLoadUsable ? peer.non_resumable : 0;
  return static_cast<int>(count);
}

int UpstreamTable::Suspects(const Upstream& upstream, TimePoint now) const {
  uint32_t count = upstream.own_suspects;
  for (const PeerLoad& peer : upstream.peers)
    count += now - peer.at <= kPeerLoadUsable ? peer.suspects : 0;
  return static_cast<int>(count);
}

size_t UpstreamTable::MemoryBytes() const {
  size_t bytes = prefixes_.MemoryBytes();
  for (const Upstream& upstream : upstreams_) {
    bytes += sizeof(Upstream) + upstream.spec.name.capacity() +
             upstream.spec.domain.capacity() +
             upstream.spec.service.capacity() +
             upstream.changes.capacity() * sizeof(LoadChange) +
             upstream.peers.capacity() * sizeof(PeerLoad);
    for (const std::string& model : upstream.spec.models)
      bytes += sizeof(std::string) + model.capacity() + sizeof(uint32_t);
    // Entries of by_name_ and by_number_: nodes, keys and buckets.
    bytes += 64 + upstream.spec.name.capacity() + 32;
  }
  bytes += attempts_.size() * (sizeof(Attempt) + 32);
  return bytes;
}

}  // namespace teaselhill::routing
