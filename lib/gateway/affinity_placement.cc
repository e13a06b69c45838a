/// \file
/// Rendezvous hashing with a bounded queueing delay.

#include "teaselhill/gateway/affinity_placement.h"

#include <algorithm>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// Engines whose load reports are fetched for one request.
static constexpr size_t kMaxContenders = 2;

static const PlacementRegistration kAffinity(
    "affinity",
    [](const PlacementOptions& options) {
      return std::make_unique<AffinityPlacement>(options);
    });

PartShares::Count PartShares::Decayed(const Count& count, TimePoint now) const {
  const double factor = DecayFactor(now - count.at, half_life_);
  return {count.tokens * factor, count.requests * factor, now};
}

void PartShares::Add(uint64_t part, double tokens, TimePoint now) {
  for (Count* count : {&all_, &parts_[part]}) {
    *count = Decayed(*count, now);
    count->tokens += tokens;
    count->requests += 1;
  }
}

double PartShares::ShareOf(uint64_t part, TimePoint now) const {
  const auto found = parts_.find(part);
  if (found == parts_.end())
    return 0;
  const Count own = Decayed(found->second, now);
  const Count all = Decayed(all_, now);
  if (own.requests <= 1 || all.tokens <= 0)
    return 0;
  return own.tokens * (own.requests - 1) / own.requests / all.tokens;
}

void PartShares::Expire(TimePoint now) {
  constexpr double kLeastRequests = 0.05;
  for (auto entry = parts_.begin(); entry != parts_.end();) {
    const bool forgotten =
        Decayed(entry->second, now).requests < kLeastRequests;
    entry = forgotten ? parts_.erase(entry) : std::next(entry);
  }
}

std::optional<Placed> AffinityPlacement::Choose(const PlacementRequest& request,
                                                const UpstreamList& upstreams,
                                                const UpstreamHealth& health,
                                                TimePoint now) {
  const Eligible eligible = FindEligible(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return std::nullopt;
  std::vector<Candidate> candidates = Rank(request, eligible.candidates(), now);
  const uint64_t first_rank = candidates.front().rank;
  for (Candidate& candidate : candidates) {
    candidate.holds = request.affinity != 0 &&
                      (candidate.rank == first_rank ||
                       Holds(request.affinity, *candidate.upstream, now));
    candidate.cost = Cost(request, candidate, health, now);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.cost != b.cost ? a.cost < b.cost : a.rank > b.rank;
            });
  const Candidate& best = candidates.front();
  Placed placed;
  placed.upstream = *best.upstream;
  placed.expected_delay = best.cost;
  placed.second_best = candidates.size() > 1 ? candidates[1].cost : best.cost;
  placed.candidates = static_cast<int>(candidates.size());
  placed.ejected = static_cast<int>(eligible.ejected.size());
  if (eligible.usable.empty())
    placed.reason = PlacementReason::kAllEjected;
  else if (!request.engine)
    placed.reason = PlacementReason::kNearest;
  else if (best.rank == first_rank)
    placed.reason = PlacementReason::kAffinityOwner;
  else if (best.holds)
    placed.reason = PlacementReason::kHolder;
  else
    placed.reason = PlacementReason::kLeastDelay;
  return placed;
}

std::vector<UpstreamEntry> AffinityPlacement::Contenders(
    const PlacementRequest& request,
    const UpstreamList& upstreams,
    const UpstreamHealth& health,
    TimePoint now) const {
  std::vector<UpstreamEntry> contenders;
  if (!request.engine || request.affinity == 0)
    return contenders;
  const Eligible eligible = FindEligible(request, upstreams, health, now);
  if (eligible.candidates().empty())
    return contenders;
  for (const Candidate& candidate : Rank(request, eligible.candidates(), now)) {
    if (contenders.size() < kMaxContenders)
      contenders.push_back(*candidate.upstream);
  }
  return contenders;
}

