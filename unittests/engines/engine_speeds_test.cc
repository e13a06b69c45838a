/// \file
/// Guards against slow engines that get as much work as fast ones, and against
/// sound engines that lose their work to a short spell.

#include "teaselhill/engines/engine_speeds.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

namespace teaselhill::engines {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr const char* kService = "llm";
constexpr int kTier = 0;
constexpr Duration kUsual = milliseconds(30);

UpstreamProcess Process(const std::string& id, uint64_t incarnation = 1) {
  return {id, incarnation};
}

Duration IntervalAt(double speed) {
  return FromSeconds(ToSeconds(kUsual) / speed);
}

/// Speeds that know the usual interval.
EngineSpeeds WithUsual() {
  EngineSpeeds speeds;
  for (int i = 0; i < 21; ++i)
    speeds.OnStream(kService, kTier, Process("usual" + std::to_string(i)),
                    kUsual);
  REQUIRE(speeds.TakeNews().empty());
  return speeds;
}

}  // namespace

TEST_CASE("streams change the speed of their engine") {
  struct Row {
    const char* load;
    std::vector<double> streams;  ///< speeds that they show
    double expected;
  };
  const Row row = GENERATE(values<Row>({
      {"usual", {1, 0.9, 1.1, 1}, 1},
      {"one of four engines of 0.55 beside 1.2", {0.46, 0.46}, 0.5},
      {"one slow stream", {0.4}, 1},
      {"spells of 2.5 times the time", {0.4, 1, 0.4, 1, 0.4}, 1},
      {"an engine that halves", {1, 1, 1, 0.5, 0.5}, 0.5},
      {"slow, and slower in a spell", {0.5, 0.2, 0.5}, 0.5},
      {"a spell of two streams, then the usual", {0.4, 0.4, 1}, 1},
      {"somewhat slower", {0.8, 0.8, 0.8}, 1},
      {"a fast engine needs one stream", {1.5}, std::sqrt(2.0)},
      {"events that arrived together", {50, 50, 50}, 1},
      {"far too slow", {0.01, 0.01}, 0.25},
  }));
  INFO(row.load);
  EngineSpeeds speeds = WithUsual();
  for (const double speed : row.streams)
    speeds.OnStream(kService, kTier, Process("e"), IntervalAt(speed));
  CHECK(speeds.SpeedOf("e", 1) == Approx(row.expected));
  CHECK(speeds.SpeedOf("e", 2) == 1);
  CHECK(speeds.SpeedOf("unknown", 1) == 1);
}

// Guards a host that calls the whole service slow in a burst, when all engines
// take longer.
TEST_CASE("intervals that grow at all engines change no speed") {
  const double growth = GENERATE(1.5, 3.0);
  EngineSpeeds speeds;
  for (int i = 0; i < 400; ++i) {
    const double factor = i < 100 ? 1 : std::min(growth, 1 + (i - 100) / 100.0);
    speeds.OnStream(kService, kTier, Process("e" + std::to_string(i % 20)),
                    FromSeconds(ToSeconds(kUsual) * factor));
  }
  for (int i = 0; i < 20; ++i)
    CHECK(speeds.SpeedOf("e" + std::to_string(i), 1) == 1);
}

// Guards placement by the speeds of engines that are gone.
TEST_CASE("a process that starts again has the usual speed") {
  EngineSpeeds speeds = WithUsual();
  speeds.OnTold({{kService, Process("e", 5), 0.5}});
  REQUIRE(speeds.SpeedOf("e", 5) == 0.5);
  SECTION("a stream of the next process") {
    speeds.OnStream(kService, kTier, Process("e", 6), kUsual);
    CHECK(speeds.SpeedOf("e", 6) == 1);
    CHECK(speeds.SpeedOf("e", 5) == 1);
    speeds.OnTold({{kService, Process("e", 5), 0.5}});
    CHECK(speeds.SpeedOf("e", 6) == 1);
  }
  SECTION("the process is not listed any more") {
    speeds.Expire([](const UpstreamProcess& process) {
      return !(process == Process("e", 5));
    });
    CHECK(speeds.SpeedOf("e", 5) == 1);
  }
  SECTION("it is still listed") {
    speeds.Expire([](const UpstreamProcess&) { return true; });
    CHECK(speeds.SpeedOf("e", 5) == 0.5);
    CHECK(speeds.CountSlow().at(kService) == 1);
  }
}

