/// \file
/// Sums the counts of all hosts by windows of the wall clock.

#ifndef TEASELHILL_DUTIES_USAGE_WINDOWS_H_
#define TEASELHILL_DUTIES_USAGE_WINDOWS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/name_table.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// A window whose counts will not change any more.
struct ClosedWindow {
  UsageReport report;
  size_t hosts_known = 0;     ///< that were expected to answer
  size_t hosts_answered = 0;  ///< after its end
  Duration oldest_answer{};   ///< age of the oldest last answer
  /// A host did not answer, or was started again with counts that nobody got.
  bool is_short = false;
  /// Part of the report: what such hosts are expected to have counted.
  double estimated_requests = 0;
};

/// Used by the holder of the duties. Counts are kept by the holder's boot time
/// and put into a window when that is closed. What a host counted after its
/// last answer, before it was killed, is estimated from its rate: if several
/// hosts are killed at once, their counts are a part of all that matters.
/// Deterministic: time is an argument.
class UsageWindows {
 public:
  /// A host tells what it counted at most so long after it began: a bucket
  /// later, or once a request without a stream has run for a second.
  static constexpr std::chrono::milliseconds kSettleTime{1200};
  /// Each host has been asked again by then.
  static constexpr std::chrono::milliseconds kMinDelay{2200};
  /// Time after the end at which a window is closed without all hosts, so that
  /// enough is left to send the report.
  static constexpr std::chrono::milliseconds kMaxDelay{5500};
  /// The clock of another holder is ahead of this host's by at most this.
  static constexpr std::chrono::milliseconds kMaxClockLead{1000};
  /// Time after the end of a window at which another holder can have reported
  /// it.
  static constexpr std::chrono::milliseconds kEarliestReport =
      kMinDelay - kMaxClockLead;

  explicit UsageWindows(Duration window);

  /// Adds hosts of the fleet.
  void OnHosts(const std::vector<std::string>& hosts, TimePoint now);

  /// This host asks all hosts for all that they keep from now on.
  /// `last_reported`: last window that has a report. `reports_known_since`:
  /// reports that were made earlier may not be known here, so the windows that
  /// another holder can have reported by then are left out.
  void Start(std::optional<WindowNumber> last_reported,
             TimePoint reports_known_since,
             TimePoint now);

  void OnReport(const HostReport& report, TimePoint now);

  /// Returns the windows that are complete by now, each once, in order. A
  /// window is left out if it began before the counts that hosts keep, or if
  /// nothing shows that a host ran in it.
  std::vector<ClosedWindow> Close(TimePoint now, WallTime wall);

  /// Returns the windows that may have a report that is not known here, each
  /// once.
  std::vector<WindowNumber> TakeLeftOut() {
    return std::exchange(left_out_, {});
  }

 private:
  /// By number of the team.
  using Amounts = std::vector<std::pair<uint32_t, double>>;
  struct Host {
    TimePoint expected_since{};
    std::optional<TimePoint> answered_at;
    uint64_t incarnation = 0;
    /// Requests of the last seconds, which decay, and the time that they stand
    /// for, which decays alike.
    Amounts recent;
    Duration recent_time{};
    /// Last answer before, and first after a start; what was recent then.
    TimePoint lost_from{};
    TimePoint lost_until{};
    Amounts lost_recent;
    Duration lost_recent_time{};
  };
  using Bin = Duration::rep;  ///< number of a short time

  /// Start of the window in boot time.
  TimePoint StartOf(WindowNumber window, Duration wall_offset) const;
  /// Whether an answer of the host is worth waiting for.
  bool IsExpected(const Host& host, TimePoint now) const;
  /// Fills in the report.
  void Sum(TimePoint begin, TimePoint end, ClosedWindow* window) const;
  /// Moves the recent requests of the host on to a report.
  void NoteRecent(const HostReport& report, TimePoint now, Host* host);
  static void Add(uint32_t team, double amount, Amounts* amounts);
  /// Fills in what is known of the hosts.
  void CheckHosts(TimePoint begin,
                  TimePoint end,
                  TimePoint now,
                  ClosedWindow* window) const;
  /// Whether a host is known to have run before `end`.
  bool HasRunBefore(TimePoint end) const;

  const Duration window_;
  std::map<std::string, Host> hosts_;
  TimePoint started_at_{};
  TimePoint reports_known_since_{};
  std::optional<WindowNumber> last_reported_;
  std::optional<WindowNumber> next_;
  std::vector<WindowNumber> left_out_;
  std::optional<TimePoint> first_answer_at_;
  NameTable teams_;
  /// Requests by number of the team.
  std::map<Bin, std::vector<std::pair<uint32_t, uint32_t>>> counts_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_USAGE_WINDOWS_H_
