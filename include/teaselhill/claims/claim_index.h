/// \file
/// Index of the claims on the log. It shows which host incarnation holds each
/// key.

#ifndef TEASELHILL_CLAIMS_CLAIM_INDEX_H_
#define TEASELHILL_CLAIMS_CLAIM_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "teaselhill/claims/messages.h"

namespace teaselhill::claims {

/// Durations are in milliseconds and not in nanoseconds as elsewhere, because
/// the time in a UUIDv7 may exceed the range of a 64-bit count of nanoseconds.
struct ClaimIndexOptions {
  /// Maximum difference between a caller's clock and the log's clock, including
  /// backward steps of the log's clock. A claim is ignored if
  /// its key time is later than the log time of its record by more than this
  /// difference. For every claim that is not ignored, the log time is therefore
  /// no earlier than the key time minus this difference.
  std::chrono::milliseconds max_clock_skew = std::chrono::seconds(60);
  /// A claim expires when the log time of its record is more than this before
  /// the log time of the record read last.
  std::chrono::milliseconds claim_window = std::chrono::minutes(15);
  size_t max_entries = 400000;
};

struct IndexedClaim {
  HostIncarnation holder;
  uint64_t body_hash = 0;
  LogOffset offset = 0;  ///< offset of the winning claim
  bool released = false;
  LogOffset release_offset = 0;
};

/// Replays stream `claims`. All hosts that have read every record with a claim
/// or release of a key determine the same holder for the key.
class ClaimIndex {
 public:
  explicit ClaimIndex(ClaimIndexOptions options) : options_(options) {}

  /// Starts or resumes reading. The log's first record is at `first_retained`,
  /// its end at the parameter `next_offset`. The index reads on from its own
  /// offset next_offset(). If the log was truncated past that offset, the index
  /// is cleared and reads on from `first_retained`.
  void StartReading(LogOffset first_retained, LogOffset next_offset);

  /// Applies one record. A record that was applied before is ignored. `batch`
  /// is empty if the record cannot be decoded. Such a record may contain
  /// claims, so CoversKeyTime() counts it as missing.
  void ApplyRecord(LogOffset offset,
                   WallTime time,
                   const std::optional<ClaimBatch>& batch);

  std::optional<IndexedClaim> FindClaim(const Hash128& key) const;

  /// Returns true if the index is known to contain each claim that was appended
  /// before next_offset() and could hold a key with the time `key_time`.
  bool CoversKeyTime(WallTime key_time) const;

  /// Returns true while records are missing and no upper bound of the log times
  /// of these records is known. During that time CoversKeyTime() returns false
  /// for all keys.
  bool coverage_floor_pending() const { return coverage_floor_pending_; }
  bool caught_up() const {
    return reading_started_ && next_offset_ >= catch_up_offset_;
  }
  LogOffset next_offset() const { return next_offset_; }
  size_t size() const { return entries_.size(); }

 private:
  struct StoredClaim {
    uint64_t body_hash = 0;
    LogOffset offset = 0;
    LogOffset release_offset = 0;
    uint32_t holder = 0;
    bool released = false;
  };
  struct ClaimAge {
    Hash128 key;
    LogOffset offset;
    WallTime time;
  };
  struct InternedHolder {
    HostIncarnation incarnation;
    size_t use_count = 0;
  };

  void ApplyClaim(LogOffset offset,
                  WallTime time,
                  const HostIncarnation& holder,
                  const Claim& claim);
  void ApplyRelease(LogOffset offset,
                    const HostIncarnation& holder,
                    const Release& release);
  void RaiseCoverageFloor(WallTime time);
  void RemoveOldClaims(WallTime time);
  void UnrefHolder(uint32_t holder);
  uint32_t InternHolder(const HostIncarnation& holder);

  ClaimIndexOptions options_;
  std::unordered_map<Hash128, StoredClaim, Hash128Hasher> entries_;
  std::deque<ClaimAge> claims_by_age_;
  std::map<uint32_t, InternedHolder> holders_;
  std::map<HostIncarnation, uint32_t> holder_numbers_;
  uint32_t next_holder_number_ = 0;
  bool reading_started_ = false;
  LogOffset next_offset_ = kFirstOffset;
  LogOffset catch_up_offset_ = 0;
  /// True while records are missing and no record after the missing ones has
  /// been read. The log time of the next record that is read becomes the upper
  /// bound of the log times of the missing records.
  bool coverage_floor_pending_ = false;
  /// Upper bound of the log time of all claims that are missing from the index
  /// or were removed from it; unset if there are no such claims. A key is
  /// covered if its time is later than this bound by more than max_clock_skew.
  std::optional<WallTime> coverage_floor_;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_CLAIM_INDEX_H_
