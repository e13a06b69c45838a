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

/// One host's observation of a crash of one upstream. Observer and number
/// identify the report, so a repeated report counts once.
struct CrashReport {
  HostIncarnation observer;
  uint64_t number = 0;
  std::string upstream;
  Duration age{};                 ///< from the crash to this message
  std::vector<Hash128> suspects;  ///< in flight from the observer
};

/// A fingerprint that was a suspect and has completed since.
struct ClearedSuspect {
  Hash128 fingerprint;
  Duration age{};  ///< time since it completed
};

/// The sender starts or ends a run of a suspect. Other hosts do not run the
/// same suspect in between.
struct SuspectRun {
  Hash128 fingerprint;
  bool running = false;
};

/// Sent at once after each change, and with the whole state to a host that
/// joins. A message that is repeated or arrives late has no further effect.
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
