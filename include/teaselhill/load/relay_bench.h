/// \file
/// Measures the first-token latency and event rate of streamed answers.

#ifndef TEASELHILL_LOAD_RELAY_BENCH_H_
#define TEASELHILL_LOAD_RELAY_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/net/http_types.h"
#include "teaselhill/support/time.h"

namespace teaselhill::load {

struct RelayBenchOptions {
  std::vector<std::string> urls;  ///< used round-robin; loopback addresses only
  net::Headers headers;
  std::string model;
  uint32_t tokens = 256;  ///< upper limit for each answer
  /// Concurrent streams over all threads. Each thread has `streams / threads`
  /// streams, rounded down.
  int streams = 16;
  int threads = 2;  ///< client threads
  Duration duration = std::chrono::seconds(5);
  /// Time that each stream waits after an answer before it sends the next
  /// request. A longer time lowers the load.
  Duration think_time{};
};

struct RelayBenchResult {
  uint64_t answers = 0;
  uint64_t failures = 0;
  uint64_t events = 0;
  double events_per_second = 0;
  std::vector<Duration> first_token;  ///< first-token latencies, ascending
};

/// Runs the benchmark on `options.threads` new threads and blocks the calling
/// thread until they have ended, after about `options.duration`.
RelayBenchResult RunRelayBench(const RelayBenchOptions& options);

/// Returns the quantile (0 to 1) of values in ascending order, or zero if there
/// are no values.
Duration Quantile(const std::vector<Duration>& ascending, double quantile);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_RELAY_BENCH_H_
