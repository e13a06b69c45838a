/// \file
/// Simulates hosts that share engines and receive delayed load reports;
/// produces the figures of docs/decisions/routing.md.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <deque>

#include "testing.h"

namespace teaselhill::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261203;
constexpr int kSeedCount = 8;
constexpr int kHosts = 6;
constexpr int kEngines = 12;
constexpr int kMaxBatch = 8;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kDuration = seconds(120);
constexpr Duration kTimePerToken = milliseconds(20);
constexpr Duration kReportPeriod =
    milliseconds(500);  // also the delay of each report
constexpr Duration kPeerPeriod = milliseconds(100);

struct SimulationSetup {
  std::string policy;
  int sample_size = 2;
  bool peers = true;    ///< whether hosts exchange sends
  int slow_factor = 1;  ///< slowdown of engine 0
  double utilisation = 0.8;
};

struct SimulationResult {
  double engine_wait_p95_ms = 0;  ///< wait in engine queues
  double start_p95_ms = 0;        ///< wait in host and engine queues
  double total_p99_ms = 0;
  int max_queue_length = 0;
};

struct Job {
  int host = 0;
  AttemptId attempt = 0;
  TimePoint arrived;
  TimePoint sent;
  double tokens = 0;
  double done = 0;
};

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  return values.empty()
             ? 0
             : values[static_cast<size_t>(quantile * (values.size() - 1))];
}

class Simulation {
 public:
  Simulation(const SimulationSetup& setup, uint64_t seed)
      : setup_(setup), rng_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      tables_.emplace_back(HostIncarnation{"h" + std::to_string(i), 1});
      tables_.back().SetUpstreams(Engines(kEngines), now_);
      policies_.push_back(MakePolicy(setup.policy, setup.sample_size));
      rngs_.emplace_back(seed * 100 + static_cast<uint64_t>(i));
    }
  }

  SimulationResult Run() {
    const TimePoint begin = now_;
    for (; now_ - begin < kDuration; now_ += kStep) {
      AddArrivals();
      StartQueued();
      RunEngines();
      ExchangeReports(now_ - begin);
    }
    result_.engine_wait_p95_ms = Quantile(engine_waits_, 0.95);
    result_.start_p95_ms = Quantile(start_waits_, 0.95);
    result_.total_p99_ms = Quantile(total_times_, 0.99);
    return result_;
  }

 private:
  struct Engine {
    std::vector<Job> running;
    std::deque<Job> waiting;
  };
  void AddArrivals() {
    constexpr double kMeanTokens = 120;
    const double slots = (kEngines - 1 + 1.0 / setup_.slow_factor) * kMaxBatch;
    const double rate =
        setup_.utilisation * slots / (kMeanTokens * ToSeconds(kTimePerToken));
    if (rng_.Uniform() >= rate * ToSeconds(kStep))
      return;
    Job job;
    job.host = static_cast<int>(rng_.Below(kHosts));
    job.attempt = ++last_attempt_;
    job.arrived = now_;
    job.tokens = 1 - kMeanTokens * std::log(1 - rng_.Uniform());
    queues_[job.host].push_back(job);
  }

  void StartQueued() {
    for (int host = 0; host < kHosts; ++host) {
      while (!queues_[host].empty()) {
        Job& job = queues_[host].front();
        RouteRequest request;
        request.target = "m";
        request.tier = 5;
        const RouteResult result =
            policies_[host]->Choose(request, tables_[host], rngs_[host], now_);
        const Choice* const choice = std::get_if<Choice>(&result);
        if (choice == nullptr)
          break;
        job.sent = now_;
        tables_[host].OnAttemptSent(Attempt(job.attempt, choice->upstream),
                                    now_);
        engines_[std::stoi(choice->upstream.substr(1))].waiting.push_back(job);
        queues_[host].pop_front();
      }
    }
  }

  void RunEngines() {
    for (int i = 0; i < kEngines; ++i) {
      Engine& engine = engines_[i];
      while (!engine.waiting.empty() && engine.running.size() < kMaxBatch) {
        Job job = engine.waiting.front();
        engine.waiting.pop_front();
        engine_waits_.push_back(ToMilliseconds(now_ - job.sent));
        start_waits_.push_back(ToMilliseconds(now_ - job.arrived));
        tables_[job.host].OnFirstToken(job.attempt, now_);
        engine.running.push_back(job);
      }
      result_.max_queue_length = std::max(
          result_.max_queue_length, static_cast<int>(engine.waiting.size()));
      const double factor = i == 0 ? setup_.slow_factor : 1;
      for (size_t j = engine.running.size(); j-- > 0;) {
        Job& job = engine.running[j];
        job.done += ToSeconds(kStep) / (ToSeconds(kTimePerToken) * factor);
        tables_[job.host].OnProgress(job.attempt,
                                     1 + static_cast<uint32_t>(job.done), now_);
        if (job.done < job.tokens)
          continue;
        tables_[job.host].OnAttemptEnded(job.attempt, EndKind::kCompleted,
                                         now_);
        total_times_.push_back(ToMilliseconds(now_ - job.arrived));
        engine.running.erase(engine.running.begin() +
                             static_cast<std::ptrdiff_t>(j));
      }
    }
  }

  void ExchangeReports(Duration elapsed) {
    // Each load report is delivered when the next report is measured.
    for (int i = 0; elapsed % kReportPeriod == Duration{} && i < kEngines;
         ++i) {
      for (UpstreamTable& table : tables_)
        table.OnLoadReport("e" + std::to_string(i), reports_[i], now_);
      reports_[i] = {static_cast<int>(engines_[i].running.size()),
                     static_cast<int>(engines_[i].waiting.size()), kMaxBatch, 0,
                     kReportPeriod};
    }
    if (setup_.peers && elapsed % kPeerPeriod == Duration{}) {
      for (int from = 0; from < kHosts; ++from) {
        const UpstreamSends message = tables_[from].MakeSendsMessage(now_);
        for (int to = 0; to < kHosts; ++to)
          tables_[to].OnPeerSends(message, now_);
      }
    }
    if (elapsed % milliseconds(250) == Duration{}) {
      for (UpstreamTable& table : tables_)
        table.Tick(now_);
    }
  }

  SimulationSetup setup_;
  Rng rng_;
  TimePoint now_ = kStart;
  AttemptId last_attempt_ = 0;
  std::vector<UpstreamTable> tables_;
  std::vector<std::unique_ptr<RoutingPolicy>> policies_;
  std::vector<Rng> rngs_;
  std::deque<Job> queues_[kHosts];
  Engine engines_[kEngines];
  LoadReport reports_[kEngines];
  std::vector<double> engine_waits_;
  std::vector<double> start_waits_;
  std::vector<double> total_times_;
  SimulationResult result_;
};

