/// \file
/// Engines that are set apart for the most urgent streams of a service.

#ifndef TEASELHILL_GATEWAY_ENGINE_RESERVE_H_
#define TEASELHILL_GATEWAY_ENGINE_RESERVE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "teaselhill/gateway/placement.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct EngineReserveOptions {
  /// An engine that runs more requests at once is not reserved: its long
  /// prompts would wait behind those of too few engines.
  int64_t max_slots = 16;
  /// Engines of a service below which none is reserved.
  size_t min_engines = 24;
  /// Part of the slots of the reserved engines that is to be in use. The rest
  /// takes up bursts until the reserve has grown.
  double target_fill = 0.5;
  /// The same while the answers of the service begin late by `late_delay` in
  /// the mean: the long prompts then need the engines more than the streams
  /// need the free slots.
  double late_target_fill = 0.85;
  Duration late_delay = std::chrono::milliseconds(40);
  /// Half-lives of the two means of the load. The short one only makes the
  /// reserve larger.
  Duration fill_half_life = std::chrono::seconds(10);
  Duration burst_half_life = std::chrono::milliseconds(1500);
  /// By how much the short mean has to exceed the size, since it is made of few
  /// reports.
  double burst_margin = 1.2;
  /// Load reports below which a mean is not used.
  double min_reports = 3;
  /// Minimum time between two changes of the size, which move prompts to
  /// engines that have not cached them.
  Duration min_growth_interval = std::chrono::milliseconds(800);
  Duration min_shrink_interval = std::chrono::seconds(4);
  Duration late_shrink_interval = std::chrono::seconds(1);
  /// The reserve shrinks once it would have this part of `target_fill` at the
  /// smaller size.
  double shrink_fill_fraction = 0.85;
  /// A host that has seen no urgent stream for this time lets the reserve
  /// shrink.
  Duration idle_after = std::chrono::seconds(20);
};

/// The part of a service's engines that is reserved. Each host finds it from
/// the load reports that it reads anyway to place urgent streams, so hosts
/// agree without messages: all sample the same engines, and the size changes in
/// a few large steps only. Deterministic: times are arguments and never
/// decrease.
class ReserveSize {
 public:
  explicit ReserveSize(EngineReserveOptions options) : options_(options) {}

  /// An urgent stream read the load report of a reserved engine, of whose slots
  /// the fraction `fill` is in use.
  void OnFillReported(double fill, TimePoint now);

  /// How late the answers of the service begin in the mean.
  void SetMeanDelay(Duration delay) { late_ = delay >= options_.late_delay; }

  /// Changes the size if it is due.
  void Update(TimePoint now);

  /// Part of the engines.
  double fraction() const;

  /// Mean of the slots in use, as a fraction of the slots of all engines.
  double BusyFraction(TimePoint now) const;

 private:
  struct Mean {
    double sum = 0;
    double count = 0;
  };
  void Decay(TimePoint now);
  /// Part of the engines that the load needs by this mean.
  double NeededFraction(const Mean& mean) const;

  EngineReserveOptions options_;
  size_t level_ = kFirstLevel;
  bool late_ = false;
  Mean steady_;
  Mean burst_;
  TimePoint decayed_at_{};
  TimePoint changed_at_{};
  TimePoint last_report_at_{};

  static constexpr size_t kFirstLevel = 2;
};

/// Engines of a service by their use.
struct EngineGroups {
  std::vector<const UpstreamEntry*> reserved;
  std::vector<const UpstreamEntry*> shared;
};

/// Divides `candidates`, engines of the service, into reserved and other ones.
/// `engines` are all engines of the service: an engine that cannot be used now
/// does not change the use of the others. Each failure domain gives the same
/// part of its engines, so that the loss of one leaves a reserve. All hosts
/// rank the engines of a domain alike.
EngineGroups DivideEngines(const std::vector<UpstreamEntry>& engines,
                           const std::vector<const UpstreamEntry*>& candidates,
                           double fraction);

/// Sizes of the reserves of all services.
class EngineReserve {
 public:
  explicit EngineReserve(EngineReserveOptions options = {})
      : options_(options) {}

  /// Whether some of the `engines` of the service of the request are reserved.
  bool AppliesTo(const PlacementRequest& request, size_t engines) const;

  /// Call for each request that is placed and to which the reserve applies.
  /// `reported_fills`: of each reserved engine whose load report was read for
  /// the request, the part of the slots that is in use. `mean_delay`: by which
  /// the answers of the service begin late.
  void OnPlaced(const std::string& service,
                const std::vector<double>& reported_fills,
                Duration mean_delay,
                TimePoint now);

  double Fraction(const std::string& service) const;

  const EngineReserveOptions& options() const { return options_; }

  /// Call about once a second.
  void Update(TimePoint now);

  std::vector<ReserveChange> TakeChanges();

 private:
  struct ServiceReserve {
    explicit ServiceReserve(EngineReserveOptions options) : size(options) {}
    ReserveSize size;
    double logged_fraction = 0;
  };
  void RecordChange(const std::string& service,
                    ServiceReserve& reserve,
                    TimePoint now);

  EngineReserveOptions options_;
  std::map<std::string, ServiceReserve> reserves_by_service_;
  std::vector<ReserveChange> changes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ENGINE_RESERVE_H_
