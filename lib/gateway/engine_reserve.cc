/// \file
/// Size and members of the engines reserved for urgent streams.

#include "teaselhill/gateway/engine_reserve.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>
#include <utility>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

namespace {

/// Sizes that a reserve can have. Each is about a third larger than the one
/// before, so that hosts whose estimates differ a little use the same size.
constexpr double kFractions[] = {0.08, 0.11, 0.15, 0.2, 0.27, 0.36, 0.45};

}  // namespace

void ReserveSize::Decay(TimePoint now) {
  const auto decay = [&](Mean& mean, Duration half_life) {
    const double factor = DecayFactor(now - decayed_at_, half_life);
    mean.sum *= factor;
    mean.count *= factor;
  };
  decay(steady_, options_.fill_half_life);
  decay(burst_, options_.burst_half_life);
  decayed_at_ = now;
}

void ReserveSize::OnFillReported(double fill, TimePoint now) {
  Decay(now);
  // In units of all engines, so that earlier reports stay comparable after the
  // size has changed.
  for (Mean* mean : {&steady_, &burst_}) {
    mean->sum += fill * fraction();
    mean->count += 1;
  }
  last_report_at_ = now;
}

double ReserveSize::fraction() const {
  return kFractions[level_];
}

double ReserveSize::BusyFraction(TimePoint now) const {
  return steady_.count > 0 ? steady_.sum / steady_.count : 0;
}

double ReserveSize::NeededFraction(const Mean& mean) const {
  const double target =
      late_ ? options_.late_target_fill : options_.target_fill;
  return mean.count >= options_.min_reports ? mean.sum / mean.count / target
                                            : 0;
}

void ReserveSize::Update(TimePoint now) {
  if (changed_at_ == TimePoint{})
    changed_at_ = last_report_at_ = now;
  Decay(now);
  const Duration since_change = now - changed_at_;
  const bool idle = now - last_report_at_ >= options_.idle_after;
  const bool known = steady_.count >= options_.min_reports;
  const double needed = NeededFraction(steady_);
  const double needed_in_burst = NeededFraction(burst_);
  if (level_ + 1 < std::size(kFractions) &&
      since_change >= options_.min_growth_interval &&
      (needed > fraction() ||
       needed_in_burst > fraction() * options_.burst_margin)) {
    ++level_;
    changed_at_ = now;
    return;
  }
  if (level_ == 0 || since_change < (late_ ? options_.late_shrink_interval
                                           : options_.min_shrink_interval))
    return;
  const bool too_large =
      known && std::max(needed, needed_in_burst) <
                   kFractions[level_ - 1] * options_.shrink_fill_fraction;
  if (too_large || idle) {
    --level_;
    changed_at_ = now;
  }
}

EngineGroups DivideEngines(const std::vector<UpstreamEntry>& engines,
                           const std::vector<const UpstreamEntry*>& candidates,
                           double fraction) {
  struct RankedEngine {
    uint64_t rank = 0;
    const UpstreamEntry* engine = nullptr;
  };
  std::map<std::string, std::vector<RankedEngine>> engines_by_domain;
  for (const UpstreamEntry& engine : engines)
    engines_by_domain[engine.domain].push_back(
        {Hash64(engine.id, Hash64(engine.service)), &engine});
  std::unordered_set<std::string> reserved_ids;
  for (auto& [domain, ranked] : engines_by_domain) {
    const auto count = std::min<size_t>(
        ranked.size(), static_cast<size_t>(std::lround(
                           fraction * static_cast<double>(ranked.size()))));
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
        ranked.end(), [](const RankedEngine& a, const RankedEngine& b) {
          return a.rank != b.rank ? a.rank < b.rank
                                  : a.engine->id < b.engine->id;
        });
    for (size_t i = 0; i < count; ++i)
      reserved_ids.insert(ranked[i].engine->id);
  }
  EngineGroups groups;
  for (const UpstreamEntry* candidate : candidates)
    (reserved_ids.count(candidate->id) ? groups.reserved : groups.shared)
        .push_back(candidate);
  return groups;
}

bool EngineReserve::AppliesTo(const PlacementRequest& request,
                              size_t engines) const {
  return request.is_engine && request.has_urgent_streams &&
         request.engine_spec.slots > 0 &&
         request.engine_spec.slots <= options_.max_slots &&
         engines >= options_.min_engines;
}

void EngineReserve::OnPlaced(const std::string& service,
                             const std::vector<double>& reported_fills,
                             Duration mean_delay,
                             TimePoint now) {
  ServiceReserve& reserve =
      reserves_by_service_.try_emplace(service, options_).first->second;
  for (const double fill : reported_fills)
    reserve.size.OnFillReported(fill, now);
  reserve.size.SetMeanDelay(mean_delay);
  reserve.size.Update(now);
  RecordChange(service, reserve, now);
}

double EngineReserve::Fraction(const std::string& service) const {
  const auto found = reserves_by_service_.find(service);
  return found == reserves_by_service_.end() ? ReserveSize(options_).fraction()
                                             : found->second.size.fraction();
}

void EngineReserve::Update(TimePoint now) {
  for (auto& [service, reserve] : reserves_by_service_) {
    reserve.size.Update(now);
    RecordChange(service, reserve, now);
  }
}

void EngineReserve::RecordChange(const std::string& service,
                                 ServiceReserve& reserve,
                                 TimePoint now) {
  const double fraction = reserve.size.fraction();
  if (fraction == reserve.logged_fraction)
    return;
  reserve.logged_fraction = fraction;
  changes_.push_back({service, fraction, reserve.size.BusyFraction(now)});
}

std::vector<ReserveChange> EngineReserve::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace teaselhill::gateway
