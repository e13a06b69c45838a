/// \file
/// Measures first-token latency and event rate of streamed answers.

#ifndef TEASELHILL_LOAD_RELAY_BENCH_H_
#define TEASELHILL_LOAD_RELAY_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselhill/net/http_types.h"
#include "teaselhill/support/time.h"

namespace teaselhill::load {

struct RelayBenchOptions {
  std::vector<std::string> urls;  ///< used in turn, loopback only
  net::Headers headers;
  std::string model;
  uint32_t tokens = 256;  ///< of each answer at most
  int streams = 16;       ///< open at a time
  int threads = 2;        ///< client threads
  Duration duration = std::chrono::seconds(5);
  /// Pause of a stream between two answers; sets the load.
  Duration think_time{};
};

struct RelayBenchResult {
  uint64_t answers = 0;
  uint64_t failures = 0;
  uint64_t events = 0;
  double events_per_second = 0;
  std::vector<Duration> first_token;  ///< ascending
};

/// Blocks for the duration. Starts its own threads.
RelayBenchResult RunRelayBench(const RelayBenchOptions& options);

/// Returns the quantile of ascending values, zero if there are none.
Duration Quantile(const std::vector<Duration>& ascending, double quantile);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_RELAY_BENCH_H_
