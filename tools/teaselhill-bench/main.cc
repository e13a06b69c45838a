/// \file
/// Relay benchmark: prints one JSON object with latency and event rate.

#include <CLI/CLI.hpp>
#include <iostream>

#include "teaselhill/load/relay_bench.h"
#include "teaselhill/support/logger.h"

int main(int argc, char** argv) {
  using namespace teaselhill;
  load::RelayBenchOptions options;
  std::string key;
  double seconds = 5;
  double think_ms = 0;
  CLI::App app("Measures streamed answers of a router or an engine.");
  app.add_option("--url", options.urls, "base URLs on loopback")
      ->required()
      ->check([](const std::string& url) {
        return url.rfind("http://127.", 0) == 0 ? std::string()
                                                : "must be http://127...";
      });
  app.add_option("--key", key, "bearer key");
  app.add_option("--model", options.model, "model")->required();
  app.add_option("--tokens", options.tokens, "tokens of an answer at most");
  app.add_option("--streams", options.streams, "open streams");
  app.add_option("--threads", options.threads, "client threads");
  app.add_option("--seconds", seconds, "duration")
      ->check(CLI::Range(0.1, 60.0));
  app.add_option("--think-ms", think_ms, "pause between two answers");
  CLI11_PARSE(app, argc, argv);
  options.duration = FromSeconds(seconds);
  options.think_time = FromSeconds(think_ms / 1000);
  if (!key.empty())
    options.headers.push_back({"Authorization", "Bearer " + key});
  const load::RelayBenchResult result = load::RunRelayBench(options);
  LogLine line(LogLevel::kInfo, "bench");
  line.Field("answers", result.answers)
      .Field("failures", result.failures)
      .Field("events", result.events)
      .Field("events_per_second", result.events_per_second)
      .Field("first_token_ms_p50", load::Quantile(result.first_token, 0.5))
      .Field("first_token_ms_p99", load::Quantile(result.first_token, 0.99));
  std::cout << line.Finish() << std::endl;
  return result.answers > 0 ? 0 : 1;
}