std::vector<AffinityPlacement::Candidate> AffinityPlacement::Rank(
    const PlacementRequest& request,
    const std::vector<const UpstreamEntry*>& upstreams,
    TimePoint now) const {
  std::vector<Candidate> ranked;
  for (const UpstreamEntry* upstream : upstreams) {
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.rank = Hash64(upstream->id, request.affinity);
    ranked.push_back(candidate);
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  if (request.affinity != 0)
    ranked.resize(EnginesFor(request, ranked.size(), now));
  return ranked;
}

size_t AffinityPlacement::EnginesFor(const PlacementRequest& request,
                                     size_t engines,
                                     TimePoint now) const {
  const double share = shares_.ShareOf(request.affinity, now);
  const double needed =
      share * static_cast<double>(engines) / options_.part_load;
  const size_t wanted = static_cast<size_t>(options_.engines_per_part) +
                        static_cast<size_t>(needed);
  return std::clamp<size_t>(wanted, 1, engines);
}

bool AffinityPlacement::Holds(uint64_t affinity,
                              const UpstreamEntry& upstream,
                              TimePoint now) const {
  const auto found = holders_.find(affinity);
  if (found == holders_.end())
    return false;
  for (const Holder& holder : found->second) {
    if (holder.upstream == upstream.id &&
        holder.incarnation == upstream.incarnation)
      return now - holder.used_at < options_.part_retention;
  }
  return false;
}

Duration AffinityPlacement::Cost(const PlacementRequest& request,
                                 const Candidate& candidate,
                                 const UpstreamHealth& health,
                                 TimePoint now) const {
  const std::string& id = candidate.upstream->id;
  const auto found = loads_.find(id);
  const Load load = found == loads_.end() ? Load{} : found->second;
  double cost_ms =
      ToMilliseconds(health.ExpectedDelay(id, now)) +
      ToMilliseconds(options_.failure_cost) * health.FailureShare(id, now);
  if (!request.engine) {
    cost_ms += ToMilliseconds(options_.service_slot_cost) * load.in_flight;
    if (candidate.upstream->domain != options_.own_domain)
      cost_ms += ToMilliseconds(options_.crossing_cost);
    return FromSeconds(cost_ms / 1000);
  }
  double tokens = load.waiting_tokens;
  if (!candidate.holds)
    tokens += request.shared_tokens;
  cost_ms += tokens / options_.prefill_tokens_per_ms;
  return FromSeconds(cost_ms / 1000);
}

void AffinityPlacement::OnSent(const PlacementRequest& request,
                               const UpstreamEntry& upstream,
                               TimePoint now) {
  Load& load = loads_[upstream.id];
  ++load.in_flight;
  load.used_at = now;
  load.waiting_tokens += request.own_tokens;
  if (request.affinity == 0)
    return;
  shares_.Add(request.affinity, request.own_tokens, now);
  std::vector<Holder>& holders = holders_[request.affinity];
  for (Holder& holder : holders) {
    if (holder.upstream == upstream.id) {
      holder.incarnation = upstream.incarnation;
      holder.used_at = now;
      return;
    }
  }
  holders.push_back({upstream.id, upstream.incarnation, now});
}

void AffinityPlacement::OnBegun(const PlacementRequest& request,
                                const std::string& upstream) {
  Load& load = loads_[upstream];
  load.waiting_tokens = std::max(0.0, load.waiting_tokens - request.own_tokens);
}

void AffinityPlacement::OnEnded(const PlacementRequest& request,
                                const std::string& upstream,
                                bool begun) {
  if (!begun)
    OnBegun(request, upstream);
  Load& load = loads_[upstream];
  load.in_flight = std::max(0, load.in_flight - 1);
}

Duration AffinityPlacement::ExpectedPrefill(const PlacementRequest& request,
                                            const UpstreamEntry& upstream,
                                            TimePoint now) const {
  double tokens = request.own_tokens;
  if (request.affinity == 0 || !Holds(request.affinity, upstream, now))
    tokens += request.shared_tokens;
  return FromSeconds(tokens / options_.prefill_tokens_per_ms / 1000);
}

void AffinityPlacement::Expire(TimePoint now) {
  shares_.Expire(now);
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    std::vector<Holder>& holders = entry->second;
    holders.erase(std::remove_if(holders.begin(), holders.end(),
                                 [&](const Holder& holder) {
                                   return now - holder.used_at >=
                                          options_.part_retention;
                                 }),
                  holders.end());
    entry = holders.empty() ? holders_.erase(entry) : std::next(entry);
  }
  for (auto entry = loads_.begin(); entry != loads_.end();) {
    const Load& load = entry->second;
    const bool idle =
        load.in_flight == 0 && now - load.used_at >= options_.part_retention;
    entry = idle ? loads_.erase(entry) : std::next(entry);
  }
}

int AffinityPlacement::in_flight(const std::string& upstream) const {
  const auto found = loads_.find(upstream);
  return found == loads_.end() ? 0 : found->second.in_flight;
}

}  // namespace teaselhill::gateway
