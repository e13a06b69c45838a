/// \file
/// Index of the prompt prefixes that upstreams have probably cached.

#ifndef TEASELHILL_ROUTING_PREFIX_INDEX_H_
#define TEASELHILL_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// Bytes of prompt text per prefix block.
constexpr size_t kPrefixBlockBytes = 256;

/// Returns one hash for each whole block of `prompt`, at most `max_blocks`.
/// Each hash covers the model and the prompt from its start to the end of the
/// block.
std::vector<uint64_t> PrefixBlocks(std::string_view model,
                                   std::string_view prompt,
                                   size_t max_blocks = 64);

/// Fixed-size set-associative table of (block, upstream) pairs. The oldest pair
/// of a set is replaced. A pair is a hint whose confidence decays exponentially
/// with its age.
class PrefixIndex {
 public:
  PrefixIndex();

  void Add(uint64_t block, uint32_t upstream, TimePoint now);
  void Remove(uint64_t block, uint32_t upstream);
  void RemoveUpstream(uint32_t upstream);

  struct Match {
    uint32_t upstream = 0;
    uint32_t cached_blocks = 0;  ///< leading blocks that are cached
    double confidence = 0;       ///< 0 to 1
  };
  /// Returns the upstreams that have probably cached a prefix of `blocks`,
  /// those with the longest prefix first.
  std::vector<Match> Find(const std::vector<uint64_t>& blocks,
                          TimePoint now) const;

  size_t MemoryBytes() const { return entries_.size() * sizeof(Entry); }

 private:
  struct Entry {
    uint64_t block = 0;
    uint32_t upstream = 0;
    uint32_t added_at_seconds = 0;  ///< time of last `Add`, plus 1; 0: empty
  };
  static constexpr size_t kSets = 32768;
  static constexpr size_t kWays = 8;

  std::vector<Entry> entries_;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_PREFIX_INDEX_H_
