/// \file
/// Stand-in plain service.

#include "teaselhill/standin/program.h"
#include "teaselhill/standin/service.h"

int main(int argc, char** argv) {
  using namespace teaselhill::standin;
  ServiceOptions options;
  options.common.name = "service";
  ProgramFlags flags("Stand-in plain service");
  flags.AddCommon(&options.common);
  flags.Add("--work-ms", &options.work_time, "time that a run takes");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  teaselhill::net::EventLoop loop;
  Service service(loop, options);
  return RunStandIn(loop, service, options.common);
}
