/// \file
/// Baseline policies for comparison with the affinity policy.

#include <algorithm>
#include <unordered_map>

#include "teaselhill/gateway/placement.h"

namespace teaselhill::gateway {

namespace {

/// Counts requests in flight and ignores prompts.
class BaselinePlacement : public PlacementPolicy {
 public:
  std::optional<Placement> ChooseUpstream(const PlacementRequest& request,
                                          const UpstreamList& upstreams,
                                          const UpstreamHealth& health,
                                          TimePoint now) override {
    const EligibleUpstreams eligible =
        FindEligibleUpstreams(request, upstreams, health, now);
    if (eligible.candidates().empty())
      return std::nullopt;
    Placement placement;
    placement.candidate_count = static_cast<int>(eligible.candidates().size());
    placement.ejected_count = static_cast<int>(eligible.ejected.size());
    PickCandidate(eligible.candidates(), &placement);
    if (eligible.usable.empty())
      placement.reason = PlacementReason::kAllEjected;
    return placement;
  }

  void OnRequestSent(const PlacementRequest&,
                     const UpstreamEntry& upstream,
                     TimePoint) override {
    ++in_flight_[upstream.id];
  }
  void OnAnswerStarted(const PlacementRequest&, const std::string&) override {}
  void OnAttemptEnded(const PlacementRequest&,
                      const std::string& upstream,
                      bool) override {
    int& count = in_flight_[upstream];
    count = std::max(0, count - 1);
  }
  Duration ExpectedPrefill(const PlacementRequest&,
                           const UpstreamEntry&,
                           TimePoint) const override {
    return Duration::zero();
  }
  void ExpireUnused(TimePoint) override {
    for (auto entry = in_flight_.begin(); entry != in_flight_.end();)
      entry = entry->second == 0 ? in_flight_.erase(entry) : std::next(entry);
  }

 protected:
  using Candidates = std::vector<const UpstreamEntry*>;
  virtual void PickCandidate(const Candidates& candidates,
                             Placement* placement) = 0;

  int InFlight(const UpstreamEntry& upstream) const {
    const auto found = in_flight_.find(upstream.id);
    return found == in_flight_.end() ? 0 : found->second;
  }

 private:
  std::unordered_map<std::string, int> in_flight_;
};

class RoundRobinPlacement : public BaselinePlacement {
 private:
  void PickCandidate(const Candidates& candidates,
                     Placement* placement) override {
    placement->upstream = *candidates[next_index_++ % candidates.size()];
    placement->reason = PlacementReason::kRoundRobin;
  }

  size_t next_index_ = 0;
};

class LeastLoadPlacement : public BaselinePlacement {
 private:
  void PickCandidate(const Candidates& candidates,
                     Placement* placement) override {
    // The first candidate rotates between calls, so that hosts do not all
    // choose the same one of several equally loaded upstreams.
    size_t best_index = next_index_++ % candidates.size();
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (InFlight(*candidates[i]) < InFlight(*candidates[best_index]))
        best_index = i;
    }
    placement->upstream = *candidates[best_index];
    placement->reason = PlacementReason::kLeastLoad;
  }

  size_t next_index_ = 0;
};

template <typename Policy>
PlacementRegistration RegisterPolicy(const char* name) {
  return PlacementRegistration(
      name, [](const PlacementOptions&) { return std::make_unique<Policy>(); });
}

const PlacementRegistration kRoundRobin =
    RegisterPolicy<RoundRobinPlacement>("round-robin");
const PlacementRegistration kLeastLoad =
    RegisterPolicy<LeastLoadPlacement>("least-load");

}  // namespace

}  // namespace teaselhill::gateway
