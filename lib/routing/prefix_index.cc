/// \file
/// Set-associative table of cached prompt prefixes.

#include "teaselhill/routing/prefix_index.h"

#include <algorithm>

#include "teaselhill/support/decay.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::routing {

namespace {

/// Cache events may be lost and engines may evict blocks without notice, so the
/// confidence in a pair that is not renewed halves in this time.
constexpr std::chrono::seconds kConfidenceHalfLife{120};

uint32_t ToNonZeroSeconds(TimePoint time) {
  return static_cast<uint32_t>(ToSeconds(time.time_since_epoch())) + 1;
}

}  // namespace

std::vector<uint64_t> PrefixBlocks(std::string_view model,
                                   std::string_view prompt,
                                   size_t max_blocks) {
  const size_t count = std::min(prompt.size() / kPrefixBlockBytes, max_blocks);
  std::vector<uint64_t> blocks;
  blocks.reserve(count);
  uint64_t chain = Hash64(model);
  for (size_t i = 0; i < count; ++i) {
    chain =
        Hash64(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

PrefixIndex::PrefixIndex() : entries_(kSets * kWays) {}

void PrefixIndex::Add(uint64_t block, uint32_t upstream, TimePoint now) {
  Entry* const set = &entries_[(block % kSets) * kWays];
  Entry* target = set;
  for (Entry* entry = set; entry != set + kWays; ++entry) {
    if (entry->added_at_seconds != 0 && entry->block == block &&
        entry->upstream == upstream) {
      target = entry;
      break;
    }
    if (entry->added_at_seconds < target->added_at_seconds)
      target = entry;
  }
  *target = Entry{block, upstream, ToNonZeroSeconds(now)};
}

void PrefixIndex::Remove(uint64_t block, uint32_t upstream) {
  Entry* const set = &entries_[(block % kSets) * kWays];
  for (Entry* entry = set; entry != set + kWays; ++entry) {
    if (entry->block == block && entry->upstream == upstream)
      *entry = Entry{};
  }
}

void PrefixIndex::RemoveUpstream(uint32_t upstream) {
  for (Entry& entry : entries_) {
    if (entry.upstream == upstream)
      entry = Entry{};
  }
}

std::vector<PrefixIndex::Match> PrefixIndex::Find(
    const std::vector<uint64_t>& blocks,
    TimePoint now) const {
  std::vector<Match> matches;
  // A block's hash covers the whole prefix, so the last block that an upstream
  // has cached gives the length of its prefix. The length is found even if the
  // pair of an earlier block was replaced.
  for (size_t i = blocks.size(); i-- > 0;) {
    const Entry* const set = &entries_[(blocks[i] % kSets) * kWays];
    for (const Entry* entry = set; entry != set + kWays; ++entry) {
      if (entry->added_at_seconds == 0 || entry->block != blocks[i])
        continue;
      const auto same = [&](const Match& match) {
        return match.upstream == entry->upstream;
      };
      if (std::any_of(matches.begin(), matches.end(), same))
        continue;
      const std::chrono::seconds age(
          static_cast<int64_t>(ToNonZeroSeconds(now)) -
          entry->added_at_seconds);
      matches.push_back({entry->upstream, static_cast<uint32_t>(i + 1),
                         DecayFactor(age, kConfidenceHalfLife)});
    }
  }
  return matches;
}

}  // namespace teaselhill::routing
