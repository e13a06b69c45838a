/// \file
/// Load of the engines of one service, from the reports of all hosts.

#ifndef TEASELHILL_DUTIES_POOL_LOAD_H_
#define TEASELHILL_DUTIES_POOL_LOAD_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/duties/host_report.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// Demand on engines at one moment.
struct WorkLevel {
  double prompt_tokens = 0;  ///< to be read, per second
  double open = 0;           ///< requests at engines, waiting or answered

  WorkLevel Scaled(double factor) const {
    return {prompt_tokens * factor, open * factor};
  }
};
WorkLevel Max(const WorkLevel& a, const WorkLevel& b);
WorkLevel Min(const WorkLevel& a, const WorkLevel& b);

/// Highest value of a time window. After the window has passed a peak, the
/// value sinks by a fixed fraction per second.
class PeakHold {
 public:
  PeakHold(Duration window, double fall_per_second)
      : window_(window), fall_per_second_(fall_per_second) {}

  void Add(double value, TimePoint now);
  /// Begins with a peak that an earlier holder saw.
  void Restore(double value, TimePoint now);
  double value() const { return value_; }
  void SetWindow(Duration window) { window_ = window; }

 private:
  Duration window_;
  double fall_per_second_;
  std::deque<std::pair<TimePoint, double>> maxima_;  ///< descending values
  double value_ = 0;
  TimePoint updated_at_{};
};

/// Peaks of both parts of a WorkLevel.
class WorkPeak {
 public:
  WorkPeak(Duration window, double fall_per_second)
      : prompt_tokens_(window, fall_per_second),
        open_(window, fall_per_second) {}

  void Add(const WorkLevel& level, TimePoint now);
  void Restore(const WorkLevel& level, TimePoint now);
  void SetWindow(Duration window);
  WorkLevel level() const { return {prompt_tokens_.value(), open_.value()}; }

 private:
  PeakHold prompt_tokens_;
  PeakHold open_;
};

/// What the size of a pool depends on.
struct PoolFigures {
  WorkLevel now;      ///< last second
  WorkLevel mean;     ///< about the last 8 s
  WorkLevel base;     ///< about the last half minute, without bursts
  WorkLevel typical;  ///< peak of waves, without bursts
  WorkLevel burst;    ///< peak of single seconds
  WorkLevel urgent;   ///< as `typical`, of the most urgent tier alone
  /// Prompt tokens that an engine reads per millisecond, as far as seen.
  double tokens_per_ms = 0;
  /// 1, or more while answers start late or are refused.
  double correction = 1;
  bool under_pressure = false;
  /// Whether nearly all hosts that have reported lately still do.
  bool complete = false;
};

/// Aggregates the reports on one service. Deterministic; times never decrease.
class PoolLoad {
 public:
  /// A regular wave of demand fits in with its peak, so that capacity does not
  /// follow it.
  static constexpr std::chrono::seconds kTypicalWindow{24};
  /// A host that has not reported for this time counts as gone: its callers
  /// have moved to other hosts.
  static constexpr std::chrono::milliseconds kReportLifetime{3500};

  /// `burst_window`: how long the highest demand is remembered.
  explicit PoolLoad(Duration burst_window);

  /// Applies the rows of one report that belong to the service. Those of the
  /// first report of a host are left out: their time span is not known.
  void OnReport(const std::string& host,
                const std::vector<const EngineWork*>& rows,
                TimePoint now);

  /// Updates the figures. Call every few hundred milliseconds.
  void Update(TimePoint now);

  const PoolFigures& figures() const { return figures_; }
  /// First time at which a host had requests for the service.
  std::optional<TimePoint> first_work_at() const { return first_work_at_; }
  void SetBurstWindow(Duration window) { burst_.SetWindow(window); }

  /// Begins with the figures that an earlier holder had. Means that are not
  /// kept are learned anew.
  void Restore(const PoolFigures& kept, TimePoint now);

 private:
  /// One host's demand during its last report period.
  struct TierWork {
    WorkLevel level;
    double waiting = 0;
    double running = 0;
    double started_per_s = 0;
    double events_per_s = 0;
    double late_per_s = 0;
    double refused_per_s = 0;
    double requests_per_s = 0;
  };
  struct HostWork {
    TimePoint reported_at{};
    std::map<int, TierWork> by_tier;
  };

  /// Means of the demand without what exceeds its base by far.
  struct ClippedMean {
    WorkLevel base;
    WorkLevel short_mean;
  };

  void AddClipped(const WorkLevel& level,
                  double short_weight,
                  double base_weight,
                  ClippedMean* mean) const;
  static void AddTo(const TierWork& work, TierWork* sum);
  void UpdatePace(const TierWork& sum, Duration elapsed);
  void UpdateCorrection(const TierWork& sum, Duration elapsed);
  void UpdateCompleteness(TimePoint now);

  std::map<std::string, HostWork> hosts_;
  PeakHold host_count_;
  WorkPeak typical_;
  WorkPeak burst_;
  WorkPeak urgent_;
  ClippedMean all_;
  ClippedMean most_urgent_;
  TierWork pace_mean_;
  double late_fraction_ = 0;
  PoolFigures figures_;
  std::optional<TimePoint> first_work_at_;
  TimePoint updated_at_{};
  Duration age_{};  ///< of the means
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_POOL_LOAD_H_
