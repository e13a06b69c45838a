/// \file
/// Registered upstreams.

#include "teaselhill/gateway/upstream_directory.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace teaselhill::gateway {

const std::vector<UpstreamEntry>& UpstreamList::Of(
    const std::string& service) const {
  static const std::vector<UpstreamEntry> none;
  const auto found = by_service.find(service);
  return found == by_service.end() ? none : found->second;
}

void UpstreamDirectory::OnSourceLost(TimePoint now) {
  lost_ = true;
}

void UpstreamDirectory::OnSourceBack(TimePoint now) {
  if (!std::exchange(lost_, false))
    return;
  back_at_ = now;
}

void UpstreamDirectory::Apply(const UpstreamRecord& record, TimePoint now) {
  State& state = states_[record.id];
  // `offset` holds the record's offset plus one; 0 means no record yet.
  if (state.offset > record.offset)
    return;
  state.offset = record.offset + 1;
  if (record.entry)
    Set(state, record.entry);
  else
    Remove(state, now);
}

void UpstreamDirectory::ApplyListing(const UpstreamListing& listing,
                                     TimePoint now) {
  std::unordered_set<std::string> present;
  for (const UpstreamRecord& record : listing.records) {
    present.insert(record.id);
    Apply(record, now);
  }
  for (auto& [id, state] : states_) {
    if (present.count(id) == 0 && state.offset <= listing.end)
      Remove(state, now);
  }
}

void UpstreamDirectory::Expire(TimePoint now) {
  for (auto& [id, state] : states_) {
    if (!state.gone_at || *state.gone_at > now)
      continue;
    state.gone_at.reset();
    state.entry.reset();
    changed_ = true;
  }
}

std::shared_ptr<const UpstreamList> UpstreamDirectory::BuildList() const {
  auto list = std::make_shared<UpstreamList>();
  for (const auto& [id, state] : states_) {
    list->offset = std::max(list->offset, state.offset);
    if (state.entry && !state.entry->draining)
      list->by_service[state.entry->service].push_back(*state.entry);
  }
  for (auto& [service, upstreams] : list->by_service) {
    std::sort(upstreams.begin(), upstreams.end(),
              [](const UpstreamEntry& a, const UpstreamEntry& b) {
                return a.id < b.id;
              });
  }
  return list;
}

bool UpstreamDirectory::TakeChanged() {
  return std::exchange(changed_, false);
}

void UpstreamDirectory::Set(State& state,
                            const std::optional<UpstreamEntry>& entry) {
  UpstreamEntry next = *entry;
  if (next.draining)
    state.drained_incarnation = next.incarnation;
  else if (state.drained_incarnation &&
           *state.drained_incarnation >= next.incarnation)
    next.draining = true;
  const bool same =
      state.entry && !state.gone_at && state.entry->service == next.service &&
      state.entry->address == next.address &&
      state.entry->domain == next.domain && state.entry->slots == next.slots &&
      state.entry->draining == next.draining &&
      state.entry->incarnation == next.incarnation;
  state.gone_at.reset();
  state.entry = std::move(next);
  changed_ |= !same;
}

void UpstreamDirectory::Remove(State& state, TimePoint now) {
  if (!state.entry || state.gone_at)
    return;
  // While the source was unreachable, no upstream could renew its entry.
  const bool may_return =
      !state.entry->draining && back_at_ && now < *back_at_ + kReturnGrace;
  if (may_return) {
    state.gone_at = *back_at_ + kReturnGrace;
    return;
  }
  state.entry.reset();
  changed_ = true;
}

}  // namespace teaselhill::gateway
