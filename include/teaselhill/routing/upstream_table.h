/// \file
/// Load, health and cache state of every upstream that this host may send to.

#ifndef TEASELHILL_ROUTING_UPSTREAM_TABLE_H_
#define TEASELHILL_ROUTING_UPSTREAM_TABLE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/routing/messages.h"
#include "teaselhill/routing/prefix_index.h"
#include "teaselhill/support/time.h"

namespace teaselhill::routing {

using Tier = int;  ///< 0 is the most urgent
constexpr Tier kUrgentTier = 0;

enum class UpstreamKind { kEngine, kService };

/// Configuration of one upstream.
struct UpstreamSpec {
  std::string name;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string domain;
  std::vector<std::string> models;  ///< of an engine
  std::string service;              ///< of a plain service
  int max_concurrency = 0;          ///< 0: as the upstream reports
  bool draining = false;            ///< set by the operator
};

/// An engine's answer to `GET /v1/load`.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int max_batch = 0;
  double tokens_per_second = 0;
  Duration age{};  ///< time between measurement and receipt
};

/// Identifies one attempt of a request on this host.
using AttemptId = uint64_t;

/// An attempt that the router has sent.
struct SentAttempt {
  AttemptId attempt = 0;
  std::string upstream;
  uint32_t prompt_tokens = 0;
  uint32_t predicted_output_tokens = 0;
  std::vector<uint64_t> prefix_blocks;
  bool resumable = true;  ///< false for a non-idempotent request
  bool suspect = false;   ///< isolated at the request of the crash tracker
};

/// How an attempt ended, as far as it concerns the upstream's health.
enum class EndKind {
  kCompleted,
  kCancelled,  ///< by this host or the caller; no effect on health
  kConnectFailed,
  kRefused,  ///< 503 before running
  kStreamBroken,
  kTimeout,
};

/// Source of a leaving mark; each is one bit of `Upstream::leaving_sources`.
enum class LeavingSource : uint8_t {
  kHostList = 1,
  kOperator = 2,
  kRefusal = 4,  ///< 503; expires after `kRefusalMarkLifetime`
  kPeer = 8,     ///< expires after `kPeerMarkLifetime` unless renewed
};

constexpr Duration kRefusalMarkLifetime = std::chrono::seconds(5);
constexpr Duration kPeerMarkLifetime = std::chrono::seconds(10);

enum class CacheEventKind { kStored, kRemoved, kCleared };

struct CacheEvent {
  CacheEventKind kind = CacheEventKind::kStored;
  uint64_t block = 0;  ///< hash from `PrefixBlocks`; unused by kCleared
};

/// An ejected upstream becomes probing when its ejection time has passed. A
/// probing upstream receives one probe at a time until an attempt succeeds.
enum class Health { kHealthy, kEjected, kProbing };

/// A change of an upstream's load since its last report.
struct LoadChange {
  TimePoint changed_at;
  int32_t delta = 0;
};

struct PeerLoad {
  uint32_t peer = 0;
  uint32_t in_flight = 0;
  uint32_t non_resumable = 0;
  uint32_t suspects = 0;
  TimePoint received_at;
};

/// State of one upstream. Policies read it; only `UpstreamTable` writes it.
struct Upstream {
  UpstreamSpec spec;
  uint32_t index = 0;
  uint8_t leaving_sources = 0;  ///< bits of LeavingSource
  TimePoint refused_at;

  bool ejected = false;         ///< see `UpstreamTable::HealthOf`
  uint32_t failure_weight = 0;  ///< since the last success
  uint32_t ejections = 0;       ///< since the backoff was last reset
  TimePoint ejected_until;
  TimePoint failed_at;
  AttemptId probe_attempt = 0;  ///< attempt that probes the upstream; 0: none

  bool has_report = false;
  LoadReport report;
  TimePoint report_measured_at;
  std::vector<LoadChange> load_changes;  ///< since `report_measured_at`
  std::vector<PeerLoad> peer_loads;

