/// \file
/// Replay of stream `claims`.

#include "teaselhill/claims/claim_index.h"

#include <algorithm>

namespace teaselhill::claims {

void ClaimIndex::Restart(LogOffset first_retained, LogOffset next_offset) {
  if (first_retained > next_offset_) {
    // The missing records may contain a claim or release of any key.
    entries_.clear();
    ages_.clear();
    holders_.clear();
    holder_numbers_.clear();
    next_offset_ = first_retained;
    coverage_floor_pending_ = true;
  }
  started_ = true;
  catch_up_to_ = std::max(catch_up_to_, next_offset);
}

void ClaimIndex::RaiseFloor(WallTime time) {
  floor_ = floor_ ? std::max(*floor_, time) : time;
}

void ClaimIndex::Apply(LogOffset offset,
                       WallTime time,
                       const std::optional<ClaimBatch>& batch) {
  if (offset < next_offset_)
    return;
  if (offset > next_offset_)
    Restart(offset, offset);
  next_offset_ = offset + 1;
  if (coverage_floor_pending_ || !batch)
    RaiseFloor(time);
  coverage_floor_pending_ = false;
  if (!batch)
    return;
  for (const Release& release : batch->releases)
    ApplyRelease(offset, batch->holder, release);
  for (const Claim& claim : batch->claims)
    ApplyClaim(offset, time, batch->holder, claim);
  DropOld(time);
}

void ClaimIndex::ApplyClaim(LogOffset offset,
                            WallTime time,
                            const HostIncarnation& holder,
                            const Claim& claim) {
  if (claim.key_time - options_.max_clock_skew > time)
    return;
  const auto found = entries_.find(claim.key);
  if (found != entries_.end()) {
    if (!found->second.released ||
        claim.next_read_offset <= found->second.release_offset)
      return;
    DropHolder(found->second.holder);
  }
  Slot slot;
  slot.body_hash = claim.body_hash;
  slot.offset = offset;
  slot.holder = InternHolder(holder);
  entries_[claim.key] = slot;
  ages_.push_back({claim.key, offset, time});
}

void ClaimIndex::ApplyRelease(LogOffset offset,
                              const HostIncarnation& holder,
                              const Release& release) {
  const auto found = entries_.find(release.key);
  if (found == entries_.end() || found->second.released ||
      found->second.offset != release.claim_offset ||
      !(holders_.at(found->second.holder).id == holder))
    return;
  found->second.released = true;
  found->second.release_offset = offset;
}

void ClaimIndex::DropOld(WallTime time) {
  while (!ages_.empty() &&
         (ages_.size() > options_.max_entries ||
          ages_.front().time + options_.claim_window < time)) {
    const Age& oldest = ages_.front();
    const auto found = entries_.find(oldest.key);
    if (found != entries_.end() && found->second.offset == oldest.offset) {
      DropHolder(found->second.holder);
      entries_.erase(found);
    }
    RaiseFloor(oldest.time);
    ages_.pop_front();
  }
}

uint32_t ClaimIndex::InternHolder(const HostIncarnation& holder) {
  const auto [at, added] = holder_numbers_.try_emplace(holder, next_holder_);
  if (added)
    holders_[next_holder_++].id = holder;
  ++holders_[at->second].uses;
  return at->second;
}

void ClaimIndex::DropHolder(uint32_t holder) {
  const auto found = holders_.find(holder);
  if (--found->second.uses > 0)
    return;
  holder_numbers_.erase(found->second.id);
  holders_.erase(found);
}

std::optional<IndexedClaim> ClaimIndex::Find(const Hash128& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return std::nullopt;
  const Slot& slot = found->second;
  return IndexedClaim{holders_.at(slot.holder).id, slot.body_hash, slot.offset,
                      slot.released, slot.release_offset};
}

bool ClaimIndex::CoversKeyTime(WallTime key_time) const {
  return started_ && !coverage_floor_pending_ &&
         (!floor_ || key_time - options_.max_clock_skew > *floor_);
}

}  // namespace teaselhill::claims
