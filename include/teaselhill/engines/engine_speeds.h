/// \file
/// Speeds of the engines of a service against each other.

#ifndef TEASELHILL_ENGINES_ENGINE_SPEEDS_H_
#define TEASELHILL_ENGINES_ENGINE_SPEEDS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::engines {

struct EngineSpeedsOptions {
  /// Recent streams among which the usual interval is found, and how many of
  /// them have to be known before an engine is compared with it.
  size_t usual_streams = 63;
  size_t min_usual_streams = 21;
  /// Place of the usual interval in the order of these. Below the middle, since
  /// streams of slow engines and spells of sound ones may be half of them.
  double usual_quantile = 0.4;
  /// The newest of them, whose median shows that all intervals grow or shrink.
  size_t newest_streams = 9;
  /// Slow streams in a row that lower a speed. One may come from a spell of
  /// less than a second.
  int slow_streams = 2;
};

/// The speed of an engine as hosts tell it each other.
struct EngineSpeed {
  std::string service;
  UpstreamProcess engine;
  /// Tokens it makes in a second, against the usual engine of its service.
  double speed = 1;
};

/// A change of a speed on this host, for the log.
struct EngineSpeedChange {
  EngineSpeed now;
  double previous = 1;
  bool told = false;    ///< by another host
  Duration interval{};  ///< between the events of the stream that showed it
  Duration usual{};     ///< interval of the usual engine
};

/// Learns the speeds of engines from the streams that this host relays, and
/// from other hosts. A speed is a step of a ladder, so that hosts agree on it
/// although each sees other streams.
///
/// An engine cannot exceed its speed, so one stream raises it, while a slow
/// stream may have other causes. An engine of which nothing is known has the
/// usual speed. Deterministic: intervals are arguments.
class EngineSpeeds {
 public:
  explicit EngineSpeeds(EngineSpeedsOptions options = {}) : options_(options) {}

  /// A stream of the engine has ended. Streams of one tier are compared with
  /// each other, since engines may be set apart for a tier.
  void OnStream(const std::string& service,
                int tier,
                const UpstreamProcess& engine,
                Duration interval);

  /// What other hosts tell. Speeds that are not positive are ignored.
  void OnTold(const std::vector<EngineSpeed>& speeds);

  /// 1 unless another speed is known of this process.
  double SpeedOf(const std::string& engine, uint64_t incarnation) const;

  /// What to tell the other hosts since the last call.
  std::vector<EngineSpeed> TakeNews() { return std::exchange(news_, {}); }

  /// The changes since the last call.
  std::vector<EngineSpeedChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

  /// Number of engines below the usual speed, by service.
  std::map<std::string, double> CountSlow() const;

  /// Removes the engines that `is_listed` does not know, and makes the usual
  /// speed that of most engines again; `engine_count` tells how many a service
  /// has. Call about once a second.
  void Expire(const std::function<bool(const UpstreamProcess&)>& is_listed,
              const std::function<size_t(const std::string&)>& engine_count);

 private:
  struct Engine {
    std::string service;
    uint64_t incarnation = 0;
    int step = 0;  ///< of the ladder; 0: the usual speed
    /// Slow streams in a row, and the fastest step among them.
    int slow_streams = 0;
    int fastest_slow_step = 0;
  };
  /// Intervals of recent streams, as the usual engine would have them.
  using UsualIntervals = std::deque<Duration>;
  /// The usual interval, as far as it is known while all intervals change.
  struct UsualRange {
    Duration shortest{};
    Duration longest{};
  };
  /// Places on the ladder that a stream allows.
  struct PositionRange {
    double slowest = 0;
    double fastest = 0;
  };

  /// The engine's state, new if the process is a later one; null if it is an
  /// earlier one.
  Engine* FindOrAdd(const std::string& service, const UpstreamProcess& process);
  UsualRange FindUsual(const UsualIntervals& intervals) const;
  /// Returns the step to which the stream moves the engine.
  int StepAfterStream(Engine& engine, const PositionRange& position) const;
  /// Steps are relative to an interval that is itself found by them, so all of
  /// them may drift; shifts those of the service if most engines have one.
  void Recenter(const std::string& service, size_t engine_count);
  EngineSpeedChange SetStep(const UpstreamProcess& process,
                            Engine& engine,
                            int step);
  void AddNews(const EngineSpeed& speed);

  EngineSpeedsOptions options_;
  std::map<std::pair<std::string, int>, UsualIntervals> usual_intervals_;
  std::unordered_map<std::string, Engine> engines_;  ///< by id
  std::vector<EngineSpeed> news_;
  std::vector<EngineSpeedChange> changes_;
};

}  // namespace teaselhill::engines

#endif  // TEASELHILL_ENGINES_ENGINE_SPEEDS_H_