  uint32_t own_in_flight = 0;
  TimePoint own_ended_at;  ///< when an own attempt last ended
  uint32_t own_non_resumable = 0;
  uint32_t own_suspects = 0;
  int64_t own_tokens_remaining = 0;
  uint32_t sent_since_message = 0;
  uint32_t ended_since_message = 0;
  TimePoint changed_at;    ///< time of the first change not yet published
  TimePoint published_at;  ///< time of the last entry in a message
  uint32_t published_in_flight = 0;
  uint32_t published_non_resumable = 0;
  uint32_t published_suspects = 0;

  double seconds_per_token = 0;  ///< measured on own streams; 0: unknown
  double pace_tokens = 0;        ///< decaying count of tokens measured
  TimePoint pace_updated_at;
  bool straggler = false;
  /// Time per token as measured by peers. Used in cost estimates until this
  /// host has its own measurement, but never to detect stragglers, because a
  /// slow peer may be the reason for a high value.
  double peer_seconds_per_token = 0;
};

/// Measured pace of the engines of one model.
struct ModelStats {
  double median_seconds_per_token = 0;  ///< 0: unknown
  double mean_output_tokens = 0;        ///< 0: unknown
};

class UpstreamTable {
 public:
  explicit UpstreamTable(HostIncarnation self);

  /// Replaces the set of configured upstreams. Upstreams that stay configured
  /// keep their state. Attempts in flight on removed upstreams are no longer
  /// tracked; later calls for them are ignored.
  void SetUpstreams(const std::vector<UpstreamSpec>& specs, TimePoint now);

  /// Replaces the known software versions, by name of the upstream.
  void SetVersions(std::unordered_map<std::string, std::string> versions) {
    versions_by_name_ = std::move(versions);
  }
  /// Empty if it is not known.
  const std::string& VersionOf(const std::string& upstream) const;

  void OnLoadReport(const std::string& upstream,
                    const LoadReport& report,
                    TimePoint now);
  void OnAttemptSent(const SentAttempt& attempt, TimePoint now);
  void OnFirstToken(AttemptId attempt, TimePoint now);
  /// `tokens` is the total number of tokens received in this attempt so far.
  void OnProgress(AttemptId attempt, uint32_t tokens, TimePoint now);
  /// Unknown attempts are ignored, so a second call for the same attempt has no
  /// effect.
  void OnAttemptEnded(AttemptId attempt, EndKind kind, TimePoint now);
  /// `gap` means that earlier events were lost. All known blocks of the
  /// upstream are then removed before `events` are applied.
  void OnCacheEvents(const std::string& upstream,
                     const std::vector<CacheEvent>& events,
                     bool gap,
                     TimePoint now);

  /// Returns true if the upstream was not leaving before; the caller then sends
  /// `MakeLeavingMessage` at once.
  bool MarkLeaving(const std::string& upstream,
                   LeavingSource source,
                   TimePoint now);
  /// Removes one mark; other marks stay. After the last mark by the host list
  /// or an operator is removed, the upstream may be a new process, so its known
  /// load, pace, health and cached prefixes are discarded.
  void ClearLeaving(const std::string& upstream,
                    LeavingSource source,
                    TimePoint now);

  void OnPeerSends(const UpstreamSends& message, TimePoint now);
  void OnPeerLeaving(const UpstreamLeaving& message, TimePoint now);
  void OnPeerReports(const EngineReports& message, TimePoint now);
  /// Returns the most important changes since the previous message: at most
  /// `max_entries`, except that changes of crash suspects are always included.
  UpstreamSends MakeSendsMessage(
      TimePoint now,
      size_t max_entries = std::numeric_limits<size_t>::max());
  UpstreamLeaving MakeLeavingMessage(TimePoint now);

  /// Removes expired peers, their loads and their leaving marks, and updates
  /// the median pace of each model and the stragglers. Call this function about
  /// every 250 ms.
  void Tick(TimePoint now);