/// Returns the means over `kSeedCount` seeds, and the longest queue of all
/// seeds.
SimulationResult Run(const SimulationSetup& setup) {
  SimulationResult mean;
  for (uint64_t seed = kSeed; seed < kSeed + kSeedCount; ++seed) {
    const SimulationResult seed_result = Simulation(setup, seed).Run();
    mean.engine_wait_p95_ms += seed_result.engine_wait_p95_ms / kSeedCount;
    mean.start_p95_ms += seed_result.start_p95_ms / kSeedCount;
    mean.total_p99_ms += seed_result.total_p99_ms / kSeedCount;
    mean.max_queue_length =
        std::max(mean.max_queue_length, seed_result.max_queue_length);
  }
  std::printf(
      "%.2f %-11s draws %2d peers %d slow %d: engine wait p95 %.0f ms, "
      "start p95 %.0f ms, total p99 %.0f ms, longest engine queue %d\n",
      setup.utilisation, setup.policy.c_str(), setup.sample_size, setup.peers,
      setup.slow_factor, mean.engine_wait_p95_ms, mean.start_p95_ms,
      mean.total_p99_ms, mean.max_queue_length);
  return mean;
}

}  // namespace

// Guards against the herd effect: all hosts send to the engine that a stale
// report shows as the least loaded.
TEST_CASE("the adaptive policy avoids the herd effect of stale load reports") {
  const double utilisation = GENERATE(0.6, 0.9);
  const SimulationResult least_load_result =
      Run({"least-load", 2, true, 1, utilisation});
  const SimulationResult result = Run({"adaptive", 2, true, 1, utilisation});
  CHECK(result.engine_wait_p95_ms < least_load_result.engine_wait_p95_ms / 4);
  CHECK(result.start_p95_ms < least_load_result.start_p95_ms);
  CHECK(result.max_queue_length <= kMaxBatch);
}

// Guards against a straggler that receives as much work as other engines
// because its load reports look like theirs.
TEST_CASE("the adaptive policy lowers tail latency beside a straggler") {
  const SimulationResult round_robin_result =
      Run({"round-robin", 2, true, 4, 0.6});
  const SimulationResult result = Run({"adaptive", 2, true, 4, 0.6});
  CHECK(result.total_p99_ms < 0.9 * round_robin_result.total_p99_ms);
}

// Prints the figures of each policy for docs/decisions/routing.md.
TEST_CASE("comparison of routing policies", "[.measure]") {
  for (const double utilisation : {0.6, 0.8, 0.9, 0.95}) {
    Run({"round-robin", 2, true, 1, utilisation});
    Run({"least-load", 2, true, 1, utilisation});
    for (const int sample_size : {1, 2, 4, 16})
      Run({"adaptive", sample_size, true, 1, utilisation});
    Run({"adaptive", 2, false, 1, utilisation});
  }
  for (const char* policy : {"round-robin", "least-load", "adaptive"})
    Run({policy, 2, true, 4, 0.6});
}

}  // namespace teaselhill::routing
