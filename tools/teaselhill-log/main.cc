/// \file
/// Stand-in append-only log.

#include "teaselhill/standin/log.h"
#include "teaselhill/standin/program.h"

int main(int argc, char** argv) {
  using namespace teaselhill::standin;
  LogOptions options;
  options.common.name = "log";
  ProgramFlags flags("Stand-in append-only log");
  flags.AddCommon(&options.common);
  flags.Add("--appends-per-second", &options.store.appends_per_second,
            "records a second over all streams");
  flags.Add("--retention-ms", &options.store.retention, "age limit of records");
  flags.Add("--retained-records", &options.store.retained_records,
            "records kept in each stream");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  teaselhill::net::EventLoop loop;
  Log log(loop, options);
  return RunStandIn(loop, log, options.common);
}
