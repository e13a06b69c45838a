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
  std::optional<Placed> Choose(const PlacementRequest& request,
                               const UpstreamList& upstreams,
                               const UpstreamHealth& health,
                               TimePoint now) override {
    const Eligible eligible = FindEligible(request, upstreams, health, now);
    if (eligible.candidates().empty())
      return std::nullopt;
    Placed placed;
    placed.candidates = static_cast<int>(eligible.candidates().size());
    placed.ejected = static_cast<int>(eligible.ejected.size());
    Pick(eligible.candidates(), &placed);
    if (eligible.usable.empty())
      placed.reason = PlacementReason::kAllEjected;
    return placed;
  }

  void OnSent(const PlacementRequest&,
              const UpstreamEntry& upstream,
              TimePoint) override {
    ++in_flight_[upstream.id];
  }
  void OnBegun(const PlacementRequest&, const std::string&) override {}
  void OnEnded(const PlacementRequest&,
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
  void Expire(TimePoint) override {
    for (auto entry = in_flight_.begin(); entry != in_flight_.end();)
      entry = entry->second == 0 ? in_flight_.erase(entry) : std::next(entry);
  }

 protected:
  using Candidates = std::vector<const UpstreamEntry*>;
  virtual void Pick(const Candidates& candidates, Placed* placed) = 0;

  int InFlight(const UpstreamEntry& upstream) const {
    const auto found = in_flight_.find(upstream.id);
    return found == in_flight_.end() ? 0 : found->second;
  }

 private:
  std::unordered_map<std::string, int> in_flight_;
};

class RoundRobinPlacement : public BaselinePlacement {
 private:
  void Pick(const Candidates& candidates, Placed* placed) override {
    placed->upstream = *candidates[next_++ % candidates.size()];
    placed->reason = PlacementReason::kRoundRobin;
  }

  size_t next_ = 0;
};

class LeastLoadPlacement : public BaselinePlacement {
 private:
  void Pick(const Candidates& candidates, Placed* placed) override {
    // The first candidate rotates between calls, so that hosts do not all
    // choose the same one of several equally loaded upstreams.
    size_t best = next_++ % candidates.size();
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (InFlight(*candidates[i]) < InFlight(*candidates[best]))
        best = i;
    }
    placed->upstream = *candidates[best];
    placed->reason = PlacementReason::kLeastLoad;
  }

  size_t next_ = 0;
};

template <typename Policy>
PlacementRegistration Register(const char* name) {
  return PlacementRegistration(
      name, [](const PlacementOptions&) { return std::make_unique<Policy>(); });
}

const PlacementRegistration kRoundRobin =
    Register<RoundRobinPlacement>("round-robin");
const PlacementRegistration kLeastLoad =
    Register<LeastLoadPlacement>("least-load");

}  // namespace

}  // namespace teaselhill::gateway
