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

/// What one host saw of a crash of one upstream. The observer and its number
/// identify it, so a repeated one counts once.
struct CrashReport {
  HostIncarnation observer;
  uint64_t number = 0;
  std::string upstream;
  Duration age{};  ///< time since the crash when the message was made
  std::vector<Hash128> suspects;  ///< in flight from the observer
};

/// A fingerprint that completed after it was suspected.
struct Exoneration {
  Hash128 fingerprint;
  Duration age{};  ///< time since it completed
};

/// The sender starts or ends a run of a suspect; other hosts wait meanwhile.
struct SuspectRun {
  Hash128 fingerprint;
  bool running = false;
};

/// Sent at once after each change, and in full to a host that joins. Applying
/// a message twice or late changes nothing more.
struct CrashSuspicion {
  HostIncarnation sender;
  uint64_t sequence = 0;  ///< ascending per sender; orders `runs`
  std::vector<CrashReport> crashes;
  std::vector<Exoneration> exonerations;
  std::vector<SuspectRun> runs;

  bool empty() const {
    return crashes.empty() && exonerations.empty() && runs.empty();
  }
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_MESSAGES_H_
