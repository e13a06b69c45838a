/// \file
/// Prompt prefix cache of a stand-in engine. Its events are delayed, and some
/// of them are lost.

#ifndef TEASELHILL_STANDIN_PREFIX_CACHE_H_
#define TEASELHILL_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "teaselhill/standin/answer.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::standin {

struct CacheEvent {
  uint64_t seq = 0;
  bool stored = false;  ///< true: block stored; false: block evicted
  PrefixBlock block;
  TimePoint visible_at;
};

struct CacheEvents {
  uint64_t next = 1;  ///< `from` of the next call
  std::vector<CacheEvent> events;
};

struct PrefixCacheConfig {
  uint64_t capacity_tokens = 200000;
  Duration event_lag = std::chrono::milliseconds(300);
  double event_loss = 0.05;  ///< fraction of events that are never published
  uint64_t seed = 1;
};

/// Cache of prompt blocks that evicts the least recently used blocks first.
class PrefixCache {
 public:
  explicit PrefixCache(PrefixCacheConfig config)
      : config_(config), rng_(config.seed) {}

  /// Returns the number of leading prompt tokens that are cached, and marks
  /// their blocks as recently used.
  uint32_t Match(const std::vector<PrefixBlock>& blocks);

  void Store(const std::vector<PrefixBlock>& blocks, TimePoint now);

  /// Returns events whose sequence number is at least `from` and whose
  /// `visible_at` is not after `now`. The number of events per call is limited.
  CacheEvents EventsFrom(uint64_t from, TimePoint now) const;

 private:
  using LruList = std::list<PrefixBlock>;  // most recently used first

  void Publish(bool stored, const PrefixBlock& block, TimePoint now);

  PrefixCacheConfig config_;
  Rng rng_;
  LruList lru_blocks_;
  std::unordered_map<uint64_t, LruList::iterator> block_index_;
  uint64_t next_seq_ = 1;
  std::deque<CacheEvent> events_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_PREFIX_CACHE_H_
