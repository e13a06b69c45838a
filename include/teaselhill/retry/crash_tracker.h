/// \file
/// Identifies which of the requests in flight on a crashed upstream caused the
/// crash.

#ifndef TEASELHILL_RETRY_CRASH_TRACKER_H_
#define TEASELHILL_RETRY_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "teaselhill/retry/messages.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::retry {

using AttemptId = uint64_t;

/// Returns a hash that is the same on every host. `target` is the model, or the
/// method and path of a request to a plain service.
Hash128 Fingerprint(std::string_view target, std::string_view body);

struct CrashTrackerOptions {
  /// Broken streams of one upstream within this time count as one crash. Must
  /// be shorter than the first ejection of an upstream.
  Duration merge_window = std::chrono::seconds(3);
  /// A suspect of exactly one crash is isolated for this long after the crash.
  Duration isolation_duration = std::chrono::minutes(10);
  /// Crash reports and cleared suspects are kept for this long.
  Duration retention = std::chrono::hours(1);
  /// Time for which a fingerprint identified as the cause of two crashes is
  /// refused, counted from its last crash. The time doubles for each further
  /// crash up to a limit.
  Duration quarantine_duration = std::chrono::minutes(10);
  /// Time for which a fingerprint is refused that is a suspect of at least two
  /// crashes but cannot be identified as their cause.
  Duration ambiguous_quarantine_duration = std::chrono::minutes(1);
  /// Time after a crash by which the reports of other hosts have arrived.
  Duration report_delay = std::chrono::milliseconds(150);
  /// Suspects of one crash start in successive slots of this length, each
  /// within the first fifth of its slot. A host that starts a suspect then
  /// knows on which upstreams the earlier suspects run and chooses another
  /// upstream. This order requires that peers receive the start of a suspect
  /// within 150 ms and that all hosts detect the crash within 50 ms of each
  /// other. The sequence of slots repeats, so that a suspect that found no
  /// upstream in its slot has another slot.
  Duration start_slot = std::chrono::milliseconds(250);
  /// Maximum number of slots in the sequence for one crash.
  int max_slots = 16;
  /// Maximum wait for a peer to report the end of its run of a suspect.
  Duration max_run_wait = std::chrono::seconds(60);
  Duration suspend_retry_after = std::chrono::milliseconds(500);
  /// Crashes of this many upstreams within `merge_window` are classified as a
  /// network fault, and count only against fingerprints that are suspects of
  /// at least two of these crashes.
  size_t min_burst_upstreams = 4;
  size_t max_reports = 256;
  size_t max_suspects_per_report = 128;
  size_t max_runs = 1024;
  size_t max_cleared_suspects = 4096;
};

/// Precaution for running a request whose fingerprint may crash upstreams.
enum class CrashPrecaution {
  kNone,
  /// Run the request on an upstream that has no other suspects and no
  /// non-resumable streams, and do not hedge the request. Peers must receive
  /// the message about its start within 150 ms.
  kIsolate,
  /// Suspend the request: the start slot of its fingerprint has not come, or
  /// the fingerprint is already in flight on this or another host.
  kSuspend,
  kRefuse,  ///< answer with kQuarantined
};

struct CrashAdvice {
  CrashPrecaution precaution = CrashPrecaution::kNone;
  Duration retry_after{};  ///< for kSuspend and kRefuse
  int crashes = 0;         ///< counted against the fingerprint
};

/// Number of fingerprints under precautions at one moment.
struct CrashCounts {
  size_t suspects = 0;     ///< isolated or waiting
  size_t quarantined = 0;  ///< refused
};

/// Actions that the router takes after it has called the tracker.
struct CrashActions {
  /// Message to send to every peer at once, unless it is empty.
  CrashSuspicion message;
  /// Attempts to cancel at once: they are in flight on this host, and their
  /// fingerprint is now refused.
  std::vector<AttemptId> attempts_to_cancel;
};

class CrashTracker {
 public:
  explicit CrashTracker(HostIncarnation self, CrashTrackerOptions options = {})
      : self_(std::move(self)), options_(options) {}

  /// Returns the precaution for an attempt. Call before each attempt, including
  /// retries and resumptions.
  CrashAdvice Advise(const Hash128& fingerprint, TimePoint now) const;

