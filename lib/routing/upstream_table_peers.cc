/// \file
/// Upstream state that hosts exchange: attempts in flight, leaving marks and
/// load reports.

#include <algorithm>
#include <tuple>

#include "teaselhill/support/hash.h"
#include "upstream_table_impl.h"

namespace teaselhill::routing {

namespace {

/// Counts of sent and ended attempts that were not published within this time
/// are discarded. A load report measured in the meantime may already contain
/// these attempts, and a receiver would count them twice.
constexpr Duration kMaxUnpublishedAge = std::chrono::seconds(1);
/// Interval at which counts of attempts in flight are published again. Must be
/// shorter than `kMaxPeerLoadAge`, after which receivers ignore the counts.
constexpr Duration kSendsRenewalInterval = std::chrono::seconds(1);
constexpr size_t kMaxPeerLoads = 64;
constexpr size_t kMaxPeers = 1024;
/// Weight of a new value in the moving average of the pace that peers report.
/// An upstream in use appears in about every second message of a peer.
constexpr double kPeerPaceWeight = 0.2;

}  // namespace

void UpstreamTable::CountUnpublished(Upstream& upstream,
                                     uint32_t* count,
                                     TimePoint now) {
  if (upstream.sent_since_message == 0 && upstream.ended_since_message == 0)
    upstream.changed_at = now;
  ++*count;
}

bool UpstreamTable::AcceptsSender(const HostIncarnation& sender) const {
  return sender.host != self_.host &&
         (peers_.size() < kMaxPeers || peers_.count(sender.host) != 0);
}

UpstreamTable::Peer& UpstreamTable::FindOrAddPeer(const HostIncarnation& host,
                                                  TimePoint now) {
  const auto [it, added] = peers_.emplace(host.host, Peer{});
  Peer& peer = it->second;
  if (added)
    peer.number = ++last_peer_number_;
  if (added || peer.incarnation < host.incarnation) {
    peer.incarnation = host.incarnation;
    peer.sends_sequence = peer.leaving_sequence = 0;
    peer.leaving.clear();
  }
  peer.last_seen_at = now;
  return peer;
}

void UpstreamTable::OnPeerSends(const UpstreamSends& message, TimePoint now) {
  if (!AcceptsSender(message.sender))
    return;
  Peer& peer = FindOrAddPeer(message.sender, now);
  if (message.sender.incarnation < peer.incarnation ||
      message.sequence <= peer.sends_sequence)
    return;
  peer.sends_sequence = message.sequence;
  for (const UpstreamSendsEntry& entry : message.entries) {
    Upstream* const upstream = FindMutableByHash(entry.upstream);
    if (upstream == nullptr)
      continue;
    const int64_t delta = int64_t{entry.sent} - int64_t{entry.ended};
    AddChange(*upstream, now,
              static_cast<int>(std::clamp<int64_t>(delta, -4096, 4096)));
    auto& loads = upstream->peer_loads;
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
    if (entry.time_per_token > Duration{}) {
      double& pace = upstream->peer_seconds_per_token;
      const double peer_pace = ToSeconds(entry.time_per_token);
      pace =
          pace == 0 ? peer_pace : pace + kPeerPaceWeight * (peer_pace - pace);
    }
  }
}

void UpstreamTable::OnPeerLeaving(const UpstreamLeaving& message,
                                  TimePoint now) {
  if (!AcceptsSender(message.sender))
    return;
  Peer& peer = FindOrAddPeer(message.sender, now);
  if (message.sender.incarnation < peer.incarnation ||
      message.sequence <= peer.leaving_sequence)
    return;
  peer.leaving_sequence = message.sequence;
  peer.leaving_received_at = now;
  peer.leaving = message.upstreams;
  RefreshPeerLeavingMarks(now);
}

void UpstreamTable::RefreshPeerLeavingMarks(TimePoint now) {
  for (Upstream& upstream : upstreams_)
    upstream.leaving_sources &= ~LeavingBit(LeavingSource::kPeer);
  for (const auto& [host, peer] : peers_) {
    if (now - peer.leaving_received_at >= kPeerMarkLifetime)
      continue;
    for (const std::string& name : peer.leaving) {
      if (Upstream* const upstream = FindMutable(name))
        upstream->leaving_sources |= LeavingBit(LeavingSource::kPeer);
    }
  }
}

void UpstreamTable::OnPeerReports(const EngineReports& message, TimePoint now) {
  constexpr uint32_t kMaxRequests = 1'000'000;
  if (!AcceptsSender(message.sender))
    return;
  for (const EngineReportEntry& entry : message.entries) {
    const Upstream* const upstream = FindMutableByHash(entry.upstream);
    if (upstream == nullptr)
      continue;
    LoadReport report;
    report.max_batch =
        static_cast<int>(std::min(entry.max_batch, kMaxRequests));
    const int load = static_cast<int>(std::min(entry.load, kMaxRequests));
    report.running = std::min(load, report.max_batch);
    report.waiting = load - report.running;
    report.tokens_per_second = entry.tokens_per_second;
    report.age = entry.age;
    OnLoadReport(upstream->spec.name, report, now);
  }
}

UpstreamSends UpstreamTable::MakeSendsMessage(TimePoint now,
                                              size_t max_entries) {
  struct Candidate {
    bool suspects;
    bool non_resumable;
    uint32_t change;
    TimePoint published_at;
    uint32_t index;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, index] : by_name_) {
    Upstream& upstream = upstreams_[index];
    uint32_t& sent = upstream.sent_since_message;
    uint32_t& ended = upstream.ended_since_message;
    if (now - upstream.changed_at > kMaxUnpublishedAge)
      sent = ended = 0;
    const bool renewal_due =
        upstream.own_in_flight > 0 &&
        now - upstream.published_at >= kSendsRenewalInterval;
    const Candidate candidate = {
        upstream.own_suspects != upstream.published_suspects ||
            (renewal_due && upstream.own_suspects > 0),
        upstream.own_non_resumable != upstream.published_non_resumable ||
            (renewal_due && upstream.own_non_resumable > 0),
        sent > ended ? sent - ended : ended - sent, upstream.published_at,
        index};
    if (candidate.suspects || candidate.non_resumable || sent > 0 ||
        ended > 0 || renewal_due ||
        upstream.own_in_flight != upstream.published_in_flight)
      candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(b.suspects, b.non_resumable, b.change,
                              a.published_at, a.index) <
                     std::tie(a.suspects, a.non_resumable, a.change,
                              b.published_at, b.index);
            });
  UpstreamSends message{self_, ++sends_sequence_, {}};
  for (const Candidate& candidate : candidates) {
    if (message.entries.size() >= max_entries && !candidate.suspects)
      break;
    Upstream& upstream = upstreams_[candidate.index];
    const Duration pace = DecayedPaceTokens(upstream, now) >= kMinPaceTokens
                              ? FromSeconds(upstream.seconds_per_token)
                              : Duration{};
    message.entries.push_back(
        {HashUpstreamName(upstream.spec.name), upstream.sent_since_message,
         upstream.ended_since_message, upstream.own_in_flight,
         upstream.own_non_resumable, upstream.own_suspects, pace});
    upstream.sent_since_message = upstream.ended_since_message = 0;
    upstream.published_at = now;
    upstream.published_in_flight = upstream.own_in_flight;
    upstream.published_non_resumable = upstream.own_non_resumable;
    upstream.published_suspects = upstream.own_suspects;
  }
  return message;
}

UpstreamLeaving UpstreamTable::MakeLeavingMessage(TimePoint now) {
  UpstreamLeaving message{self_, ++leaving_sequence_, {}};
  for (const auto& [name, index] : by_name_) {
    Upstream without_peer_marks = Upstream{};
    without_peer_marks.leaving_sources =
        upstreams_[index].leaving_sources &
        static_cast<uint8_t>(~LeavingBit(LeavingSource::kPeer));
    without_peer_marks.refused_at = upstreams_[index].refused_at;
    if (IsLeaving(without_peer_marks, now))
      message.upstreams.push_back(name);
  }
  return message;
}

}  // namespace teaselhill::routing
