/// \file
/// Registered upstreams.

#include "teaselhill/gateway/upstream_directory.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace teaselhill::gateway {

const std::vector<UpstreamEntry>& UpstreamList::OfService(
    const std::string& service) const {
  static const std::vector<UpstreamEntry> none;
  const auto found = by_service.find(service);
  return found == by_service.end() ? none : found->second;
}

const UpstreamEntry* UpstreamList::Find(const UpstreamProcess& process) const {
  for (const auto& [service, upstreams] : by_service) {
    for (const UpstreamEntry& upstream : upstreams) {
      if (upstream.id == process.id)
        return upstream.incarnation == process.incarnation ? &upstream
                                                           : nullptr;
    }
  }
  return nullptr;
}

bool UpstreamList::Lists(const UpstreamProcess& process) const {
  return Find(process) != nullptr;
}

void UpstreamDirectory::OnSourceUnreachable(TimePoint now) {
  source_unreachable_ = true;
}

void UpstreamDirectory::OnSourceReachable(TimePoint now) {
  if (!std::exchange(source_unreachable_, false))
    return;
  source_reachable_at_ = now;
}

void UpstreamDirectory::ApplyRecord(const UpstreamRecord& record,
                                    TimePoint now) {
  EntryState& state = states_by_id_[record.id];
  // `next_offset` holds the record's offset plus one; 0 means no record yet.
  if (state.next_offset > record.offset)
    return;
  state.next_offset = record.offset + 1;
  if (record.entry)
    SetEntry(state, record.entry);
  else
    RemoveEntry(state, now);
}

void UpstreamDirectory::ApplyListing(const UpstreamListing& listing,
                                     TimePoint now) {
  if (listing.records_lost)
    ForgetOffsets(now);
  std::unordered_set<std::string> listed_ids;
  for (const UpstreamRecord& record : listing.records) {
    listed_ids.insert(record.id);
    const auto known = states_by_id_.find(record.id);
    const bool gone = listing.records_lost && known != states_by_id_.end() &&
                      !known->second.entry;
    if (!gone)
      ApplyRecord(record, now);
  }
  for (auto& [id, state] : states_by_id_) {
    if (listed_ids.count(id) == 0 && state.next_offset <= listing.end_offset)
      RemoveEntry(state, now);
  }
}

void UpstreamDirectory::ForgetOffsets(TimePoint now) {
  for (auto& [id, state] : states_by_id_)
    state.next_offset = 0;
  source_reachable_at_ = now;
}

void UpstreamDirectory::ExpireRemoved(TimePoint now) {
  for (auto& [id, state] : states_by_id_) {
    if (!state.remove_at || *state.remove_at > now)
      continue;
    state.remove_at.reset();
    state.entry.reset();
    list_changed_ = true;
  }
}

std::shared_ptr<const UpstreamList> UpstreamDirectory::BuildList() const {
  auto list = std::make_shared<UpstreamList>();
  for (const auto& [id, state] : states_by_id_) {
    list->end_offset = std::max(list->end_offset, state.next_offset);
    if (!state.entry)
      continue;
    list->versions_by_service[state.entry->service].insert(
        state.entry->version);
    if (state.entry->draining) {
      list->draining_ids.insert(id);
      if (state.entry->reclaimable)
        list->leaving_reclaimable.push_back(*state.entry);
    } else {
      list->by_service[state.entry->service].push_back(*state.entry);
    }
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
  return std::exchange(list_changed_, false);
}

void UpstreamDirectory::SetEntry(EntryState& state,
                                 const std::optional<UpstreamEntry>& entry) {
  UpstreamEntry new_entry = *entry;
  if (new_entry.draining)
    state.drained_incarnation = new_entry.incarnation;
  else if (state.drained_incarnation &&
           *state.drained_incarnation >= new_entry.incarnation)
    new_entry.draining = true;
  const bool unchanged = state.entry && !state.remove_at &&
                         state.entry->service == new_entry.service &&
                         state.entry->address == new_entry.address &&
                         state.entry->domain == new_entry.domain &&
                         state.entry->slots == new_entry.slots &&
                         state.entry->draining == new_entry.draining &&
                         state.entry->incarnation == new_entry.incarnation &&
                         state.entry->version == new_entry.version &&
                         state.entry->reclaimable == new_entry.reclaimable;
  state.remove_at.reset();
  state.entry = std::move(new_entry);
  list_changed_ |= !unchanged;
}

void UpstreamDirectory::RemoveEntry(EntryState& state, TimePoint now) {
  if (!state.entry || state.remove_at)
    return;
  // No upstream could renew its entry while the source was unreachable, so an
  // entry that is removed shortly afterwards may belong to a working upstream.
  const bool may_reregister =
      !state.entry->draining && source_reachable_at_ &&
      now < *source_reachable_at_ + kReregistrationGrace;
  if (may_reregister) {
    state.remove_at = *source_reachable_at_ + kReregistrationGrace;
    return;
  }
  state.entry.reset();
  list_changed_ = true;
}

}  // namespace teaselhill::gateway
