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

double SmallestFractionFor(double needed) {
  const auto size =
      std::lower_bound(std::begin(kFractions), std::end(kFractions), needed);
  return size == std::end(kFractions) ? *std::prev(size) : *size;
}

}  // namespace

ReserveSize::ReserveSize(EngineReserveOptions options) : options_(options) {
  const Mean first = {options_.first_busy_fraction * options_.first_reports,
                      options_.first_reports};
  steady_ = burst_ = first;
  fraction_ =
      SmallestFractionFor(options_.first_busy_fraction / options_.target_fill);
}

void ReserveSize::Decay(TimePoint now) {
  const auto decay = [&](Mean& mean, Duration half_life) {
    const double factor = DecayFactor(now - decayed_at_, half_life);
    mean.sum *= factor;
    mean.count *= factor;
  };
  // The first load is that of now, whenever the first report comes.
  if (decayed_at_ != TimePoint{}) {
    decay(steady_, options_.fill_half_life);
    decay(burst_, options_.burst_half_life);
  }
  decayed_at_ = now;
}

void ReserveSize::OnFillReported(double fill,
                                 double reserved_fraction,
                                 TimePoint now) {
  Decay(now);
  // In units of all engines, so that earlier reports stay comparable after the
  // size has changed.
  for (Mean* mean : {&steady_, &burst_}) {
    mean->sum += fill * reserved_fraction;
    mean->count += 1;
  }
  has_reports_ = true;
  last_report_at_ = now;
}

void ReserveSize::OnMeanDelay(Duration delay, TimePoint now) {
  const double late =
      std::clamp(ToSeconds(delay - options_.in_time_delay) /
                     ToSeconds(options_.late_delay - options_.in_time_delay),
                 0.0, 1.0);
  if (lateness_at_ != TimePoint{})
    lateness_ +=
        (late - lateness_) *
        (1 - DecayFactor(now - lateness_at_, options_.lateness_half_life));
  lateness_at_ = now;
}

double ReserveSize::NeededFraction(TimePoint now) const {
  if (now - last_report_at_ >= options_.idle_after)
    return 0;
  const double target =
      options_.target_fill +
      lateness_ * (options_.late_target_fill - options_.target_fill);
  return std::max(steady_.value(), burst_.value() / options_.burst_margin) /
         target;
}

double ReserveSize::HeldNeed(double needed, TimePoint now) {
  while (!needs_.empty() && needs_.back().fraction <= needed)
    needs_.pop_back();
  needs_.push_back({now, needed});
  while (now - needs_.front().at > options_.hold)
    needs_.pop_front();
  return needs_.front().fraction;
}

void ReserveSize::Update(TimePoint now) {
  if (last_report_at_ == TimePoint{})
    last_report_at_ = now;
  Decay(now);
  fraction_ = SmallestFractionFor(HeldNeed(NeededFraction(now), now));
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
    reserve.size.OnFillReported(fill, Fraction(service), now);
  reserve.size.OnMeanDelay(mean_delay, now);
  Follow(service, reserve, now);
}

double EngineReserve::Fraction(const std::string& service) const {
  const std::optional<double> agreed = agreement_.Agreed(service);
  if (agreed)
    return *agreed;
  const auto own = reserves_by_service_.find(service);
  return own == reserves_by_service_.end() ? ReserveSize(options_).fraction()
                                           : own->second.size.fraction();
}

void EngineReserve::Update(TimePoint now) {
  for (auto& [service, reserve] : reserves_by_service_)
    Follow(service, reserve, now);
  agreement_.Expire(now);
}

void EngineReserve::Follow(const std::string& service,
                           ServiceReserve& reserve,
                           TimePoint now) {
  reserve.size.Update(now);
  if (reserve.size.IsIdle(now))
    agreement_.DropOwnNeed(service);
  else
    agreement_.SetOwnNeed(service, reserve.size.fraction(), now);
  const double fraction = Fraction(service);
  if (fraction == reserve.logged_fraction)
    return;
  reserve.logged_fraction = fraction;
  changes_.push_back({service, fraction, reserve.size.fraction(),
                      reserve.size.BusyFraction(),
                      agreement_.HostCount(service)});
}

std::vector<ReserveChange> EngineReserve::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace teaselhill::gateway
