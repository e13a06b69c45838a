/// \file
/// Load of the engines of one service, from the reports of all hosts.

#include "teaselhill/duties/pool_load.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::duties {

namespace {

constexpr std::chrono::seconds kMeanTime{8};
/// Smooths single long prompts, but follows a wave of several seconds.
constexpr std::chrono::seconds kShortMeanTime{2};
constexpr std::chrono::seconds kPaceMeanTime{5};

/// A mean that a single burst hardly moves.
constexpr std::chrono::seconds kBaseMeanTime{30};
/// Demand above the base by more than this factor is a burst, for which tight
/// capacity is enough; less is a regular wave.
constexpr double kBurstFactor = 1.4;

/// Part of any demand that moves the base, so that it rises from zero.
constexpr double kMinClippedPart = 0.33;
/// Until all hosts have reported a few times, there is no base.
constexpr std::chrono::seconds kWarmUpTime{5};

/// Fall of a peak after its window, per second.
constexpr double kPeakFall = 0.015;

/// Assumed pace until requests were seen; the same default as placement has.
constexpr double kDefaultTokensPerMs = 36;
constexpr double kMinTokensPerMs = 4;
constexpr double kMaxTokensPerMs = 1000;
/// A queue looks like slow engines, so the pace sinks more slowly than it
/// rises.
constexpr std::chrono::seconds kPaceRiseTime{10};
constexpr std::chrono::seconds kPaceFallTime{30};
/// Fewer waiting requests than this do not show the pace.
constexpr double kMinWaiting = 1;

/// Part of late or refused requests above which capacity is raised.
constexpr double kHighLateFraction = 0.1;
/// Part up to which nothing indicates a lack of capacity.
constexpr double kLowLateFraction = 0.04;
constexpr double kCorrectionRise = 0.08;   ///< per second
constexpr double kCorrectionFall = 0.005;  ///< per second
/// Late answers have other causes than few servers as well, such as failing
/// upstreams.
constexpr double kMaxCorrection = 1.5;

/// Part of the hosts that must have reported.
constexpr double kCompleteFraction = 0.85;
constexpr std::chrono::seconds kHostCountWindow{20};

/// Longest time that one update stands for: while this host was frozen, it has
/// seen nothing.
constexpr Duration kMaxElapsed = std::chrono::seconds(1);

/// Shortest span for which rates are computed.
constexpr std::chrono::milliseconds kMinSpan{200};

/// Weight of the newest value in a mean over about `time`, of which only `age`
/// has passed so far.
double Weight(Duration elapsed, Duration time, Duration age) {
  if (elapsed >= age)
    return 1;
  return std::max(1 - std::exp(-ToSeconds(elapsed) / ToSeconds(time)),
                  ToSeconds(elapsed) / ToSeconds(age));
}

void Approach(double target, double weight, double* value) {
  *value += (target - *value) * weight;
}

void Approach(const WorkLevel& target, double weight, WorkLevel* value) {
  Approach(target.prompt_tokens, weight, &value->prompt_tokens);
  Approach(target.open, weight, &value->open);
}

}  // namespace

WorkLevel Max(const WorkLevel& a, const WorkLevel& b) {
  return {std::max(a.prompt_tokens, b.prompt_tokens), std::max(a.open, b.open)};
}

WorkLevel Min(const WorkLevel& a, const WorkLevel& b) {
  return {std::min(a.prompt_tokens, b.prompt_tokens), std::min(a.open, b.open)};
}

void PeakHold::Add(double value, TimePoint now) {
  while (!maxima_.empty() && maxima_.back().second <= value)
    maxima_.pop_back();
  maxima_.emplace_back(now, value);
  while (maxima_.front().first + window_ < now)
    maxima_.pop_front();
  const double elapsed =
      updated_at_ == TimePoint{} ? 0 : ToSeconds(now - updated_at_);
  updated_at_ = now;
  const double sunk = value_ * std::pow(1 - fall_per_second_, elapsed);
  value_ = std::max(maxima_.front().second, sunk);
}

