/// \file
/// At-most-once execution of keyed requests on one host.

#include "teaselhill/claims/claim_table.h"

#include <algorithm>
#include <cassert>

namespace teaselhill::claims {

ClaimTable::ClaimTable(HostIncarnation self, ClaimOptions options)
    : self_(std::move(self)), options_(options), index_(options.index) {}

ClaimDecision ClaimTable::OnRequest(RequestId request,
                                    const Key& key,
                                    uint64_t body_hash,
                                    bool forwarded,
                                    TimePoint now) {
  assert(by_request_.count(request) == 0 && "request id is already open");
  if (const auto* token = std::get_if<TokenKey>(&key))
    return OnTokenRequest(request, *token, body_hash, forwarded, now);
  return OnUuidRequest(request, std::get<UuidKey>(key), body_hash, forwarded,
                       now);
}

ClaimDecision ClaimTable::OnUuidRequest(RequestId request,
                                        const UuidKey& key,
                                        uint64_t body_hash,
                                        bool forwarded,
                                        TimePoint now) {
  const auto it = entries_.find(key.hash);
  if (it != entries_.end())
    return JoinEntry(&it->second, request, body_hash, forwarded, now);
  if (!index_.caught_up() || index_.coverage_floor_pending())
    return RefuseRequest{ResultCode::kClaimUnknown};
  if (!index_.CoversKeyTime(key.time))
    return RefuseRequest{ResultCode::kKeyTooOld};
  const auto found = index_.FindClaim(key.hash);
  if (found && !found->released)
    return DecideByIndex(*found, body_hash, forwarded);
  // The host that forwarded the request had read that this host holds the key,
  // but the key has been released since. Only the host that received the
  // request from the caller may claim the key again.
  if (forwarded || by_request_.size() >= options_.max_open_requests)
    return RefuseRequest{ResultCode::kClaimUnknown};
  Entry entry;
  entry.claim = {key.hash, body_hash, key.time, index_.next_offset()};
  entry.owner = request;
  entry.state_since = now;
  entries_.emplace(key.hash, std::move(entry));
  by_request_[request] = key.hash;
  queue_.push_back(key.hash);
  CompactQueue();
  return WaitForAction{};
}

ClaimDecision ClaimTable::OnTokenRequest(RequestId request,
                                         const TokenKey& key,
                                         uint64_t body_hash,
                                         bool forwarded,
                                         TimePoint now) {
  if (!(key.issuer == self_)) {
    if (forwarded)
      return RefuseRequest{ResultCode::kClaimUnknown};
    if (key.issuer.host == self_.host)
      return RefuseRequest{ResultCode::kHolderUnreachable};
    return ForwardToHolder{key.issuer};
  }
  const auto it = entries_.find(key.hash);
  if (it != entries_.end())
    return JoinEntry(&it->second, request, body_hash, forwarded, now);
  if (key.number <= max_evicted_token_ || key.number > last_token_number_)
    return RefuseRequest{ResultCode::kKeyTooOld};
  Entry entry;
  entry.state = State::kWon;
  entry.is_token = true;
  entry.token_number = key.number;
  entry.claim.key = key.hash;
  entry.claim.body_hash = body_hash;
  entry.owner = request;
  entry.state_since = now;
  entries_.emplace(key.hash, std::move(entry));
  by_request_[request] = key.hash;
  return RunRequest{};
}

ClaimDecision ClaimTable::JoinEntry(Entry* entry,
                                    RequestId request,
                                    uint64_t body_hash,
                                    bool forwarded,
                                    TimePoint now) {
  if (entry->claim.body_hash != body_hash)
    return RefuseRequest{ResultCode::kKeyReused};
  switch (entry->state) {
    case State::kQueued:
    case State::kAppending:
    case State::kWon:
    case State::kRunning:
      if (by_request_.size() >= options_.max_open_requests)
        return RefuseRequest{ResultCode::kClaimUnknown};
      by_request_[request] = entry->claim.key;
      entry->waiters.push_back({request, body_hash, forwarded});
      if (entry->owner == 0 && IsWaiting(*entry))
        PromoteWaiter(entry);
      return WaitForAction{};
    case State::kAnswered:
      if (entry->has_answer)
        return ReplayAnswer{entry->answer};
      return RefuseRequest{ResultCode::kAnswerNotKept};
    case State::kOutcomeUnknown:
      return RefuseRequest{ResultCode::kUpstreamLost};
    case State::kAbandoned:
      // No release has been appended yet, so this host still holds the key. An
      // attempt that arrives after release_delay may run without a new claim.
      if (now - entry->state_since >= options_.release_delay &&
          (entry->is_token || !forwarded)) {
        entry->state = State::kWon;
        entry->state_since = now;
        entry->owner = request;
        by_request_[request] = entry->claim.key;
        return RunRequest{};
      }
      entry->state_since = now;
      return RefuseRequest{ResultCode::kClaimReleased};
    case State::kReleasing:
      return RefuseRequest{ResultCode::kClaimUnknown};
  }
  return RefuseRequest{ResultCode::kInternal};
}

ClaimDecision ClaimTable::DecideByIndex(const IndexedClaim& found,
                                        uint64_t body_hash,
                                        bool forwarded) const {
  if (found.body_hash != body_hash)
    return RefuseRequest{ResultCode::kKeyReused};
  if (found.holder == self_)
    return RefuseRequest{ResultCode::kAnswerNotKept};
  if (forwarded)
    return RefuseRequest{ResultCode::kClaimUnknown};
  if (found.holder.host == self_.host)
    return RefuseRequest{ResultCode::kHolderUnreachable};
  return ForwardToHolder{found.holder};
}

void ClaimTable::OnDispatchDecided(RequestId request) {
  Entry* entry = FindByOwner(request);
  if (entry == nullptr)
    return;
  assert(entry->state == State::kWon && "dispatch without holding the key");
  entry->state = State::kRunning;
}

void ClaimTable::OnNotRun(RequestId request) {
  Entry* entry = FindByOwner(request);
  if (entry != nullptr && entry->state == State::kRunning)
    entry->state = State::kWon;
}

ResultCode ClaimTable::OnAbandoned(RequestId request,
                                   ResultCode reason,
                                   TimePoint now,
                                   std::vector<ClaimAction>* actions) {
  Entry* entry = FindByRequest(request);
  if (entry == nullptr ||
      (entry->owner == request && entry->state == State::kRunning))
    return ResultCode::kClaimUnknown;
  by_request_.erase(request);
  if (entry->owner != request) {
    auto& waiters = entry->waiters;
    waiters.erase(
        std::remove_if(waiters.begin(), waiters.end(),
                       [&](const Waiter& w) { return w.request == request; }),
        waiters.end());
    return ResultCode::kClaimUnknown;
  }
  entry->owner = 0;
  if (entry->state == State::kWon) {
    RefuseAll(entry, ResultCode::kClaimReleased, actions);
    entry->state = State::kAbandoned;
    entry->state_since = now;
    abandoned_.push_back(entry->claim.key);
    return reason;
  }
  PromoteWaiter(entry);
  if (entry->owner == 0 && entry->state == State::kQueued) {
    // Only forwarded requests are left, which may not claim the key.
    RefuseAll(entry, ResultCode::kClaimUnknown, actions);
    EraseEntry(entry->claim.key);
  }
  return ResultCode::kClaimUnknown;
}

std::vector<ClaimAction> ClaimTable::OnFinished(RequestId request,
                                                FinishKind kind,
                                                Answer answer,
                                                TimePoint now) {
  std::vector<ClaimAction> actions;
  Entry* entry = FindByOwner(request);
  if (entry == nullptr)
    return actions;
  by_request_.erase(request);
  entry->owner = 0;
  if (kind == FinishKind::kOutcomeUnknown) {
    entry->state = State::kOutcomeUnknown;
    RefuseAll(entry, ResultCode::kUpstreamLost, &actions);
  } else {
    entry->state = State::kAnswered;
    for (const Waiter& waiter : entry->waiters) {
      actions.push_back({waiter.request, ReplayAnswer{answer}});
      by_request_.erase(waiter.request);
    }
    entry->waiters.clear();
    StoreAnswer(entry, std::move(answer));
  }
  entry->state_since = now;
  finished_.push_back(entry->claim.key);
  return actions;
}

static size_t AnswerBytes(const Answer& answer) {
  size_t size = answer.body.size();
  for (const auto& [name, value] : answer.headers)
    size += name.size() + value.size();
  return size;
}

void ClaimTable::StoreAnswer(Entry* entry, Answer answer) {
  if (AnswerBytes(answer) > options_.max_answer_bytes)
    return;
  entry->answer = std::move(answer);
  entry->has_answer = true;
  answer_bytes_ += AnswerBytes(entry->answer);
  for (auto it = finished_.begin();
       answer_bytes_ > options_.max_answer_bytes && it != finished_.end();
       ++it) {
    const auto oldest = entries_.find(*it);
    if (oldest != entries_.end())
      RemoveAnswer(&oldest->second);
  }
}

void ClaimTable::RemoveAnswer(Entry* entry) {
  if (!entry->has_answer)
    return;
  answer_bytes_ -= AnswerBytes(entry->answer);
  entry->answer = Answer();
  entry->has_answer = false;
}

void ClaimTable::OnTick(TimePoint now) {
  while (!finished_.empty()) {
    const auto it = entries_.find(finished_.front());
    if (it != entries_.end()) {
      if (now - it->second.state_since < options_.answer_retention)
        break;
      RemoveAnswer(&it->second);
      // A further attempt with a used UUIDv7 key is refused by the index. A
      // further attempt with a used token is refused because of this entry or,
      // after the entry was evicted, because of max_evicted_token_.
      if (it->second.is_token)
        used_tokens_.push_back(it->first);
      else
        EraseEntry(it->first);
    }
    finished_.pop_front();
  }
  EvictUsedTokens();
}

void ClaimTable::EvictUsedTokens() {
  while (used_tokens_.size() > options_.max_used_tokens) {
    const auto it = entries_.find(used_tokens_.front());
    max_evicted_token_ = std::max(max_evicted_token_, it->second.token_number);
    EraseEntry(used_tokens_.front());
    used_tokens_.pop_front();
  }
}

bool ClaimTable::AwaitsAnswer(RequestId request) const {
  const auto key = by_request_.find(request);
  if (key == by_request_.end())
    return false;
  const auto it = entries_.find(key->second);
  return it != entries_.end() && it->second.owner != request &&
         (it->second.state == State::kWon ||
          it->second.state == State::kRunning);
}

ClaimStats ClaimTable::Stats() const {
  ClaimStats stats;
  stats.indexed = index_.size();
  for (const auto& [key, entry] : entries_)
    ++(IsWaiting(entry) ? stats.waiting : stats.held);
  stats.answer_bytes = answer_bytes_;
  stats.caught_up = index_.caught_up() && !index_.coverage_floor_pending();
  return stats;
}

void ClaimTable::RefuseAll(Entry* entry,
                           ResultCode code,
                           std::vector<ClaimAction>* actions) {
  if (entry->owner != 0) {
    actions->push_back({entry->owner, RefuseRequest{code}});
    by_request_.erase(entry->owner);
    entry->owner = 0;
  }
  for (const Waiter& waiter : entry->waiters) {
    actions->push_back({waiter.request, RefuseRequest{code}});
    by_request_.erase(waiter.request);
  }
  entry->waiters.clear();
}

void ClaimTable::PromoteWaiter(Entry* entry) {
  const auto local_waiter =
      std::find_if(entry->waiters.begin(), entry->waiters.end(),
                   [](const Waiter& waiter) { return !waiter.forwarded; });
  if (local_waiter == entry->waiters.end())
    return;
  entry->owner = local_waiter->request;
  entry->waiters.erase(local_waiter);
}

void ClaimTable::EraseEntry(const Hash128& key) {
  entries_.erase(key);
}

ClaimTable::Entry* ClaimTable::FindByRequest(RequestId request) {
  const auto key = by_request_.find(request);
  if (key == by_request_.end())
    return nullptr;
  const auto it = entries_.find(key->second);
  return it == entries_.end() ? nullptr : &it->second;
}

ClaimTable::Entry* ClaimTable::FindByOwner(RequestId request) {
  Entry* entry = FindByRequest(request);
  return entry != nullptr && entry->owner == request ? entry : nullptr;
}

}  // namespace teaselhill::claims
