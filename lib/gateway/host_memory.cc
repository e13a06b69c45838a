/// \file
/// Budgets for unfinished messages, and their gauges.

#include "host_memory.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace teaselhill::gateway {

namespace {

net::MemoryBudget::Post PosterTo(net::EventLoop& loop) {
  return [&loop](std::function<void()> function) {
    loop.Post(std::move(function));
  };
}

}  // namespace

HostMemory::HostMemory(size_t max_memory_bytes,
                       net::EventLoop& traffic_loop,
                       net::EventLoop& control_loop)
    : traffic_(UnfinishedMessageBounds(max_memory_bytes).traffic_bytes,
               PosterTo(traffic_loop)),
      control_(UnfinishedMessageBounds(max_memory_bytes).control_bytes,
               PosterTo(control_loop)) {}

void HostMemory::Report(Metrics& metrics) {
  const std::map<std::string, double> held = {
      {"traffic", static_cast<double>(traffic_.held_bytes())},
      {"control", static_cast<double>(control_.held_bytes())}};
  metrics.SetGauges("teaselhill_held_bytes",
                    "Bytes of requests and answers that have not ended", "loop",
                    held);
  const std::map<std::string, double> limits = {
      {"traffic", static_cast<double>(traffic_.max_bytes())},
      {"control", static_cast<double>(control_.max_bytes())}};
  metrics.SetGauges("teaselhill_held_bytes_limit",
                    "Bound on teaselhill_held_bytes", "loop", limits);
  if (release_schedule_.IsDue(traffic_.held_bytes() + control_.held_bytes()))
    ReleaseFreeMemory();
}

}  // namespace teaselhill::gateway