void PeakHold::Restore(double value, TimePoint now) {
  maxima_.clear();
  value_ = 0;
  updated_at_ = TimePoint{};
  Add(value, now);
}

void WorkPeak::Add(const WorkLevel& level, TimePoint now) {
  prompt_tokens_.Add(level.prompt_tokens, now);
  open_.Add(level.open, now);
}

void WorkPeak::Restore(const WorkLevel& level, TimePoint now) {
  prompt_tokens_.Restore(level.prompt_tokens, now);
  open_.Restore(level.open, now);
}

void WorkPeak::SetWindow(Duration window) {
  prompt_tokens_.SetWindow(window);
  open_.SetWindow(window);
}

PoolLoad::PoolLoad(Duration burst_window)
    : host_count_(kHostCountWindow, /*fall_per_second=*/0.2),
      typical_(kTypicalWindow, kPeakFall),
      burst_(burst_window, kPeakFall),
      urgent_(kTypicalWindow, kPeakFall) {
  figures_.tokens_per_ms = kDefaultTokensPerMs;
}

void PoolLoad::OnReport(const std::string& host,
                        const std::vector<const EngineWork*>& rows,
                        TimePoint now) {
  const auto [entry, is_new] = hosts_.try_emplace(host);
  HostWork& work = entry->second;
  const Duration span = now - work.reported_at;
  // A second report at almost the same time adds little and has no usable span.
  if (!is_new && span < kMinSpan)
    return;
  const bool has_span = !is_new && span < 3 * kReportLifetime;
  work.reported_at = now;
  work.by_tier.clear();
  if (!has_span)
    return;
  const double per_second = 1 / ToSeconds(span);
  for (const EngineWork* row : rows) {
    TierWork tier;
    tier.level.prompt_tokens = row->prompt_tokens * per_second;
    tier.level.open = double(row->running) + row->waiting;
    tier.waiting = row->waiting;
    tier.running = row->running;
    tier.started_per_s = row->started * per_second;
    tier.events_per_s = row->generated_tokens * per_second;
    tier.late_per_s = row->started_late * per_second;
    tier.refused_per_s = row->refused * per_second;
    tier.requests_per_s = row->requests * per_second;
    AddTo(tier, &work.by_tier[row->tier]);
    if (row->requests > 0 && !first_work_at_)
      first_work_at_ = now;
  }
}

void PoolLoad::AddTo(const TierWork& work, TierWork* sum) {
  sum->level.prompt_tokens += work.level.prompt_tokens;
  sum->level.open += work.level.open;
  sum->waiting += work.waiting;
  sum->running += work.running;
  sum->started_per_s += work.started_per_s;
  sum->events_per_s += work.events_per_s;
  sum->late_per_s += work.late_per_s;
  sum->refused_per_s += work.refused_per_s;
  sum->requests_per_s += work.requests_per_s;
}

void PoolLoad::Update(TimePoint now) {
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    const bool gone = host->second.reported_at + kReportLifetime < now;
    host = gone ? hosts_.erase(host) : std::next(host);
  }
  UpdateCompleteness(now);
  if (!first_work_at_)
    return;
  TierWork sum;
  std::map<int, TierWork> by_tier;
  for (const auto& [name, host] : hosts_) {
    for (const auto& [tier, work] : host.by_tier) {
      AddTo(work, &sum);
      AddTo(work, &by_tier[tier]);
    }
  }
  const bool is_first = updated_at_ == TimePoint{};
  const Duration elapsed =
      is_first ? Duration::zero() : std::min(now - updated_at_, kMaxElapsed);
  updated_at_ = now;
  age_ += elapsed;
  const auto weight = [&](Duration time) {
    return Weight(elapsed, time, age_);
  };
  figures_.now = sum.level;
  Approach(sum.level, weight(kMeanTime), &figures_.mean);
  AddClipped(sum.level, weight(kShortMeanTime), weight(kBaseMeanTime), &all_);
  AddClipped(by_tier.empty() ? WorkLevel{} : by_tier.begin()->second.level,
             weight(kShortMeanTime), weight(kBaseMeanTime), &most_urgent_);
  figures_.base = all_.base;
  typical_.Add(all_.short_mean, now);
  burst_.Add(sum.level, now);
  urgent_.Add(most_urgent_.short_mean, now);
  figures_.typical = typical_.level();
  figures_.burst = burst_.level();
  figures_.urgent = urgent_.level();
  UpdatePace(sum, elapsed);
  UpdateCorrection(sum, elapsed);
}

