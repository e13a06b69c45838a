/// \file
/// Index of the claims on the log: which incarnation holds each key.

#ifndef TEASELHILL_CLAIMS_CLAIM_INDEX_H_
#define TEASELHILL_CLAIMS_CLAIM_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "teaselhill/claims/messages.h"

namespace teaselhill::claims {

/// Times are in milliseconds, because a UUIDv7 time in nanoseconds may
/// overflow.
struct ClaimIndexOptions {
  /// Greatest difference between a caller's clock and the log's clock,
  /// including backward steps of the log's clock. Claims of keys from further
  /// in the future never win, so a key's claims cannot be older than its time
  /// minus this.
  std::chrono::milliseconds max_skew = std::chrono::seconds(60);
  /// Claims older than this, by the log's clock, are dropped.
  std::chrono::milliseconds window = std::chrono::minutes(15);
  size_t max_entries = 400000;
};

struct IndexEntry {
  HostIncarnation holder;
  uint64_t body = 0;
  LogOffset offset = 0;  ///< of the winning claim
  bool released = false;
  LogOffset released_at = 0;
};

/// Replays stream `claims`. Every host reaches the same verdicts about keys
/// whose whole history it can see.
class ClaimIndex {
 public:
  explicit ClaimIndex(ClaimIndexOptions options) : options_(options) {}

  /// Reading starts at `first_retained`; records before it that were not read
  /// are lost to retention.
  void Restart(LogOffset first_retained, LogOffset next_offset);

  /// Applies one record. An unreadable batch hides claims like a gap.
  void Apply(LogOffset offset,
             WallTime time,
             const std::optional<ClaimBatch>& batch);

  std::optional<IndexEntry> Find(const Hash128& key) const;

  /// Whether every claim of a key of this time that can win is in the index.
  bool Covers(WallTime key_time) const;

  /// Whether it is still open which keys Covers() will accept.
  bool floor_pending() const { return floor_pending_; }
  bool caught_up() const { return started_ && next_offset_ >= catch_up_to_; }
  LogOffset next_offset() const { return next_offset_; }
  size_t size() const { return entries_.size(); }

 private:
  struct Slot {
    uint64_t body = 0;
    LogOffset offset = 0;
    LogOffset released_at = 0;
    uint32_t holder = 0;
    bool released = false;
  };
  struct Age {
    Hash128 key;
    LogOffset offset;
    WallTime time;
  };
  struct Holder {
    HostIncarnation id;
    size_t uses = 0;
  };

  void ApplyClaim(LogOffset offset,
                  WallTime time,
                  const HostIncarnation& holder,
                  const Claim& claim);
  void ApplyRelease(LogOffset offset,
                    const HostIncarnation& holder,
                    const Release& release);
  void RaiseFloor(WallTime time);
  void DropOld(WallTime time);
  void DropHolder(uint32_t holder);
  uint32_t InternHolder(const HostIncarnation& holder);

  ClaimIndexOptions options_;
  std::unordered_map<Hash128, Slot, Hash128Hasher> entries_;
  std::deque<Age> ages_;
  std::map<uint32_t, Holder> holders_;
  std::map<HostIncarnation, uint32_t> holder_numbers_;
  uint32_t next_holder_ = 0;
  bool started_ = false;
  LogOffset next_offset_ = kFirstOffset;
  LogOffset catch_up_to_ = 0;
  /// Records that are not in the index have at most this log time; unset when
  /// nothing is missing. While floor_pending_, records are missing and none
  /// that was read yet tells the time.
  bool floor_pending_ = false;
  std::optional<WallTime> floor_;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_CLAIM_INDEX_H_