TEST_CASE("what other hosts tell is used, and not told again") {
  struct Row {
    const char* name;
    double told;
    double expected;
  };
  const Row row = GENERATE(values<Row>({
      {"slow", 0.5, 0.5},
      {"not on the ladder", 0.47, 0.5},
      {"usual", 1, 1},
      {"beyond the ladder", 1e9, 2},
      {"zero", 0, 1},
      {"negative", -1, 1},
      {"no number", std::numeric_limits<double>::quiet_NaN(), 1},
      {"infinite", std::numeric_limits<double>::infinity(), 2},
  }));
  INFO(row.name);
  EngineSpeeds speeds = WithUsual();
  speeds.OnTold({{kService, Process("e"), row.told}});
  CHECK(speeds.SpeedOf("e", 1) == Approx(row.expected));
  CHECK(speeds.TakeNews().empty());
  const std::vector<EngineSpeedChange> changes = speeds.TakeChanges();
  CHECK(changes.size() == (row.expected == 1 ? 0 : 1));
  // One stream at the usual speed refutes a slow one.
  speeds.OnStream(kService, kTier, Process("e"), kUsual);
  if (row.expected < 1) {
    const std::vector<EngineSpeed> news = speeds.TakeNews();
    REQUIRE(news.size() == 1);
    CHECK(news[0].engine == Process("e"));
    CHECK(news[0].speed == 1);
  }
}

// Guards the hosts of a fleet that rank prompts differently, since each sees an
// engine once in a quarter of a minute only.
TEST_CASE("hosts that tell each other agree within seconds") {
  struct Row {
    const char* name;
    double slow_part;    ///< of the engines
    double spells_part;  ///< of the streams, 2.5 times as long
  };
  const Row row = GENERATE(values<Row>({
      {"a quarter slow", 0.25, 0},
      {"a quarter slow, with spells", 0.25, 0.15},
      {"all alike, with spells", 0, 0.15},
  }));
  INFO(row.name);
  constexpr int kHosts = 62;
  constexpr int kEngines = 140;
  constexpr int kStreamsPerSecond = 570;
  constexpr int kSeconds = 20;
  std::mt19937 rng(20261207);
  const auto uniform = [&rng] {
    return std::uniform_real_distribution<>(0, 1)(rng);
  };
  const auto is_slow = [&](int engine) {
    return engine < row.slow_part * kEngines;
  };
  std::vector<EngineSpeeds> hosts(kHosts);
  size_t messages = 0;
  int wrong = 0;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < kStreamsPerSecond; ++i) {
      const int engine = static_cast<int>(uniform() * kEngines);
      double speed = (is_slow(engine) ? 0.55 : 1.2) * (0.9 + 0.2 * uniform());
      if (uniform() < row.spells_part)
        speed /= 2.5;
      hosts[static_cast<size_t>(uniform() * kHosts)].OnStream(
          kService, kTier, Process("e" + std::to_string(engine)),
          IntervalAt(speed));
    }
    std::vector<EngineSpeed> news;
    for (EngineSpeeds& host : hosts) {
      for (EngineSpeed& told : host.TakeNews())
        news.push_back(std::move(told));
    }
    messages += news.size();
    for (EngineSpeeds& host : hosts)
      host.OnTold(news);
    if (second < kSeconds / 2)
      continue;
    for (int engine = 0; engine < kEngines; ++engine) {
      const double speed = hosts[0].SpeedOf("e" + std::to_string(engine), 1);
      wrong += (speed < 0.8) != is_slow(engine);
    }
  }
  CHECK(wrong <= 0.05 * kEngines * kSeconds / 2);
  // Each message reaches each host.
  CHECK(messages <= size_t{kEngines} * kSeconds / 2);
}

}  // namespace teaselhill::engines
