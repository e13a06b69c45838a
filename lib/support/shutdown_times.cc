/// \file
/// Times of a planned stop.

#include "teaselhill/support/shutdown_times.h"

#include <algorithm>

namespace teaselhill {

namespace {

/// Share of the timeout in which answers leave the sockets. The minimum covers
/// several turns of a busy event loop; more than the maximum is only needed by
/// callers that do not read.
constexpr int kSendShare = 10;
constexpr std::chrono::milliseconds kMinSendTime{100};
constexpr std::chrono::seconds kMaxSendTime{2};

}  // namespace

ShutdownTimes PlanShutdown(TimePoint start, Duration timeout) {
  const Duration send_time = std::min(
      timeout,
      std::clamp<Duration>(timeout / kSendShare, kMinSendTime, kMaxSendTime));
  return {start + timeout - send_time, start + timeout};
}

}  // namespace teaselhill
