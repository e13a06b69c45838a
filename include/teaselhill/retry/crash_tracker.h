/// \file
/// Finds the request that crashes upstreams among those in flight beside it.

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

/// The same on each host. `target` is the model or the service with path.
Hash128 Fingerprint(std::string_view target, std::string_view body);

struct CrashTrackerOptions {
  /// Breaks on one upstream within this time are one crash. Shorter than the
  /// first ejection of an upstream.
  Duration merge_window = std::chrono::seconds(3);
  /// A suspect of one crash is run with care for this long.
  Duration suspicion = std::chrono::minutes(10);
  /// Crashes are remembered for this long.
  Duration memory = std::chrono::hours(1);
  /// Refusal of a fingerprint that alone explains two crashes, from the last
  /// of them; doubled for each further crash.
  Duration quarantine = std::chrono::minutes(10);
  /// Refusal of fingerprints that two crashes do not tell apart.
  Duration ambiguous_quarantine = std::chrono::minutes(1);
  /// Reports of a crash by other hosts have arrived after this time.
  Duration settle = std::chrono::milliseconds(150);
  /// Suspects of one crash start in slots of this length, each in the first
  /// fifth of its slot, so that a host knows where the ones before are running
  /// and chooses another upstream. This holds while peers learn of a start
  /// within 150 ms and see the crash within 50 ms of each other. The slots
  /// recur, for a suspect that found no upstream.
  Duration start_slot = std::chrono::milliseconds(250);
  /// Most slots before they recur.
  int max_slots = 16;
  /// Longest wait for a run of a suspect on a host that is not heard of again.
  Duration run_hold = std::chrono::seconds(60);
  Duration wait_retry_after = std::chrono::milliseconds(500);
  /// Crashes of this many upstreams within `merge_window` are taken for a
  /// network fault, except for fingerprints that were on two of them.
  size_t burst_upstreams = 4;
  size_t max_reports = 256;
  size_t max_suspects_per_report = 128;
  size_t max_runs = 1024;
  size_t max_exonerations = 4096;
};

enum class Care {
  kNone,
  /// Run apart from other suspects and from streams that cannot be resumed,
  /// and do not hedge. Peers must learn of the start within 150 ms.
  kIsolate,
  /// A suspect whose turn has not come, or that is in flight already, here or
  /// on another host.
  kWait,
  kRefuse,  ///< with kQuarantined
};

struct CareAdvice {
  Care care = Care::kNone;
  Duration retry_after{};  ///< of kWait and kRefuse
  int crashes = 0;         ///< that count against the fingerprint
};

/// Fingerprints that are not run like others at one moment.
struct CrashCounts {
  size_t suspects = 0;     ///< run apart from each other
  size_t quarantined = 0;  ///< refused
};

/// What the router does after a change.
struct CrashActions {
  /// To be sent to every peer at once when it is not empty.
  CrashSuspicion message;
  /// Attempts in flight on this host whose fingerprint is now refused; they
  /// are cancelled at once.
  std::vector<AttemptId> cancel;
};

class CrashTracker {
 public:
  explicit CrashTracker(HostIncarnation self, CrashTrackerOptions options = {})
      : self_(std::move(self)), options_(options) {}

  /// Consulted before each attempt, also before a retry or a resumption.
  CareAdvice Advise(const Hash128& fingerprint, TimePoint now) const;

  CrashActions OnStarted(AttemptId attempt,
                         const Hash128& fingerprint,
                         const std::string& upstream,
                         TimePoint now);
  /// The attempt delivered its whole answer, which clears its fingerprint of
  /// earlier crashes.
  CrashActions OnCompleted(AttemptId attempt, TimePoint now);
  /// The attempt ended in a way that is no sign of a crash.
  CrashActions OnEnded(AttemptId attempt, TimePoint now);
  /// The upstream dropped the stream of `attempt`. Every request in flight on
  /// the upstream becomes a suspect. Not to be called for an upstream that
  /// announced to stop.
  CrashActions OnBroken(AttemptId attempt, TimePoint now);
  CrashActions OnMessage(const CrashSuspicion& message, TimePoint now);

  /// Everything known, for a host that joins.
  CrashSuspicion Snapshot(TimePoint now);
  /// Drops what is too old. Call about once a second.
  void Expire(TimePoint now);

  size_t reports() const { return reports_.size(); }
  CrashCounts Count(TimePoint now) const;

 private:
  struct Attempt {
    Hash128 fingerprint;
    std::string upstream;
    TimePoint started;
    bool announced = false;  ///< as a run of a suspect
  };
  struct Report {
    HostIncarnation observer;
    uint64_t number = 0;
    std::string upstream;
    TimePoint at;
    std::vector<Hash128> suspects;
  };
  /// Reports of one crash by all hosts.
  struct Crash {
    TimePoint at;
    std::string upstream;
    std::vector<Hash128> suspects;  ///< ascending, not yet cleared
    /// Ascending, with the cleared ones: slots must not shift as they clear.
    std::vector<Hash128> named;
    bool burst = false;
    bool explained = false;  ///< holds a fingerprint that is convicted
  };
  struct Verdict {
    int crashes = 0;
    int unexplained = 0;  ///< of these, without a convicted fingerprint
    bool convicted = false;
    TimePoint last;
    TimePoint run_after;     ///< its first slot
    Duration slot_period{};  ///< between its slots
  };
  struct Run {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool running = false;
    TimePoint at;
  };

  Attempt TakeAttempt(AttemptId attempt);
  bool KnowsReport(const HostIncarnation& observer, uint64_t number) const;
  void AddReport(Report report);
  bool Clear(const Hash128& fingerprint, TimePoint at);
  bool IsCleared(const Hash128& fingerprint, TimePoint crash_at) const;
  /// Time until a suspect may start; zero: now.
  Duration UntilSlot(const Verdict& verdict, TimePoint now) const;
  /// Whether the fingerprint is a suspect in any remembered crash.
  bool IsNamed(const Hash128& fingerprint) const;
  bool IsRunning(const Hash128& fingerprint, TimePoint now) const;
  /// Derives verdicts from reports; the result depends on no order.
  void Judge();
  void AssignSlots(const Crash& crash);
  std::vector<Crash> GroupReports() const;
  static void MarkBursts(std::vector<Crash>& crashes,
                         const CrashTrackerOptions& options);
  void EndRun(const Attempt& attempt, CrashActions& actions);
  /// Adds sender, sequence and the attempts to cancel.
  CrashActions Finish(CrashActions actions, TimePoint now);
  CrashReport ToMessage(const Report& report, TimePoint now) const;

  HostIncarnation self_;
  CrashTrackerOptions options_;
  uint64_t next_number_ = 0;
  uint64_t sequence_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<std::string, std::unordered_set<AttemptId>> by_upstream_;
  std::vector<Report> reports_;
  std::unordered_map<Hash128, TimePoint, Hash128Hasher> cleared_;
  std::unordered_map<Hash128, Verdict, Hash128Hasher> verdicts_;
  std::map<std::pair<Hash128, std::string>, Run> runs_;  ///< of other hosts
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_CRASH_TRACKER_H_
