/// \file
/// Stand-in host list.

#include "teaselhill/standin/host_list.h"
#include "teaselhill/standin/program.h"

int main(int argc, char** argv) {
  using namespace teaselhill::standin;
  HostListOptions options;
  options.common.name = "hostlist";
  ProgramFlags flags("Stand-in host list; set it by PUT /control/hosts");
  flags.AddCommon(&options.common);
  flags.Add("--lag-ms", &options.lag, "time until a change is visible");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  teaselhill::net::EventLoop loop;
  HostList list(loop, options);
  return RunStandIn(loop, list, options.common);
}
