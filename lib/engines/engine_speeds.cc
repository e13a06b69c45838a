/// \file
/// Steps of speed, learned from the intervals between events.

#include "teaselhill/engines/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace teaselhill::engines {

namespace {

/// Steps of the ladder for each doubling of the speed.
constexpr double kStepsPerDoubling = 2;

/// A quarter of the usual speed to twice that.
constexpr int kSlowestStep = -4;
constexpr int kFastestStep = 2;

/// How far a stream has to be from its engine's step to count against it. More
/// than half a step, so that an engine between two steps stays where it is.
constexpr double kMinDistance = 0.8;

/// A stream this far above the usual speed had events that arrived together.
constexpr double kImplausiblePosition = 3;

double SpeedOfStep(int step) {
  return std::exp2(step / kStepsPerDoubling);
}

/// Place of a speed on the ladder, between two steps in general.
double PositionOfSpeed(double speed) {
  return kStepsPerDoubling * std::log2(speed);
}

int NearestStep(double position) {
  return static_cast<int>(
      std::lround(std::clamp<double>(position, kSlowestStep, kFastestStep)));
}

/// `durations` must not be empty.
Duration Quantile(std::vector<Duration> durations, double quantile) {
  const auto place =
      durations.begin() + static_cast<std::ptrdiff_t>(
                              quantile * static_cast<double>(durations.size()));
  std::nth_element(durations.begin(), place, durations.end());
  return *place;
}

}  // namespace

void EngineSpeeds::OnStream(const std::string& service,
                            int tier,
                            const UpstreamProcess& engine,
                            Duration interval) {
  Engine* state = FindOrAdd(service, engine);
  if (!state || interval <= Duration::zero())
    return;
  UsualIntervals& usual_intervals = usual_intervals_[{service, tier}];
  const bool known = usual_intervals.size() >= options_.min_usual_streams;
  const UsualRange usual = known ? FindUsual(usual_intervals) : UsualRange();
  const PositionRange position = {
      PositionOfSpeed(ToSeconds(usual.shortest) / ToSeconds(interval)),
      PositionOfSpeed(ToSeconds(usual.longest) / ToSeconds(interval))};
  if (known && position.slowest >= kImplausiblePosition)
    return;
  usual_intervals.push_back(
      FromSeconds(ToSeconds(interval) * SpeedOfStep(state->step)));
  if (usual_intervals.size() > options_.usual_streams)
    usual_intervals.pop_front();
  if (!known)
    return;
  const int step = StepAfterStream(*state, position);
  if (step == state->step)
    return;
  EngineSpeedChange change = SetStep(engine, *state, step);
  change.interval = interval;
  change.usual = usual.longest;
  AddNews(change.now);
  changes_.push_back(std::move(change));
}

EngineSpeeds::UsualRange EngineSpeeds::FindUsual(
    const UsualIntervals& intervals) const {
  const Duration usual =
      Quantile({intervals.begin(), intervals.end()}, options_.usual_quantile);
  const auto newest =
      intervals.end() - static_cast<std::ptrdiff_t>(std::min(
                            intervals.size(), options_.newest_streams));
  const Duration now = Quantile({newest, intervals.end()}, 0.5);
  return {std::min(usual, now), std::max(usual, now)};
}

int EngineSpeeds::StepAfterStream(Engine& engine,
                                  const PositionRange& position) const {
  if (position.fastest > engine.step - kMinDistance) {
    engine.slow_streams = 0;
    return position.slowest >= engine.step + kMinDistance
               ? NearestStep(position.slowest)
               : engine.step;
  }
  const int step = NearestStep(position.fastest);
  engine.fastest_slow_step = engine.slow_streams == 0
                                 ? step
                                 : std::max(step, engine.fastest_slow_step);
  ++engine.slow_streams;
  return engine.slow_streams < options_.slow_streams ? engine.step
                                                     : engine.fastest_slow_step;
}

void EngineSpeeds::Recenter(const std::string& service, size_t engine_count) {
  std::vector<int> steps;
  for (const auto& [id, engine] : engines_) {
    if (engine.service == service)
      steps.push_back(engine.step);
  }
  // Of other engines nothing is known, so they have the usual speed.
  steps.resize(std::max(steps.size(), engine_count), 0);
  if (steps.empty())
    return;
  const auto middle =
      steps.begin() + static_cast<std::ptrdiff_t>(steps.size() / 2);
  std::nth_element(steps.begin(), middle, steps.end());
  const int shift = *middle;
  if (shift == 0)
    return;
  for (auto& [id, engine] : engines_) {
    if (engine.service == service)
      engine.step = std::clamp(engine.step - shift, kSlowestStep, kFastestStep);
  }
  for (auto& [key, intervals] : usual_intervals_) {
    if (key.first != service)
      continue;
    for (Duration& interval : intervals)
      interval = FromSeconds(ToSeconds(interval) / SpeedOfStep(shift));
  }
}

EngineSpeedChange EngineSpeeds::SetStep(const UpstreamProcess& process,
                                        Engine& engine,
                                        int step) {
  EngineSpeedChange change;
  change.previous = SpeedOfStep(engine.step);
  change.now = {engine.service, process, SpeedOfStep(step)};
  engine.step = step;
  engine.slow_streams = 0;
  return change;
}

void EngineSpeeds::AddNews(const EngineSpeed& speed) {
  const auto same =
      std::find_if(news_.begin(), news_.end(), [&](const EngineSpeed& known) {
        return known.engine.id == speed.engine.id;
      });
  if (same == news_.end())
    news_.push_back(speed);
  else
    *same = speed;
}

void EngineSpeeds::OnTold(const std::vector<EngineSpeed>& speeds) {
  for (const EngineSpeed& told : speeds) {
    if (!(told.speed > 0))
      continue;
    Engine* state = FindOrAdd(told.service, told.engine);
    const int step = NearestStep(PositionOfSpeed(told.speed));
    if (!state || state->step == step)
      continue;
    EngineSpeedChange change = SetStep(told.engine, *state, step);
    change.told = true;
    changes_.push_back(std::move(change));
  }
}

double EngineSpeeds::SpeedOf(const std::string& engine,
                             uint64_t incarnation) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() || found->second.incarnation != incarnation
             ? 1
             : SpeedOfStep(found->second.step);
}

EngineSpeeds::Engine* EngineSpeeds::FindOrAdd(const std::string& service,
                                              const UpstreamProcess& process) {
  Engine& engine = engines_[process.id];
  if (process.incarnation < engine.incarnation)
    return nullptr;
  if (process.incarnation > engine.incarnation || engine.service != service) {
    engine = {};
    engine.service = service;
    engine.incarnation = process.incarnation;
  }
  return &engine;
}

std::map<std::string, double> EngineSpeeds::CountSlow() const {
  std::map<std::string, double> slow;
  for (const auto& [id, engine] : engines_)
    slow[engine.service] += engine.step < 0 ? 1 : 0;
  return slow;
}

void EngineSpeeds::Expire(
    const std::function<bool(const UpstreamProcess&)>& is_listed,
    const std::function<size_t(const std::string&)>& engine_count) {
  std::set<std::string> services;
  for (auto it = engines_.begin(); it != engines_.end();) {
    if (!is_listed({it->first, it->second.incarnation})) {
      it = engines_.erase(it);
      continue;
    }
    services.insert(it->second.service);
    ++it;
  }
  for (const std::string& service : services)
    Recenter(service, engine_count(service));
}

}  // namespace teaselhill::engines
