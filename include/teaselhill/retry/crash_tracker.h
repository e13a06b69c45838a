/// \file
/// Finds the request that crashes upstreams among those in flight beside it.

#ifndef TEASELHILL_RETRY_CRASH_TRACKER_H_
#define TEASELHILL_RETRY_CRASH_TRACKER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
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
  /// Breaks on one upstream within this time are one crash.
  Duration merge_window = std::chrono::seconds(2);
  /// A suspect is run with care for this long after its last crash.
  Duration suspicion = std::chrono::minutes(10);
  /// Refusal of a fingerprint that alone explains two crashes.
  Duration quarantine = std::chrono::minutes(10);
  /// Refusal of fingerprints that cannot be told apart after two crashes.
  Duration ambiguous_quarantine = std::chrono::minutes(1);
  /// Breaks on this many upstreams within `merge_window` are taken for a
  /// network fault, unless one fingerprint was on two of them.
  size_t burst_upstreams = 4;
  size_t max_crashes = 256;
  size_t max_suspects_per_crash = 128;
  size_t max_exonerations = 4096;
};

enum class Care {
  kNone,
  /// Run apart from other suspects and from streams that cannot be resumed,
  /// and do not hedge.
  kIsolate,
  kRefuse,  ///< with kQuarantined
};

struct CareAdvice {
  Care care = Care::kNone;
  Duration retry_after{};  ///< of kRefuse
  int crashes = 0;         ///< that the fingerprint was in
};

/// What the router does after new evidence.
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

  void OnStarted(AttemptId attempt,
                 const Hash128& fingerprint,
                 const std::string& upstream,
                 TimePoint now);
  /// The attempt delivered its whole answer, which clears its fingerprint of
  /// earlier crashes.
  CrashActions OnCompleted(AttemptId attempt, TimePoint now);
  /// The attempt ended in a way that is no sign of a crash.
  void OnEnded(AttemptId attempt);
  /// The upstream dropped the stream of `attempt`. Not to be called for an
  /// upstream that announced to stop.
  CrashActions OnBroken(AttemptId attempt, TimePoint now);
  CrashActions OnMessage(const CrashSuspicion& message, TimePoint now);

  /// Everything known, for a host that joins.
  CrashSuspicion Snapshot(TimePoint now) const;
  void Expire(TimePoint now);

  size_t crashes() const { return crashes_.size(); }

 private:
  struct Attempt {
    Hash128 fingerprint;
    std::string upstream;
    TimePoint started;
  };
  struct Crash {
    std::string upstream;
    TimePoint at;
    std::vector<Hash128> suspects;  ///< ascending
  };

  Crash& CrashAt(const std::string& upstream, TimePoint at, TimePoint newer);
  bool AddSuspect(Crash& crash, const Hash128& fingerprint);
  bool IsCleared(const Hash128& fingerprint, TimePoint crash_at) const;
  bool IsBurst(const Crash& crash) const;
  /// Crashes that count against `fingerprint`, in order of time.
  std::vector<const Crash*> Evidence(const Hash128& fingerprint,
                                     TimePoint now) const;
  std::vector<AttemptId> RefusedAttempts(TimePoint now) const;
  CrashReport ToReport(const Crash& crash, TimePoint now) const;

  HostIncarnation self_;
  CrashTrackerOptions options_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<std::string, std::unordered_set<AttemptId>> by_upstream_;
  std::vector<Crash> crashes_;
  std::unordered_map<Hash128, TimePoint, Hash128Hasher> cleared_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_CRASH_TRACKER_H_
