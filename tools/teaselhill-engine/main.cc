/// \file
/// Stand-in model engine.

#include "teaselhill/standin/engine.h"
#include "teaselhill/standin/program.h"

int main(int argc, char** argv) {
  using namespace teaselhill::standin;
  EngineOptions options;
  options.common.name = "engine";
  ProgramFlags flags("Stand-in model engine");
  flags.AddCommon(&options.common);
  flags.Add("--models", &options.models, "models loaded at start");
  flags.Add("--max-batch", &options.batch.max_batch,
            "streams that run at once");
  flags.Add(
      "--token-ms", &options.batch.token_time,
      "time per token of a stream that runs alone; 0: as fast as possible");
  flags.Add("--batch-slowdown", &options.batch.batch_slowdown,
            "share of the time per token that each further stream adds");
  flags.Add("--prefill-tokens-per-second",
            &options.batch.prefill_tokens_per_second, "prefill rate");
  flags.Add("--max-step-tokens", &options.batch.max_step_tokens,
            "tokens that one stream may emit in a step");
  flags.Add("--step-ms", &options.step, "period of the batch step");
  flags.Add("--max-waiting", &options.max_waiting, "limit of the queue");
  flags.Add("--cache-tokens", &options.cache.capacity_tokens,
            "size of the prefix cache");
  flags.Add("--cache-event-lag-ms", &options.cache.event_lag,
            "delay of cache events");
  flags.Add("--cache-event-loss", &options.cache.event_loss,
            "share of cache events that are lost");
  flags.Add("--report-lag-ms", &options.report_lag, "lag of load reports");
  flags.Add("--checks-fencing", &options.checks_fencing,
            "refuse orders with an old fencing number");
  flags.Add("--weights-url", &options.weights_url, "weight store");
  flags.Add("--load-ms", &options.load_time, "time to load fetched weights");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  options.cache.seed = options.common.seed;
  teaselhill::net::EventLoop loop;
  Engine engine(loop, options);
  return RunStandIn(loop, engine, options.common);
}
