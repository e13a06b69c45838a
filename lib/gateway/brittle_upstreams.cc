/// \file
/// Bounds on the open requests at brittle upstreams.

#include "teaselhill/gateway/brittle_upstreams.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace teaselhill::gateway {

BrittleUpstreams::OpenRequest BrittleUpstreams::Open(
    const std::string& upstream_id) {
  ++(*open_)[upstream_id];
  return OpenRequest(nullptr, [open = open_, upstream_id](void*) {
    const auto count = open->find(upstream_id);
    if (--count->second == 0)
      open->erase(count);
  });
}

BrittleUpstreams::State& BrittleUpstreams::Add(const UpstreamEntry& upstream,
                                               TimePoint now) {
  const std::vector<double> known = BoundsOf(upstream.service, now);
  const auto [found, is_new] =
      states_.try_emplace({upstream.id, upstream.incarnation});
  State& state = found->second;
  if (!is_new)
    return state;
  state.service = upstream.service;
  state.slots = std::max(1, upstream.slots);
  // The bounds of the hosts are less than one in a large fleet. Their fractions
  // differ, so that they sum up to the bound of the fleet and do not grow to
  // the next place at the same time.
  const double share = EvenShare(state.slots);
  state.bound = std::max(options_.initial_part * share, std::min(share, 1.0)) +
                rng_.Uniform();
  if (!known.empty())
    state.bound = std::min(state.bound, known[rng_.Below(known.size())]);
  state.growth = options_.initial_growth;
  state.changed_at = now;
  return state;
}

void BrittleUpstreams::OnAnswer(const UpstreamEntry& upstream,
                                std::optional<double> tolerated_refusals,
                                TimePoint sent_at,
                                TimePoint now) {
  if (tolerated_refusals) {
    State& state = Add(upstream, now);
    state.observed_at = std::max(state.observed_at, sent_at);
    state.tolerated_refusals = *tolerated_refusals;
    return;
  }
  const auto found = states_.find({upstream.id, upstream.incarnation});
  if (found != states_.end() && sent_at > found->second.observed_at)
    states_.erase(found);
}

bool BrittleUpstreams::OnRefused(const UpstreamEntry& upstream,
                                 bool local,
                                 TimePoint now) {
  // Requests that were open before the upstream became brittle, or that it
  // refused for another reason.
  if (local && !IsBrittle({upstream.id, upstream.incarnation}))
    return false;
  State& state = Add(upstream, now);
  if (!local)
    state.observed_at = std::max(state.observed_at, now);
  const int open = CountOpen(upstream.id) - (local ? 1 : 0);
  state.bound = std::min(BoundAt(state, now),
                         options_.part_after_refusal * open + rng_.Uniform());
  state.changed_at = now;
  // What it refuses in a pause was sent before other hosts knew.
  if (now < state.paused_until)
    return false;
  state.paused_until = now + PauseAfterRefusal(state, now);
  AdaptGrowth(state, now);
  return local;
}

void BrittleUpstreams::AdaptGrowth(State& state, TimePoint now) const {
  if (state.refused_at) {
    const double intervals = ToSeconds(now - *state.refused_at) /
                             ToSeconds(options_.refusal_interval);
    state.growth = std::clamp(state.growth * std::clamp(intervals, 0.5, 1.5),
                              options_.min_growth, options_.max_growth);
  }
  state.refused_at = now;
}

void BrittleUpstreams::OnUpstreams(const UpstreamList& upstreams,
                                   TimePoint now) {
  std::set<std::string> brittle_services;
  for (const auto& [process, state] : states_)
    brittle_services.insert(state.service);
  // A process that has ended tells how much room its successor has.
  for (const std::string& service : brittle_services) {
    for (const UpstreamEntry& upstream : upstreams.OfService(service))
      Add(upstream, now);
  }
  for (auto state = states_.begin(); state != states_.end();)
    state =
        upstreams.Lists(state->first) ? std::next(state) : states_.erase(state);
}

std::vector<double> BrittleUpstreams::BoundsOf(const std::string& service,
                                               TimePoint now) const {
  std::vector<double> bounds;
  for (const auto& [process, state] : states_) {
    if (state.service == service && state.refused_at)
      bounds.push_back(BoundAt(state, now));
  }
  return bounds;
}

double BrittleUpstreams::EvenShare(double total) const {
  return total / static_cast<double>(std::max<size_t>(1, hosts_));
}

double BrittleUpstreams::BoundAt(const State& state, TimePoint now) const {
  const double share = EvenShare(state.slots);
  const double elapsed = std::max(0.0, ToSeconds(now - state.changed_at));
  // Without refusals it grows faster and faster: there is more room.
  const double acceleration =
      1 + elapsed / (2 * ToSeconds(options_.refusal_interval));
  return std::min(options_.max_share * share + 1,
                  state.bound + state.growth * share * elapsed * acceleration);
}

Duration BrittleUpstreams::PauseAfterRefusal(const State& state,
                                             TimePoint now) const {
  // Unless refusals come as seldom as expected, the upstream may have far less
  // room than before, and more would follow at once if it has many slots.
  const bool is_expected =
      state.refused_at &&
      now - *state.refused_at >= 3 * options_.refusal_interval / 4;
  const bool has_few_slots =
      state.slots <= options_.few_slots * state.tolerated_refusals;
  if ((!is_expected && !has_few_slots) || state.tolerated_refusals <= 0)
    return options_.max_pause;
  return std::clamp(
      FromSeconds(1 / (options_.used_refusals * state.tolerated_refusals)),
      options_.min_pause, options_.max_pause);
}

int BrittleUpstreams::CountOpen(const std::string& upstream_id) const {
  const auto count = open_->find(upstream_id);
  return count == open_->end() ? 0 : count->second;
}

bool BrittleUpstreams::HasRoom(const UpstreamEntry& upstream,
                               bool urgent,
                               TimePoint now) const {
  const auto found = states_.find({upstream.id, upstream.incarnation});
  if (found == states_.end())
    return true;
  const State& state = found->second;
  if (now < state.paused_until)
    return false;
  const double bound = std::floor(BoundAt(state, now));
  const double reserve =
      urgent ? 0 : std::floor(bound * options_.urgent_reserve);
  return CountOpen(upstream.id) < bound - reserve;
}

}  // namespace teaselhill::gateway
