/// \file
/// Counts the crashes of upstreams under each request, and decides which
/// requests are refused because they crash the upstreams that run them.

#ifndef TEASELHILL_GATEWAY_CRASH_HISTORY_H_
#define TEASELHILL_GATEWAY_CRASH_HISTORY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "teaselhill/gateway/loss_reviewer.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct CrashHistoryOptions {
  /// Crashes after which a request is refused. A second crash can still be a
  /// coincidence while upstreams crash for reasons of their own.
  int crashes_to_quarantine = 3;
  /// The same for a request that cannot be told apart from others that were in
  /// flight at the same crashes.
  int crashes_to_quarantine_ambiguous = 5;
  /// Time for which a request is refused after its last crash. Doubles with
  /// each crash after the first refusal, up to `max_quarantine_doublings`.
  Duration quarantine_duration = std::chrono::minutes(10);
  int max_quarantine_doublings = 2;
  /// Time after the last crash at which the crashes of a request are forgotten.
  Duration retention = std::chrono::hours(1);
  /// The same for a request with too few crashes to be refused.
  Duration suspect_retention = std::chrono::minutes(10);
  /// A crash is early if the answer had not started, or had started at most
  /// this long before. A request that crashes its upstream does so soon after
  /// it begins to run, while most requests beside it have run for longer.
  Duration early_crash = std::chrono::milliseconds(500);
  /// Error of the times of crashes, which hosts compare by their wall clocks.
  Duration time_tolerance = std::chrono::milliseconds(25);
  /// Requests that one process of an upstream lost within this time were lost
  /// in the same crash. A process takes longer to start and crash again.
  Duration same_crash = std::chrono::milliseconds(500);
  /// Requests of one crash whose run times differ by at most this are equally
  /// new.
  Duration same_run_time = std::chrono::milliseconds(10);
  /// Time after a crash in which records of the same crash arrive from other
  /// hosts. They may name another request as the cause.
  Duration report_delay = std::chrono::milliseconds(1200);
  size_t max_fingerprints = 4096;
  /// Answered requests that are remembered for `completion_retention`.
  size_t max_completions = 4096;
  Duration completion_retention = std::chrono::minutes(2);
};

/// A crash as hosts tell it each other. `fingerprint` and `id` identify the
/// record.
struct CrashRecord {
  Hash128 fingerprint;
  uint64_t id = 0;
  /// The crash does not count any more; the fields below are not set.
  bool withdrawn = false;
  UpstreamProcess upstream;
  Duration age{};       ///< since the crash
  Duration run_time{};  ///< from the send of the request to the crash
};

struct CrashAssessment {
  /// Verified crashes under the request, without a complete answer since and
  /// without those that another request caused. Copies of the request that ran
  /// at the same time count once, because an outage of several upstreams can
  /// end all of them.
  int crashes = 0;
  /// The same with crashes that are not verified yet.
  int suspected_crashes = 0;
  /// Whether the request should run apart from other suspects, so that a second
  /// crash tells them apart: it has several crashes, or an early one.
  bool isolate = false;
  /// Whether a host may send the request again without its caller. False as
  /// soon as it may have crashed as many upstreams as a refusal takes.
  bool may_retry = true;
  /// Time for which the request is refused; zero: it is not refused.
  Duration refused_for{};
  /// Part of `refused_for` after which records of other hosts may have cleared
  /// the request.
  Duration provisional_for{};
};

struct CrashCounts {
  size_t suspects = 0;     ///< requests with crashes that are not refused
  size_t quarantined = 0;  ///< requests that are refused
};

/// Crashes of upstreams by the fingerprint of the request that they ran. A lost
/// connection counts once LossReviewer takes it for a crash, and until the
/// request is answered completely on any host. Hosts exchange records, so that
/// each of them counts the crashes of the whole fleet.
///
/// A crash ends all requests of the upstream. Its cause is most likely among
/// the newest of them, since a request that crashes its upstream does so when
/// it begins to run. A request is refused as the cause if it has enough
/// crashes, was among the newest in most of them, and has more of them than the
/// other requests of which that is true. Its crashes do not count against the
/// requests beside it. A request that was answered completely a short time ago
/// is not suspected: many callers may send it, so that a copy of it is in
/// flight at each crash.
///
/// Deterministic: time is an argument.
class CrashHistory {
 public:
  /// `record_id_seed`: differs between all hosts and restarts.
  explicit CrashHistory(uint64_t record_id_seed,
                        CrashHistoryOptions options = {})
      : record_id_seed_(record_id_seed), options_(options) {}

  /// Whether no request has a crash; no fingerprint needs to be computed then.
  bool empty() const { return entries_.empty(); }

  CrashAssessment Assess(const Hash128& fingerprint, TimePoint now) const;

