/// \file
/// Baseline policies: round-robin and least reported load.

#include <algorithm>
#include <map>

#include "teaselhill/routing/routing_policy.h"

namespace teaselhill::routing {

namespace {

/// Returns the upstreams that may receive new requests, whatever their load.
std::vector<uint32_t> UsableUpstreams(const RouteRequest& request,
                                      const UpstreamTable& table,
                                      TimePoint now) {
  std::vector<uint32_t> usable;
  const auto& serving = request.kind == UpstreamKind::kEngine
                            ? table.ServingModel(request.target)
                            : table.ServingService(request.target);
  for (const uint32_t index : serving) {
    const Upstream& upstream = table.At(index);
    if (!IsExcluded(request, table, upstream) &&
        !table.IsLeaving(upstream, now))
      usable.push_back(index);
  }
  return usable;
}

Choice MakeChoice(const UpstreamTable& table,
                  uint32_t index,
                  int load,
                  ChoiceReason reason,
                  size_t usable) {
  Choice choice;
  CandidateEstimate estimate;
  estimate.upstream = choice.upstream = table.At(index).spec.name;
  estimate.load = load;
  estimate.max_batch = table.MaxBatch(table.At(index));
  choice.candidates.push_back(std::move(estimate));
  choice.reason = reason;
  choice.eligible = static_cast<int>(usable);
  return choice;
}

NoCapacity AllFull(const std::vector<uint32_t>& usable) {
  const int count = static_cast<int>(usable.size());
  return NoCapacity{count, 0, count, 0};
}

/// Chooses among the upstreams that may get the request at all.
class BaselinePolicy : public RoutingPolicy {
 public:
  RouteResult Choose(const RouteRequest& request,
                     const UpstreamTable& table,
                     Rng& rng,
                     TimePoint now) final {
    const std::vector<uint32_t> usable = UsableUpstreams(request, table, now);
    if (usable.empty())
      return NoUpstream{};
    return ChooseAmong(usable, request, table, rng, now);
  }

 private:
  /// `usable` holds one index at least.
  virtual RouteResult ChooseAmong(const std::vector<uint32_t>& usable,
                                  const RouteRequest& request,
                                  const UpstreamTable& table,
                                  Rng& rng,
                                  TimePoint now) = 0;
};

class RoundRobinPolicy : public BaselinePolicy {
  RouteResult ChooseAmong(const std::vector<uint32_t>& usable,
                          const RouteRequest& request,
                          const UpstreamTable& table,
                          Rng& rng,
                          TimePoint now) override {
    size_t& next = next_[request.target];
    for (size_t tried = 0; tried < usable.size(); ++tried) {
      const uint32_t index = usable[next++ % usable.size()];
      const int load = table.CorrectedLoad(table.At(index), now);
      if (load < table.MaxBatch(table.At(index)))
        return MakeChoice(table, index, load, ChoiceReason::kRoundRobin,
                          usable.size());
    }
    return AllFull(usable);
  }

  std::map<std::string, size_t> next_;
};

class LeastLoadPolicy : public BaselinePolicy {
  RouteResult ChooseAmong(const std::vector<uint32_t>& usable,
                          const RouteRequest& request,
                          const UpstreamTable& table,
                          Rng& rng,
                          TimePoint now) override {
    const auto reported = [&](uint32_t index) {
      const Upstream& upstream = table.At(index);
      return upstream.has_report
                 ? upstream.report.running + upstream.report.waiting
                 : static_cast<int>(upstream.own_in_flight);
    };
    int lowest = reported(usable.front());
    for (const uint32_t index : usable)
      lowest = std::min(lowest, reported(index));
    std::vector<uint32_t> ties;
    for (const uint32_t index : usable) {
      if (reported(index) == lowest)
        ties.push_back(index);
    }
    const uint32_t least = ties[rng.Below(ties.size())];
    if (reported(least) >= table.MaxBatch(table.At(least)))
      return AllFull(usable);
    return MakeChoice(table, least, reported(least),
                      ChoiceReason::kLeastReported, usable.size());
  }
};

const RoutingPolicyRegistration kRoundRobinRegistration(
    "round-robin",
    [](RoutingOptions) -> std::unique_ptr<RoutingPolicy> {
      return std::make_unique<RoundRobinPolicy>();
    });

const RoutingPolicyRegistration kLeastLoadRegistration(
    "least-load",
    [](RoutingOptions) -> std::unique_ptr<RoutingPolicy> {
      return std::make_unique<LeastLoadPolicy>();
    });

}  // namespace

}  // namespace teaselhill::routing