void PoolLoad::AddClipped(const WorkLevel& level,
                          double short_weight,
                          double base_weight,
                          ClippedMean* mean) const {
  WorkLevel clipped = level;
  if (age_ > kWarmUpTime)
    clipped = Min(level, Max(mean->base.Scaled(kBurstFactor),
                             level.Scaled(kMinClippedPart)));
  Approach(clipped, base_weight, &mean->base);
  Approach(clipped, short_weight, &mean->short_mean);
}

void PoolLoad::UpdatePace(const TierWork& sum, Duration elapsed) {
  const double weight = Weight(elapsed, kPaceMeanTime, age_);
  Approach(sum.level.prompt_tokens, weight, &pace_mean_.level.prompt_tokens);
  Approach(sum.waiting, weight, &pace_mean_.waiting);
  Approach(sum.running, weight, &pace_mean_.running);
  Approach(sum.started_per_s, weight, &pace_mean_.started_per_s);
  Approach(sum.events_per_s, weight, &pace_mean_.events_per_s);
  if (pace_mean_.waiting < kMinWaiting || pace_mean_.level.prompt_tokens <= 0)
    return;
  // By Little's law, waiting requests are the rate of starts times the time to
  // the first event. That time holds the reading of the prompt and one event,
  // whose time follows in the same way from the running requests.
  const double event_time = pace_mean_.events_per_s > 0
                                ? pace_mean_.running / pace_mean_.events_per_s
                                : 0;
  const double reading =
      std::max(pace_mean_.waiting / 3,
               pace_mean_.waiting - pace_mean_.started_per_s * event_time);
  const double seen =
      std::clamp(pace_mean_.level.prompt_tokens / reading / 1000,
                 kMinTokensPerMs, kMaxTokensPerMs);
  const Duration time =
      seen > figures_.tokens_per_ms ? kPaceRiseTime : kPaceFallTime;
  Approach(seen, Weight(elapsed, time, Duration::max()),
           &figures_.tokens_per_ms);
}

void PoolLoad::UpdateCorrection(const TierWork& sum, Duration elapsed) {
  const double judged = sum.started_per_s + sum.refused_per_s;
  const double late =
      judged > 0 ? (sum.late_per_s + sum.refused_per_s) / judged : 0;
  Approach(late, Weight(elapsed, kShortMeanTime, age_), &late_fraction_);
  figures_.under_pressure = late_fraction_ > kLowLateFraction;
  const double seconds = ToSeconds(elapsed);
  double& correction = figures_.correction;
  if (late_fraction_ > kHighLateFraction)
    correction *= 1 + kCorrectionRise * seconds;
  else
    correction *= 1 - kCorrectionFall * seconds;
  correction = std::clamp(correction, 1.0, kMaxCorrection);
}

void PoolLoad::UpdateCompleteness(TimePoint now) {
  host_count_.Add(static_cast<double>(hosts_.size()), now);
  figures_.complete = !hosts_.empty() &&
                      hosts_.size() >= kCompleteFraction * host_count_.value();
}

void PoolLoad::Restore(const PoolFigures& kept, TimePoint now) {
  typical_.Restore(kept.typical, now);
  burst_.Restore(kept.burst, now);
  urgent_.Restore(kept.urgent, now);
  figures_ = kept;
  figures_.now = figures_.mean = kept.base;
  all_ = {kept.base, kept.base};
  most_urgent_ = {kept.urgent, kept.urgent};
  age_ = kBaseMeanTime;
}

}  // namespace teaselhill::duties