  CrashActions OnAttemptStarted(AttemptId attempt,
                                const Hash128& fingerprint,
                                const std::string& upstream,
                                TimePoint now);
  /// The attempt delivered its whole answer. Its fingerprint is then no longer
  /// a suspect of any earlier crash.
  CrashActions OnAttemptCompleted(AttemptId attempt, TimePoint now);
  /// The attempt ended without a sign of a crash.
  CrashActions OnAttemptEnded(AttemptId attempt, TimePoint now);
  /// The upstream broke the stream of `attempt`. Every request in flight on the
  /// upstream becomes a suspect. Do not call this function for an upstream that
  /// announced that it stops.
  CrashActions OnStreamBroken(AttemptId attempt, TimePoint now);
  CrashActions OnMessage(const CrashSuspicion& message, TimePoint now);

  /// Returns all known reports and cleared suspects, and the suspects that run
  /// on this host, for a host that joins.
  CrashSuspicion Snapshot(TimePoint now);
  /// Removes expired state. Call about once per second.
  void Expire(TimePoint now);

  size_t reports() const { return reports_.size(); }
  CrashCounts CountFingerprints(TimePoint now) const;

 private:
  struct Attempt {
    Hash128 fingerprint;
    std::string upstream;
    TimePoint started_at;
    bool announced = false;  ///< peers were sent a `SuspectRun`
  };
  struct Report {
    HostIncarnation observer;
    uint64_t number = 0;
    std::string upstream;
    TimePoint observed_at;
    std::vector<Hash128> suspects;
  };
  /// The reports of all hosts about one crash.
  struct Crash {
    TimePoint first_observed_at;
    std::string upstream;
    std::vector<Hash128> suspects;  ///< ascending, not yet cleared
    /// Ascending, including cleared suspects, so that slots do not shift when a
    /// suspect is cleared.
    std::vector<Hash128> reported_suspects;
    bool burst = false;
    bool explained = false;  ///< a suspect is identified as the cause
  };
  struct SuspectState {
    int crashes = 0;
    /// Number of those `crashes` of which this suspect is a cause, or of which
    /// no cause is identified.
    int unexplained_crashes = 0;
    bool is_cause = false;
    TimePoint last_crash_at;
    TimePoint first_slot_at;  ///< start of the first slot
    Duration slot_period{};   ///< time between slots
  };
  struct Run {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool running = false;
    TimePoint updated_at;
  };

  Attempt RemoveAttempt(AttemptId attempt);
  bool KnowsReport(const HostIncarnation& observer, uint64_t number) const;
  void AddReport(Report report);
  bool ClearSuspect(const Hash128& fingerprint, TimePoint at);
  bool IsCleared(const Hash128& fingerprint, TimePoint crash_at) const;
  /// Returns the time until a suspect may start, zero if it may start now.
  Duration TimeUntilSlot(const SuspectState& state, TimePoint now) const;
  /// Returns whether any stored report names the fingerprint.
  bool IsReportedSuspect(const Hash128& fingerprint) const;
  bool IsRunning(const Hash128& fingerprint, TimePoint now) const;
  /// Derives the suspect states from the reports, independently of their order.
  void ClassifySuspects();
  void AssignSlots(const Crash& crash);
  std::vector<Crash> GroupReports() const;
  static void ExcludeBursts(std::vector<Crash>& crashes,
                            const CrashTrackerOptions& options);
  void EndRun(const Attempt& attempt, CrashActions& actions);
  /// Adds sender, sequence number and the attempts to cancel.
  CrashActions FinalizeActions(CrashActions actions, TimePoint now);
  CrashReport ToMessage(const Report& report, TimePoint now) const;

  HostIncarnation self_;
  CrashTrackerOptions options_;
  uint64_t last_report_number_ = 0;
  uint64_t sequence_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<std::string, std::unordered_set<AttemptId>> by_upstream_;
  std::vector<Report> reports_;
  std::unordered_map<Hash128, TimePoint, Hash128Hasher> cleared_;
  std::unordered_map<Hash128, SuspectState, Hash128Hasher> suspect_states_;
  std::map<std::pair<Hash128, std::string>, Run> runs_;  ///< of other hosts
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_CRASH_TRACKER_H_
