/// \file
/// Messages about crashes that hosts exchange.

#ifndef TEASELHILL_RETRY_MESSAGES_H_
#define TEASELHILL_RETRY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::retry {

/// One host's observation of a crash of one upstream. `observer` and `number`
/// identify the report, so a report that is received twice counts once.
struct CrashReport {
  HostIncarnation observer;
  uint64_t number = 0;
  std::string upstream;
  Duration age{};                 ///< from the crash to this message
  std::vector<Hash128> suspects;  ///< in flight on it from the observer
};

/// A fingerprint that was a suspect and of which an attempt has since
/// completed.
struct ClearedSuspect {
  Hash128 fingerprint;
  Duration age{};  ///< time since the attempt completed
};

/// The sender starts or ends a run of a suspect. Between start and end, other
/// hosts do not run the same suspect.
struct SuspectRun {
  Hash128 fingerprint;
  bool running = false;
};

/// Changes of the sender's crash state. A host sends this message to all peers
/// at once after each change, and a snapshot of its state to a host that joins.
/// A message that is received twice or late has no further effect.
struct CrashSuspicion {
  HostIncarnation sender;
  uint64_t sequence = 0;  ///< ascending per sender; orders `runs`
  std::vector<CrashReport> crashes;
  std::vector<ClearedSuspect> cleared_suspects;
  std::vector<SuspectRun> runs;

  bool empty() const {
    return crashes.empty() && cleared_suspects.empty() && runs.empty();
  }
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_MESSAGES_H_
