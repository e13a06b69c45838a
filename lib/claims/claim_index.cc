/// \file
/// Replay of stream `claims`.

#include "teaselhill/claims/claim_index.h"

#include <algorithm>

namespace teaselhill::claims {

void ClaimIndex::StartReading(LogOffset first_retained, LogOffset next_offset) {
  if (first_retained > next_offset_) {
    // The missing records may contain a claim or release of any key.
    entries_.clear();
    claims_by_age_.clear();
    holders_.clear();
    holder_numbers_.clear();
    next_offset_ = first_retained;
    coverage_floor_pending_ = true;
  }
  reading_started_ = true;
  catch_up_offset_ = std::max(catch_up_offset_, next_offset);
}

void ClaimIndex::RaiseCoverageFloor(WallTime time) {
  coverage_floor_ = coverage_floor_ ? std::max(*coverage_floor_, time) : time;
}

void ClaimIndex::ApplyRecord(LogOffset offset,
                             WallTime time,
                             const std::optional<ClaimBatch>& batch) {
  if (offset < next_offset_)
    return;
  if (offset > next_offset_)
    StartReading(offset, offset);
  next_offset_ = offset + 1;
  if (coverage_floor_pending_ || !batch)
    RaiseCoverageFloor(time);
  coverage_floor_pending_ = false;
  if (!batch)
    return;
  for (const Release& release : batch->releases)
    ApplyRelease(offset, batch->holder, release);
  for (const Claim& claim : batch->claims)
    ApplyClaim(offset, time, batch->holder, claim);
  RemoveOldClaims(time);
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
    UnrefHolder(found->second.holder);
  }
  StoredClaim stored;
  stored.body_hash = claim.body_hash;
  stored.offset = offset;
  stored.holder = InternHolder(holder);
  entries_[claim.key] = stored;
  claims_by_age_.push_back({claim.key, offset, time});
}

void ClaimIndex::ApplyRelease(LogOffset offset,
                              const HostIncarnation& holder,
                              const Release& release) {
  const auto found = entries_.find(release.key);
  if (found == entries_.end() || found->second.released ||
      found->second.offset != release.claim_offset ||
      !(holders_.at(found->second.holder).incarnation == holder))
    return;
  found->second.released = true;
  found->second.release_offset = offset;
}

void ClaimIndex::RemoveOldClaims(WallTime time) {
  while (!claims_by_age_.empty() &&
         (claims_by_age_.size() > options_.max_entries ||
          claims_by_age_.front().time + options_.claim_window < time)) {
    const ClaimAge& oldest = claims_by_age_.front();
    const auto found = entries_.find(oldest.key);
    if (found != entries_.end() && found->second.offset == oldest.offset) {
      UnrefHolder(found->second.holder);
      entries_.erase(found);
    }
    RaiseCoverageFloor(oldest.time);
    claims_by_age_.pop_front();
  }
}

uint32_t ClaimIndex::InternHolder(const HostIncarnation& holder) {
  const auto [it, added] =
      holder_numbers_.try_emplace(holder, next_holder_number_);
  if (added)
    holders_[next_holder_number_++].incarnation = holder;
  ++holders_[it->second].use_count;
  return it->second;
}

void ClaimIndex::UnrefHolder(uint32_t holder) {
  const auto found = holders_.find(holder);
  if (--found->second.use_count > 0)
    return;
  holder_numbers_.erase(found->second.incarnation);
  holders_.erase(found);
}

std::optional<IndexedClaim> ClaimIndex::FindClaim(const Hash128& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return std::nullopt;
  const StoredClaim& stored = found->second;
  return IndexedClaim{holders_.at(stored.holder).incarnation, stored.body_hash,
                      stored.offset, stored.released, stored.release_offset};
}

bool ClaimIndex::CoversKeyTime(WallTime key_time) const {
  return reading_started_ && !coverage_floor_pending_ &&
         (!coverage_floor_ ||
          key_time - options_.max_clock_skew > *coverage_floor_);
}

}  // namespace teaselhill::claims
