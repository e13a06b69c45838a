/// \file
/// Engines that are set apart for the most urgent streams of a service.

#ifndef TEASELHILL_GATEWAY_ENGINE_RESERVE_H_
#define TEASELHILL_GATEWAY_ENGINE_RESERVE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/engines/reserve_agreement.h"
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
  double target_fill = 0.56;
  /// The same while the answers of the service begin late: the long prompts
  /// then need the engines more than the streams need the free slots. Times
  /// `burst_margin` it is below 1, or a reserve that is full in a burst would
  /// not grow.
  double late_target_fill = 0.8;
  /// Mean delay of the answers up to which they are in time, and that from
  /// which on they are late; between the two, `target_fill` rises.
  Duration in_time_delay = std::chrono::milliseconds(20);
  Duration late_delay = std::chrono::milliseconds(60);
  /// Half-life of how late the answers are. The delay itself differs from host
  /// to host, and so would the sizes.
  Duration lateness_half_life = std::chrono::seconds(8);
  /// Part of the slots of all engines that is assumed to be in use at first,
  /// and the number of load reports that this is worth.
  double first_busy_fraction = 0.07;
  double first_reports = 6;
  /// Half-lives of the two means of the load. The short one only makes the
  /// reserve larger.
  Duration fill_half_life = std::chrono::seconds(10);
  Duration burst_half_life = std::chrono::milliseconds(1500);
  /// By how much the short mean has to exceed the size, since it is made of few
  /// reports.
  double burst_margin = 1.2;
  /// A size is kept for this time after it was last needed: a change moves
  /// prompts to engines that have not cached them.
  Duration hold = std::chrono::seconds(4);
  /// A host that has seen no urgent stream for this time lets the reserve
  /// shrink.
  Duration idle_after = std::chrono::seconds(20);
};

/// The part of a service's engines that one host estimates as needed, from the
/// load reports that it reads anyway to place urgent streams. Deterministic:
/// times are arguments and never decrease.
class ReserveSize {
 public:
  explicit ReserveSize(EngineReserveOptions options);

  /// An urgent stream read the load report of a reserved engine, of whose slots
  /// the fraction `fill` is in use. `reserved_fraction`: part of the engines
  /// among which the hosts spread these streams now.
  void OnFillReported(double fill, double reserved_fraction, TimePoint now);

  /// How late the answers of the service begin in the mean.
  void OnMeanDelay(Duration delay, TimePoint now);

  /// Finds the size by the load of the last seconds. Nothing else of the past
  /// matters, so that hosts with the same estimate have the same size.
  void Update(TimePoint now);

  /// Whether the host has read no load report of late, so that its size says
  /// nothing of the load.
  bool IsIdle(TimePoint now) const {
    return !has_reports_ || now - last_report_at_ >= options_.idle_after;
  }

  /// Part of the engines; one of a few sizes.
  double fraction() const { return fraction_; }

  /// Mean of the slots in use, as a fraction of the slots of all engines.
  double BusyFraction() const { return steady_.value(); }

 private:
  struct Mean {
    double sum = 0;
    double count = 0;
    /// 0 once so much time has passed that nothing is left of the reports.
    double value() const { return count > 1e-9 ? sum / count : 0; }
  };
  struct Need {
    TimePoint at{};
    double fraction = 0;  ///< of the engines
  };
  void Decay(TimePoint now);
  /// Part of the engines that the load needs now.
  double NeededFraction(TimePoint now) const;
  /// The largest need since `options_.hold` ago.
  double HeldNeed(double needed, TimePoint now);

  EngineReserveOptions options_;
  double fraction_ = 0;
  double lateness_ = 0;  ///< 0: in time, 1: late
  TimePoint lateness_at_{};
  Mean steady_;
  Mean burst_;
  TimePoint decayed_at_{};
  bool has_reports_ = false;
  TimePoint last_report_at_{};
  std::deque<Need> needs_;  ///< each larger than all after it
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

/// Sizes of the reserves of all services, as agreed with the other hosts.
class EngineReserve {
 public:
  explicit EngineReserve(EngineReserveOptions options = {},
                         std::string own_host = "")
      : options_(options), agreement_(std::move(own_host)) {}

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

  /// Needs to tell the other hosts, and what they tell.
  std::vector<engines::ReserveNeed> TakeNeeds(TimePoint now) {
    return agreement_.TakeNews(now);
  }
  void OnNeeds(const std::vector<engines::ReserveNeed>& needs, TimePoint now) {
    agreement_.OnTold(needs, now);
  }

 private:
  struct ServiceReserve {
    explicit ServiceReserve(EngineReserveOptions options) : size(options) {}
    ReserveSize size;
    double logged_fraction = 0;
  };
  void Follow(const std::string& service,
              ServiceReserve& reserve,
              TimePoint now);

  EngineReserveOptions options_;
  engines::ReserveAgreement agreement_;
  std::map<std::string, ServiceReserve> reserves_by_service_;
  std::vector<ReserveChange> changes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ENGINE_RESERVE_H_
