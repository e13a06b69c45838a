/// \file
/// Steps of speed, learned from the intervals between events.

#include "teaselhill/engines/engine_speeds.h"

#include <algorithm>
#include <cmath>

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

Duration Quantile(const std::deque<Duration>& durations, double quantile) {
  std::vector<Duration> sorted(durations.begin(), durations.end());
  const auto place =
      sorted.begin() + static_cast<std::ptrdiff_t>(
                           quantile * static_cast<double>(sorted.size()));
  std::nth_element(sorted.begin(), place, sorted.end());
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
  usual_intervals.push_back(
      FromSeconds(ToSeconds(interval) * SpeedOfStep(state->step)));
  if (usual_intervals.size() > options_.usual_streams)
    usual_intervals.pop_front();
  if (usual_intervals.size() < options_.min_usual_streams)
    return;
  const Duration usual = Quantile(usual_intervals, options_.usual_quantile);
  const double position =
      PositionOfSpeed(ToSeconds(usual) / ToSeconds(interval));
  if (position >= kImplausiblePosition)
    return;
  const int step = StepAfterStream(*state, position);
  if (step == state->step)
    return;
  EngineSpeedChange change = SetStep(engine, *state, step);
  change.interval = interval;
  change.usual = usual;
  AddNews(change.now);
  changes_.push_back(std::move(change));
}

int EngineSpeeds::StepAfterStream(Engine& engine, double position) const {
  if (position > engine.step - kMinDistance) {
    engine.slow_streams = 0;
    return position >= engine.step + kMinDistance ? NearestStep(position)
                                                  : engine.step;
  }
  const int step = NearestStep(position);
  engine.fastest_slow_step = engine.slow_streams == 0
                                 ? step
                                 : std::max(step, engine.fastest_slow_step);
  ++engine.slow_streams;
  return engine.slow_streams < options_.slow_streams ? engine.step
                                                     : engine.fastest_slow_step;
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
    const std::function<bool(const UpstreamProcess&)>& is_listed) {
  for (auto it = engines_.begin(); it != engines_.end();)
    it = is_listed({it->first, it->second.incarnation}) ? std::next(it)
                                                        : engines_.erase(it);
}

}  // namespace teaselhill::engines