  const Upstream* Find(const std::string& upstream) const;
  const Upstream& At(uint32_t index) const { return upstreams_[index]; }
  /// Indices of the engines that are configured to serve `model`.
  const std::vector<uint32_t>& ServingModel(const std::string& model) const;
  const std::vector<uint32_t>& ServingService(const std::string& service) const;
  ModelStats StatsOf(const std::string& model) const;
  const PrefixIndex& prefixes() const { return prefixes_; }

  /// Returns the number of requests at the upstream: the last report corrected
  /// by the attempts sent and ended since, or the known attempts in flight when
  /// there is no recent report.
  int CorrectedLoad(const Upstream& upstream, TimePoint now) const;
  /// Returns the maximum number of requests that the upstream runs at a time.
  int MaxBatch(const Upstream& upstream) const;
  /// `NonResumable` and `Suspects` return the number of attempts in flight,
  /// from this host and its peers, that must not be retried and that are crash
  /// suspects, respectively.
  int NonResumable(const Upstream& upstream, TimePoint now) const;
  int Suspects(const Upstream& upstream, TimePoint now) const;
  bool IsLeaving(const Upstream& upstream, TimePoint now) const;
  Health HealthOf(const Upstream& upstream, TimePoint now) const;

  size_t size() const { return by_name_.size(); }
  /// Memory in use, in bytes; docs/decisions/routing.md states the bound.
  size_t MemoryBytes() const;

 private:
  struct Attempt {
    uint32_t upstream = 0;
    TimePoint sent_at;
    TimePoint progress_at;
    uint32_t tokens = 0;
    uint32_t predicted_tokens = 0;
    bool first_token = false;
    bool resumable = true;
    bool suspect = false;
  };
  struct Peer {
    uint32_t number = 0;
    uint64_t incarnation = 0;
    uint64_t sends_sequence = 0;
    uint64_t leaving_sequence = 0;
    TimePoint leaving_received_at;
    TimePoint last_seen_at;
    std::vector<std::string> leaving;
  };

  static int64_t RemainingTokens(const Attempt& attempt);
  bool AcceptsSender(const HostIncarnation& sender) const;
  Upstream* FindMutable(const std::string& name);
  /// Returns null for an unknown hash and for a hash that two names share.
  Upstream* FindMutableByHash(UpstreamHash hash);
  void CountUnpublished(Upstream& upstream, uint32_t* count, TimePoint now);
  Peer& FindOrAddPeer(const HostIncarnation& host, TimePoint now);
  void AddChange(Upstream& upstream, TimePoint at, int delta);
  void RecordPace(Upstream& upstream,
                  double seconds,
                  uint32_t tokens,
                  TimePoint now);
  void OnFailure(Upstream& upstream, TimePoint now);
  void OnSuccess(Upstream& upstream, TimePoint sent_at, TimePoint now);
  void RefreshPeerLeavingMarks(TimePoint now);
  void RefreshStalls(TimePoint now);
  void RefreshStragglers(TimePoint now);
  void ResetReturned(Upstream& upstream);
  void IndexTargets();
  void RemoveUpstreamAt(uint32_t index);

  HostIncarnation self_;
  uint64_t sends_sequence_ = 0;
  uint64_t leaving_sequence_ = 0;
  uint32_t last_peer_number_ = 0;
  std::vector<Upstream> upstreams_;
  std::vector<uint32_t> free_indices_;
  std::unordered_map<std::string, uint32_t> by_name_;
  std::unordered_map<std::string, std::string> versions_by_name_;
  std::unordered_map<UpstreamHash, uint32_t> by_hash_;
  std::unordered_map<std::string, std::vector<uint32_t>> by_model_;
  std::unordered_map<std::string, std::vector<uint32_t>> by_service_;
  std::unordered_map<std::string, ModelStats> model_stats_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<std::string, Peer> peers_;
  PrefixIndex prefixes_;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_UPSTREAM_TABLE_H_
