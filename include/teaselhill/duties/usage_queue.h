/// \file
/// Usage reports from their window's end until the platform has them.

#ifndef TEASELHILL_DUTIES_USAGE_QUEUE_H_
#define TEASELHILL_DUTIES_USAGE_QUEUE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// The text by which a report is kept in the store. The same report always
/// gives the same text.
std::string EncodeUsageReport(const UsageReport& report);
/// kProtocolError if the text is not that of a report.
Result<UsageReport> DecodeUsageReport(std::string_view text);

/// A report that a holder has kept.
struct KeptReport {
  UsageReport report;
  /// The store has lost it. The platform may have it.
  bool lost = false;
};

/// Ensures that at most one version of a window's report is sent: a report is
/// kept in the store before it is sent, and is not changed afterwards. What is
/// known to be kept stays here while the lease is lost, in case the store loses
/// it. Deterministic: time is an argument.
class UsageQueue {
 public:
  static constexpr std::chrono::milliseconds kMinBackoff{300};
  static constexpr std::chrono::milliseconds kMaxBackoff{1000};
  /// Time after which a report that is overdue is given up.
  static constexpr std::chrono::seconds kMaxLateness{20};

  /// A report is due `report_delay` after the end of its window.
  UsageQueue(Duration window, Duration report_delay);

  /// This host holds the lease. `kept`: the reports of earlier holders, oldest
  /// first. Those that the store has replace other versions; if another one may
  /// have reached the platform, because the store had lost it, neither is sent
  /// any more. Those that it has lost are kept again, unchanged, and sent
  /// again. `reports_known_since`: earlier reports may not be known here, so
  /// own ones that were not sent give way if another host can have reported
  /// their windows by then.
  void Start(const std::vector<KeptReport>& kept,
             WallTime reports_known_since,
             WallTime wall);

  /// The lease is lost: forgets what cannot have been kept.
  void Stop();

  /// Adds a report, unless its window has one.
  void Add(const UsageReport& report);

  /// The report to be kept now, oldest first, one at a time. A report whose
  /// keeping has failed comes again, since the store may have it.
  std::optional<UsageReport> TakeToKeep(TimePoint now);
  void OnKept(WindowNumber window, bool ok, TimePoint now);

  /// The report to be sent now, oldest first, one at a time.
  std::optional<UsageReport> TakeToSend(TimePoint now);
  /// The call was not made: it comes again at once, so that the reports are not
  /// behind other calls each time.
  void OnNotSent() { sending_ = false; }
  /// Unless the outcome is final, it comes again after a pause.
  void OnSent(WindowNumber window, CallOutcome outcome, TimePoint now);

  /// Removes old reports; returns the windows that were never accepted.
  std::vector<WindowNumber> Expire(WallTime wall);

  /// Window after which no other has a report.
  std::optional<WindowNumber> last_window() const;

  /// Reports that the platform has not accepted.
  size_t pending() const;

  /// End of the newest window whose report was accepted.
  std::optional<WallTime> reported_until() const { return reported_until_; }

  WallTime EndOf(WindowNumber window) const;

 private:
  struct Item {
    UsageReport report;
    bool keep_tried = false;
    bool kept = false;
    bool send_tried = false;  ///< by this or another host, as far as is known
    bool done = false;        ///< accepted, or refused for good
  };

  /// Pause that grows with each failure.
  struct Backoff {
    TimePoint until{};
    Duration length{};

    void Fail(TimePoint now);
    void Succeed() { *this = {}; }
  };

  bool IsExpired(WindowNumber window, WallTime wall) const;
  /// Forgets own reports that were not sent of windows that ended by then.
  void ForgetUnsent(WallTime ended_by);
  void AddLost(const UsageReport& report);
  void AddKept(const UsageReport& report);

  const Duration window_;
  const Duration report_delay_;
  std::map<WindowNumber, Item> items_;
  bool keeping_ = false;
  bool sending_ = false;
  Backoff keep_backoff_;
  Backoff send_backoff_;
  std::optional<WallTime> reported_until_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_USAGE_QUEUE_H_