  /// An attempt that was sent at `sent_at` lost its connection. Suspected until
  /// OnVerdict(). `answering_for`: time since the upstream
  /// began to answer; zero if it had not.
  void OnConnectionLost(const Hash128& fingerprint,
                        const UpstreamProcess& upstream,
                        Duration answering_for,
                        TimePoint sent_at,
                        TimePoint now);

  /// Applies a verdict to the losses of this host. Returns, like the functions
  /// below, the fingerprints that are refused from now on.
  std::vector<Hash128> OnVerdict(const LossVerdict& verdict, TimePoint now);

  /// The request was answered completely, so it crashes no upstream. Call for
  /// each answer, also while there are no crashes.
  std::vector<Hash128> OnAnswerCompleted(const Hash128& fingerprint,
                                         TimePoint now);

  /// The caller got no complete answer and may repeat the request at any host,
  /// so its early crashes are shared. Otherwise, only the crashes of a request
  /// with several are shared: records of all requests that a crash ended would
  /// be load on all hosts.
  void OnRequestFailed(const Hash128& fingerprint);

  /// Applies records of other hosts, or those of this host before a restart.
  std::vector<Hash128> OnRecords(const std::vector<CrashRecord>& records,
                                 TimePoint now);

  /// Returns the records to share since the last call.
  std::vector<CrashRecord> TakeRecords(TimePoint now);

  /// Removes expired crashes. Call about once a second.
  void Expire(TimePoint now);

  CrashCounts Count(TimePoint now) const;
  /// Number of requests with a crash of this upstream.
  size_t CountAt(const UpstreamProcess& upstream) const;

 private:
  struct Crash {
    uint64_t record_id = 0;
    UpstreamProcess upstream;
    TimePoint sent_at;
    TimePoint crashed_at;
    bool early = false;
    /// Lost by an attempt of this host, whose verdicts apply to it.
    bool own = false;
    bool verified = false;
    /// The upstream has outlived the loss, as far as is known.
    bool refuted = false;
    bool shared = false;     ///< other hosts have the record or will get it
    bool explained = false;  ///< another request is the cause
    size_t event = 0;        ///< index of the crash among all crashes

    Duration run_time() const { return crashed_at - sent_at; }
  };
  struct Entry {
    std::vector<Crash> crashes;
    /// This host shares the crashes as soon as they are verified.
    bool request_failed = false;
    int crash_count = 0;            ///< CrashAssessment::crashes
    bool is_mostly_newest = false;  ///< in more than half of its crashes
    bool is_cause = false;          ///< of at least one crash
    bool refused = false;           ///< as of the last classification
  };
  using Entries = std::unordered_map<Hash128, Entry, Hash128Hasher>;
  /// One crash of an upstream, which ends the attempts of several requests.
  struct Event {
    Duration min_run_time = Duration::max();
    /// The request with the most crashes among those that are mostly newest.
    const Entry* most_suspected = nullptr;
    bool is_tied = false;  ///< another such request has as many crashes
    bool explained = false;
  };

  /// Counts the crashes of which none ran at the same time as another.
  int CountSequential(const Entry& entry, bool verified_only) const;
  static TimePoint LastCrashAt(const Entry& entry);
  static Crash* FindRecord(Entry& entry, uint64_t record_id);

  /// Finds the causes of all crashes. Returns the fingerprints that are refused
  /// from now on.
  std::vector<Hash128> Classify(TimePoint now);
  void CountCrashes();
  /// Gives the crashes of different requests that are one crash of an upstream
  /// the same event. Returns the number of events.
  size_t AssignEvents();
  void FindNewest(std::vector<Event>& events);
  void FindCauses(std::vector<Event>& events);
  void ExplainCrashes(std::vector<Event>& events);
  Duration RefusedFor(const Entry& entry, TimePoint now) const;

  Duration RetentionOf(const Entry& entry) const;
  Entry& FindOrAdd(const Hash128& fingerprint);
  void EvictLeastSuspected();
  void AddRecord(const CrashRecord& record, TimePoint now);
  void RemoveRecord(const CrashRecord& record);
  /// Queues the withdrawal of the entry's shared records.
  void WithdrawShared(const Hash128& fingerprint, const Entry& entry);

  /// Whether the request was answered a short time ago.
  bool HasCompleted(const Hash128& fingerprint) const;
  void RememberCompletion(const Hash128& fingerprint);
  void ForgetOldCompletions(TimePoint now);

  using FingerprintSet = std::unordered_set<Hash128, Hash128Hasher>;

  uint64_t record_id_seed_;
  uint64_t records_created_ = 0;
  CrashHistoryOptions options_;
  Entries entries_;
  /// Answered requests, in two generations: the older one is dropped when the
  /// newer one is full or old.
  FingerprintSet completions_;
  FingerprintSet older_completions_;
  TimePoint completions_since_{};
  std::vector<CrashRecord> withdrawals_;  ///< to share
  /// Whether TakeRecords() may have records to return.
  bool has_unshared_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_CRASH_HISTORY_H_
