/// \file
/// Bounds on the open requests at brittle upstreams.

#include "teaselhill/gateway/brittle_upstreams.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "teaselhill/support/hash.h"

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

void BrittleUpstreams::OnAnswer(const UpstreamProcess& upstream,
                                bool brittle,
                                TimePoint sent_at,
                                TimePoint now) {
  const auto found = states_.find(upstream);
  if (brittle && found == states_.end()) {
    State state;
    state.observed_at = sent_at;
    state.changed_at = now;
    states_.emplace(upstream, state);
  } else if (brittle) {
    found->second.observed_at = std::max(found->second.observed_at, sent_at);
  } else if (found != states_.end() && sent_at > found->second.observed_at) {
    states_.erase(found);
  }
}

bool BrittleUpstreams::OnRefused(const UpstreamProcess& upstream,
                                 bool local,
                                 TimePoint now) {
  auto found = states_.find(upstream);
  if (found == states_.end()) {
    if (local)
      return false;
    // Another host has seen that the upstream is brittle.
    OnAnswer(upstream, /*brittle=*/true, now, now);
    found = states_.find(upstream);
  }
  State& state = found->second;
  if (now - state.shrunk_at < options_.shrink_period)
    return false;
  state.fraction = FractionAt(state, now) * options_.shrink_factor;
  state.changed_at = state.shrunk_at = now;
  return local;
}

double BrittleUpstreams::FractionAt(const State& state, TimePoint now) const {
  return std::min(1.0, state.fraction + options_.growth_per_second *
                                            ToSeconds(now - state.changed_at));
}

int BrittleUpstreams::OwnShare(const UpstreamEntry& upstream,
                               const State& state,
                               TimePoint now) const {
  const auto bound = static_cast<size_t>(
      std::max(1.0, std::floor(upstream.slots * FractionAt(state, now))));
  const size_t hosts = std::max<size_t>(1, position_.hosts);
  // What is left over goes to other hosts at each upstream.
  const size_t place = (position_.index + Hash64(upstream.id)) % hosts;
  return static_cast<int>(bound / hosts + (place < bound % hosts ? 1 : 0));
}

bool BrittleUpstreams::HasRoom(const UpstreamEntry& upstream,
                               bool urgent,
                               TimePoint now) const {
  const auto found = states_.find({upstream.id, upstream.incarnation});
  if (found == states_.end())
    return true;
  const int share = OwnShare(upstream, found->second, now);
  const int reserve =
      urgent ? 0 : static_cast<int>(share * options_.urgent_reserve);
  const auto count = open_->find(upstream.id);
  return (count == open_->end() ? 0 : count->second) < share - reserve;
}

void BrittleUpstreams::Expire(const UpstreamList& upstreams) {
  for (auto state = states_.begin(); state != states_.end();)
    state =
        upstreams.Lists(state->first) ? std::next(state) : states_.erase(state);
}

}  // namespace teaselhill::gateway
