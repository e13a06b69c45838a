/// \file
/// Prompt prefix cache of a stand-in engine.

#include "teaselhill/standin/prefix_cache.h"

namespace teaselhill::standin {

namespace {
/// Maximum number of stored events. Older events are removed; a reader detects
/// their removal by a gap in the sequence numbers.
constexpr size_t kMaxStoredEvents = 20000;
constexpr size_t kMaxEventsPerRead = 2000;
}  // namespace

uint32_t PrefixCache::Match(const std::vector<PrefixBlock>& blocks) {
  size_t matched = 0;
  while (matched < blocks.size() &&
         block_index_.count(blocks[matched].hash) > 0)
    ++matched;
  // Mark the last block of the prefix first, so that it is evicted before the
  // blocks that precede it in the prompt.
  for (size_t i = matched; i-- > 0;)
    lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_,
                       block_index_[blocks[i].hash]);
  return matched == 0 ? 0 : blocks[matched - 1].tokens;
}

void PrefixCache::Store(const std::vector<PrefixBlock>& blocks, TimePoint now) {
  const size_t capacity = config_.capacity_tokens / kBlockTokens;
  for (size_t i = blocks.size(); i-- > 0;) {
    const auto found = block_index_.find(blocks[i].hash);
    if (found != block_index_.end()) {
      lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
      continue;
    }
    lru_blocks_.push_front(blocks[i]);
    block_index_[blocks[i].hash] = lru_blocks_.begin();
    Publish(true, blocks[i], now);
  }
  while (lru_blocks_.size() > capacity) {
    block_index_.erase(lru_blocks_.back().hash);
    Publish(false, lru_blocks_.back(), now);
    lru_blocks_.pop_back();
  }
}

void PrefixCache::Publish(bool stored,
                          const PrefixBlock& block,
                          TimePoint now) {
  const uint64_t seq = next_seq_++;
  if (rng_.Uniform() < config_.event_loss)
    return;
  events_.push_back({seq, stored, block, now + config_.event_lag});
  if (events_.size() > kMaxStoredEvents)
    events_.pop_front();
}

CacheEvents PrefixCache::EventsFrom(uint64_t from, TimePoint now) const {
  CacheEvents result;
  result.next = from == 0 ? 1 : from;
  for (const CacheEvent& event : events_) {
    if (event.visible_at > now || result.events.size() >= kMaxEventsPerRead)
      break;
    if (event.seq < from)
      continue;
    result.events.push_back(event);
    result.next = event.seq + 1;
  }
  return result;
}

}  // namespace teaselhill::standin
