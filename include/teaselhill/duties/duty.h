/// \file
/// Work that one host at a time does for the fleet: interfaces between the
/// lease, the duties and the platform's API.

#ifndef TEASELHILL_DUTIES_DUTY_H_
#define TEASELHILL_DUTIES_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// Fencing number of a lease. Rises whenever the holder changes, over losses of
/// the store's newest records too.
using Epoch = uint64_t;

/// Number of a window of the wall clock: window k begins k window lengths after
/// the start of 1970.
using WindowNumber = uint64_t;

/// Requests of each team that began to run in one window.
struct UsageReport {
  WindowNumber window = 0;
  std::map<std::string, uint64_t> requests_by_team;
};

/// How many servers a service is to have in a failure domain.
struct PoolOrder {
  std::string service;
  std::string domain;
  int servers = 0;
  /// Of the cheaper kind that may be reclaimed, all of a domain at once.
  bool reclaimable = false;
};

enum class CallOutcome {
  kAccepted,
  kNoneAvailable,  ///< no such servers are to be had there now
  kRateLimited,    ///< nothing was done; try later
  kRefused,        ///< wrong in itself; a repeat is refused as well
  kUnknown,        ///< failed or without an answer; it may have taken effect
};
std::string_view CallOutcomeName(CallOutcome outcome);

/// The platform's API. A call without an answer ends after `kCallTimeout`, and
/// its sender sends nothing of it any more then, even while the process is
/// frozen, or if the process ends.
class PlatformApi {
 public:
  using Callback = std::function<void(CallOutcome)>;
  static constexpr std::chrono::milliseconds kCallTimeout{1000};

  virtual ~PlatformApi() = default;
  virtual void ReportUsage(Epoch epoch,
                           const UsageReport& report,
                           Callback callback) = 0;
  virtual void OrderServers(Epoch epoch,
                            const PoolOrder& order,
                            Callback callback) = 0;
  /// Gives up the calls that have not ended, as if they were at their timeout,
  /// without their callbacks.
  virtual void Cancel() = 0;
};

/// What a duty may do while this host holds the lease. Callbacks are not called
/// once the lease is lost.
class DutyContext {
 public:
  virtual ~DutyContext() = default;

  /// Keeps a text in the store, under the lease: it succeeds only if no other
  /// host has taken the lease meanwhile. The next holder gets it; see
  /// Duty::OnAcquired().
  virtual void Keep(std::string_view duty,
                    std::string text,
                    std::function<void(Status)> done) = 0;

  /// Sends a call unless the lease may end before the call's timeout
  /// (kOrderStale) or the fleet's rate is used up (kQueueFull).
  virtual Status ReportUsage(const UsageReport& report,
                             PlatformApi::Callback callback) = 0;
  virtual Status OrderServers(const PoolOrder& order,
                              PlatformApi::Callback callback) = 0;
};

/// A text that a holder has kept.
struct KeptText {
  std::string text;
  /// The log came back from an older copy without it. Its holder may have acted
  /// on it.
  bool lost = false;
};

/// What a host knows of the texts of one duty.
struct KeptTexts {
  std::vector<KeptText> texts;  ///< oldest first
  /// Texts that were kept before may be missing here, unless the log has them.
  TimePoint complete_since{};
};

/// One duty. Used on the control thread.
class Duty {
 public:
  virtual ~Duty() = default;
  /// Names its kept texts and its log lines.
  virtual std::string_view name() const = 0;
  /// This host holds the lease. `kept`: the texts of this duty that earlier
  /// holders kept.
  virtual void OnAcquired(DutyContext& context,
                          const KeptTexts& kept,
                          TimePoint now) = 0;
  virtual void OnLost(TimePoint now) = 0;
  /// Called every kTickPeriod while the lease is held.
  static constexpr std::chrono::milliseconds kTickPeriod{250};
  virtual void OnTick(TimePoint now) = 0;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_DUTY_H_
