/// \file
/// Open-loop load generator and answer checker.

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "teaselhill/load/runner.h"
#include "teaselhill/standin/program.h"

namespace {

constexpr std::chrono::seconds kProgressPeriod{1};

/// Exit code of the result codes 7xxx (settings).
constexpr int kBadSettings = 7;

void ShowProgress(const teaselhill::load::RunProgress& progress) {
  std::fprintf(stderr, "\r%.0f s, %zu of %zu requests, %zu open   ",
               teaselhill::ToSeconds(progress.elapsed), progress.arrived,
               progress.arrivals, progress.open);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace teaselhill;
  std::string plan_file;
  std::string csv_file;
  uint64_t seed = 0;
  standin::ProgramFlags flags(
      "Open-loop load generator; docs/load-plan.md describes the plan");
  flags.Add("--plan", &plan_file, "plan file");
  flags.Add("--csv", &csv_file, "file for one row per request");
  flags.Add("--seed", &seed, "seed; 0: the plan's");
  if (const auto exit_code = flags.Parse(argc, argv))
    return *exit_code;
  std::ifstream file(plan_file);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::fprintf(stderr, "cannot read the plan '%s'\n", plan_file.c_str());
    return kBadSettings;
  }
  Result<load::Plan> plan = load::ParsePlan(text.str());
  if (!plan) {
    std::fprintf(stderr, "%s: %s\n", plan_file.c_str(),
                 plan.error().message.c_str());
    return kBadSettings;
  }
  if (seed != 0)
    plan->seed = seed;
  net::EventLoop loop;
  load::Runner runner(loop, *plan);
  TimerSubscription progress;
  const bool terminal = isatty(STDERR_FILENO) != 0;
  if (terminal) {
    progress = loop.timers().Subscribe(
        kProgressPeriod, [&](TimePoint) { ShowProgress(runner.progress()); });
  }
  runner.Start([&loop] { loop.Stop(); });
  loop.Run();
  if (terminal)
    std::fputc('\n', stderr);
  if (!csv_file.empty())
    std::ofstream(csv_file)
        << load::ToCsv(*plan, runner.requests(), runner.journals());
  std::printf("%s\n", load::ToJson(runner.MakeSummary()).c_str());
  return 0;
}
