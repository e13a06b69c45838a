/// \file
/// Stand-in weight store.

#include "teaselhill/standin/program.h"
#include "teaselhill/standin/weight_store.h"

int main(int argc, char** argv) {
  using namespace teaselhill::standin;
  WeightStoreOptions options;
  options.common.name = "weights";
  ProgramFlags flags("Stand-in weight store");
  flags.AddCommon(&options.common);
  flags.Add("--fetches-per-minute", &options.fetches_per_minute, "rate limit");
  flags.Add("--burst", &options.burst, "fetches allowed at once");
  flags.Add("--fetch-ms", &options.fetch_time, "time that a fetch takes");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  teaselhill::net::EventLoop loop;
  WeightStore store(loop, options);
  return RunStandIn(loop, store, options.common);
}
