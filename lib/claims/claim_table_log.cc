/// \file
/// Claims and releases that are appended to the log and read from it.

#include <deque>
#include <optional>
#include <vector>

#include "teaselhill/claims/claim_table.h"

namespace teaselhill::claims {

std::vector<ClaimAction> ClaimTable::OnRecords(
    const std::vector<ClaimRecord>& records,
    TimePoint now) {
  std::vector<ClaimAction> actions;
  for (const ClaimRecord& record : records) {
    if (record.offset < index_.next_offset())
      continue;
    if (record.offset > index_.next_offset())
      RefuseUnresolved(&actions);
    index_.ApplyRecord(record.offset, record.time, record.batch);
    if (record.batch && record.batch->holder == self_)
      ResolveOwnBatch(*record.batch, now, &actions);
  }
  return actions;
}

std::vector<ClaimAction> ClaimTable::OnReadStart(LogOffset first_retained,
                                                 LogOffset next_offset) {
  std::vector<ClaimAction> actions;
  if (first_retained > index_.next_offset())
    RefuseUnresolved(&actions);
  index_.StartReading(first_retained, next_offset);
  return actions;
}

// Called when records are missing. Refuses the requests of each key whose claim
// or release has not been read yet, because it may be in a missing record.
void ClaimTable::RefuseUnresolved(std::vector<ClaimAction>* actions) {
  std::vector<Hash128> unresolved;
  for (auto& [key, entry] : entries_) {
    if (IsWaiting(entry) || entry.state == State::kReleasing) {
      RefuseAll(&entry, ResultCode::kClaimUnknown, actions);
      unresolved.push_back(key);
    }
  }
  for (const Hash128& key : unresolved)
    EraseEntry(key);
}

void ClaimTable::ResolveOwnBatch(const ClaimBatch& batch,
                                 TimePoint now,
                                 std::vector<ClaimAction>* actions) {
  if (unconfirmed_batch_ && unconfirmed_batch_->number == batch.number) {
    unconfirmed_batch_.reset();
    append_in_flight_ = false;
  }
  for (const Release& release : batch.releases) {
    const auto it = entries_.find(release.key);
    if (it != entries_.end() && it->second.state == State::kReleasing)
      EraseEntry(release.key);
  }
  for (const Claim& claim : batch.claims) {
    const auto it = entries_.find(claim.key);
    if (it != entries_.end() && it->second.state == State::kAppending &&
        it->second.batch_number == batch.number)
      ResolveClaim(&it->second, now, actions);
  }
}

void ClaimTable::ResolveClaim(Entry* entry,
                              TimePoint now,
                              std::vector<ClaimAction>* actions) {
  const Hash128 key = entry->claim.key;
  const auto found = index_.FindClaim(key);
  if (!found || found->released ||
      !index_.CoversKeyTime(entry->claim.key_time)) {
    RefuseAll(entry, ResultCode::kClaimUnknown, actions);
    EraseEntry(key);
    return;
  }
  if (found->holder == self_) {
    entry->claim_offset = found->offset;
    entry->state_since = now;
    entry->state = entry->owner != 0 ? State::kWon : State::kAbandoned;
    if (entry->owner != 0) {
      actions->push_back({entry->owner, RunRequest{}});
      return;
    }
    RefuseAll(entry, ResultCode::kClaimReleased, actions);
    abandoned_.push_back(key);
    return;
  }
  if (entry->owner != 0)
    entry->waiters.push_back({entry->owner, entry->claim.body_hash, false});
  entry->owner = 0;
  for (const Waiter& waiter : entry->waiters) {
    actions->push_back({waiter.request, DecideByIndex(*found, waiter.body_hash,
                                                      waiter.forwarded)});
    by_request_.erase(waiter.request);
  }
  EraseEntry(key);
}

std::optional<ClaimBatch> ClaimTable::NextBatchToAppend(TimePoint now) {
  if (append_in_flight_ || now < next_append_at_)
    return std::nullopt;
  if (!unconfirmed_batch_) {
    ClaimBatch batch;
    FillBatch(now, &batch);
    if (batch.claims.empty() && batch.releases.empty() &&
        !start_marker_pending_)
      return std::nullopt;
    start_marker_pending_ = false;
    batch.holder = self_;
    batch.number = next_batch_number_++;
    unconfirmed_batch_ = std::move(batch);
  }
  append_in_flight_ = true;
  next_append_at_ = now + options_.append_interval;
  return unconfirmed_batch_;
}

void ClaimTable::FillBatch(TimePoint now, ClaimBatch* batch) {
  while (!queue_.empty() &&
         batch->claims.size() < options_.max_claims_per_batch) {
    const auto it = entries_.find(queue_.front());
    queue_.pop_front();
    if (it == entries_.end() || it->second.state != State::kQueued)
      continue;
    it->second.state = State::kAppending;
    it->second.batch_number = next_batch_number_;
    batch->claims.push_back(it->second.claim);
  }
  for (size_t unchecked = abandoned_.size(); unchecked > 0; --unchecked) {
    const Hash128 key = abandoned_.front();
    abandoned_.pop_front();
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.state != State::kAbandoned)
      continue;
    if (now - it->second.state_since < options_.release_delay) {
      abandoned_.push_back(key);
      continue;
    }
    if (it->second.is_token) {
      EraseEntry(key);
      continue;
    }
    it->second.state = State::kReleasing;
    batch->releases.push_back({key, it->second.claim_offset});
  }
}

void ClaimTable::OnAppendResult(uint64_t batch_number,
                                AppendOutcome outcome,
                                TimePoint now) {
  if (!unconfirmed_batch_ || unconfirmed_batch_->number != batch_number)
    return;
  append_in_flight_ = false;
  if (outcome == AppendOutcome::kAppended)
    unconfirmed_batch_.reset();
  else
    next_append_at_ = now + options_.append_retry_delay;
}

// Removes the keys of requests that were abandoned before their claim could be
// appended. Otherwise the queue would grow while the log is unavailable.
void ClaimTable::CompactQueue() {
  if (queue_.size() <= 2 * options_.max_open_requests)
    return;
  std::deque<Hash128> queued;
  for (const Hash128& key : queue_) {
    const auto it = entries_.find(key);
    if (it != entries_.end() && it->second.state == State::kQueued)
      queued.push_back(key);
  }
  queue_.swap(queued);
}

}  // namespace teaselhill::claims
