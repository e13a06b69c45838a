/// \file
/// Guards against slow engines that get as much work as fast ones, and against
/// sound engines that lose their work to a short spell.

#include "teaselhill/engines/engine_speeds.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
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
    speeds.Expire(
        [](const UpstreamProcess& process) {
          return !(process == Process("e", 5));
        },
        [](const std::string&) { return size_t{21}; });
    CHECK(speeds.SpeedOf("e", 5) == 1);
  }
  SECTION("it is still listed") {
    speeds.Expire([](const UpstreamProcess&) { return true; },
                  [](const std::string&) { return size_t{22}; });
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

namespace {

constexpr size_t kHosts = 62;
constexpr int kEngines = 140;
constexpr int kStreamsPerSecond = 570;

/// Hosts that tell each other each second what they have found.
class Fleet {
 public:
  Fleet() : hosts_(kHosts) {}

  /// `interval_of`: of a stream of the engine, in units of the usual one.
  void RunSecond(const std::function<double(int)>& interval_of) {
    for (int i = 0; i < kStreamsPerSecond; ++i) {
      const int engine = static_cast<int>(Uniform() * kEngines);
      hosts_[static_cast<size_t>(Uniform() * kHosts)].OnStream(
          kService, kTier, Process("e" + std::to_string(engine)),
          FromSeconds(ToSeconds(kUsual) * interval_of(engine)));
    }
    std::vector<EngineSpeed> news;
    for (EngineSpeeds& host : hosts_) {
      for (EngineSpeed& told : host.TakeNews())
        news.push_back(std::move(told));
    }
    messages_ += news.size();
    for (EngineSpeeds& host : hosts_) {
      host.OnTold(news);
      host.Expire([](const UpstreamProcess&) { return true; },
                  [](const std::string&) { return size_t{kEngines}; });
    }
  }

  /// Engines, summed over all hosts, that are not on the expected side of the
  /// usual speed.
  int CountWrong(const std::function<double(int)>& speed_of) const {
    int wrong = 0;
    for (const EngineSpeeds& host : hosts_) {
      for (int engine = 0; engine < kEngines; ++engine) {
        const double known = host.SpeedOf("e" + std::to_string(engine), 1);
        const double speed = speed_of(engine);
        wrong +=
            (known < 0.8) != (speed < 0.8) || (known > 1.2) != (speed > 1.2);
      }
    }
    return wrong;
  }

  double Uniform() { return uniform_(rng_); }
  size_t messages() const { return messages_; }

 private:
  std::mt19937 rng_{20261207};
  std::uniform_real_distribution<> uniform_{0, 1};
  std::vector<EngineSpeeds> hosts_;
  size_t messages_ = 0;
};

}  // namespace

// Guards the hosts of a fleet that rank prompts differently, since each sees an
// engine once in a quarter of a minute only.
TEST_CASE("hosts that tell each other agree within seconds") {
  struct Row {
    const char* name;
    double part;         ///< of the engines that differ
    double speed;        ///< of these
    double spells_part;  ///< of the streams, 2.5 times as long
  };
  const Row row = GENERATE(values<Row>({
      {"a quarter slow", 0.25, 0.46, 0},
      {"a quarter slow, with spells", 0.25, 0.46, 0.15},
      {"a quarter fast, with spells", 0.25, 2.2, 0.15},
      {"all alike, with spells", 0, 1, 0.15},
  }));
  INFO(row.name);
  constexpr int kSeconds = 24;
  Fleet fleet;
  const auto speed_of = [&row](int engine) {
    return engine < row.part * kEngines ? row.speed : 1;
  };
  double wrong = 0;
  for (int second = 0; second < kSeconds; ++second) {
    fleet.RunSecond([&](int engine) {
      const double spell = fleet.Uniform() < row.spells_part ? 2.5 : 1;
      return spell * (0.9 + 0.2 * fleet.Uniform()) / speed_of(engine);
    });
    if (second >= kSeconds / 2)
      wrong += fleet.CountWrong(speed_of);
  }
  CHECK(wrong <= 0.05 * kEngines * kHosts * kSeconds / 2);
  // Each message reaches each host.
  CHECK(fleet.messages() <= size_t{kEngines} * kSeconds / 2);
}

// Guards engines that all seem slow or fast for good after a disturbance, since
// the usual interval is found by their speeds.
TEST_CASE("speeds are the usual ones again after a disturbance") {
  struct Row {
    const char* name;
    double part;      ///< of the streams
    double interval;  ///< of these
  };
  const Row row = GENERATE(values<Row>({
      {"events that arrive together", 0.5, 0.05},
      {"streams in half of the time", 0.3, 0.5},
      {"all streams in twice the time", 1, 2},
      {"all streams in three times the time", 1, 3},
  }));
  INFO(row.name);
  Fleet fleet;
  const auto run = [&](int seconds, double part) {
    for (int second = 0; second < seconds; ++second) {
      fleet.RunSecond([&](int) {
        const double interval = fleet.Uniform() < part ? row.interval : 1;
        return interval * (0.9 + 0.2 * fleet.Uniform());
      });
    }
  };
  run(10, 0);
  run(15, row.part);
  run(35, 0);
  CHECK(fleet.CountWrong([](int) { return 1; }) <= 0.05 * kEngines * kHosts);
}

// Guards prompts that change their engines in the middle of a burst, when
// reading them anew costs most.
TEST_CASE("a sudden growth of all intervals slows few engines") {
  const double growth = GENERATE(1.5, 2.0, 3.0);
  Fleet fleet;
  double wrong = 0;
  for (int second = 0; second < 20; ++second) {
    fleet.RunSecond([&](int) {
      return (second < 10 ? 1 : growth) * (0.9 + 0.2 * fleet.Uniform());
    });
    if (second >= 10)
      wrong += fleet.CountWrong([](int) { return 1; });
  }
  CHECK(wrong <= 0.1 * kEngines * kHosts * 10);
}

}  // namespace teaselhill::engines
