/// \file
/// Messages about crashes that hosts exchange.

#ifndef TEASELHILL_RETRY_MESSAGES_H_
#define TEASELHILL_RETRY_MESSAGES_H_

#include <string>
#include <vector>

#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::retry {

/// A crash of one upstream and the requests in flight on it.
struct CrashReport {
  std::string upstream;
  Duration age{};  ///< time since the crash when the message was made
  std::vector<Hash128> suspects;
};

/// A fingerprint that completed after it was suspected.
struct Exoneration {
  Hash128 fingerprint;
  Duration age{};  ///< time since it completed
};

/// Sent at once after each change, and in full to a host that joins. Applying
/// a message twice or in another order changes nothing.
struct CrashSuspicion {
  HostIncarnation sender;
  std::vector<CrashReport> crashes;
  std::vector<Exoneration> exonerations;

  bool empty() const { return crashes.empty() && exonerations.empty(); }
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_MESSAGES_H_
