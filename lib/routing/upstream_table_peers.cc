/// \file
/// Upstream state that hosts exchange: attempts in flight, leaving marks and
/// load reports.

#include <algorithm>
#include <tuple>

#include "teaselhill/support/hash.h"
#include "upstream_table_impl.h"

namespace teaselhill::routing {

namespace {

/// Counts that were not published within this time are discarded: a report
/// taken since may contain them, and a receiver would count them twice.
constexpr Duration kUntoldUsable = std::chrono::seconds(1);
/// Attempts in flight are published again after this time, before they expire
/// at the receivers after `kPeerLoadUsable`.
constexpr Duration kSendsRenewal = std::chrono::seconds(1);
constexpr size_t kMaxPeerLoads = 64;
constexpr size_t kMaxPeers = 1024;
/// Weight of a new value in the moving average; an upstream in use appears in
/// about every other message of a peer.
constexpr double kPeerPaceWeight = 0.2;

}  // namespace

void UpstreamTable::CountUntold(Upstream& upstream,
                                uint32_t* count,
                                TimePoint now) {
  if (upstream.sent_since_message == 0 && upstream.ended_since_message == 0)
    upstream.changed_at = now;
  ++*count;
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

}  // namespace teaselhill::routing
