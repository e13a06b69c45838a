/// \file
/// Configuration state, computed by replaying the `config` stream.

#ifndef TEASELHILL_CONFIG_CONFIG_STATE_H_
#define TEASELHILL_CONFIG_CONFIG_STATE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/config/change.h"
#include "teaselhill/config/config_view.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

/// Names of the log streams that carry the configuration.
constexpr std::string_view kConfigStream = "config";
constexpr std::string_view kSnapshotStream = "config-snapshots";

/// Maximum numbers of entries that a ConfigState retains. Verdicts and
/// snapshots depend on these limits, so all hosts must use the same values.
struct ConfigLimits {
  size_t max_change_ids = 1024;
  size_t max_deleted_objects = 256;
  size_t max_contract_history = 8;
  size_t max_assignment_history = 2;
};

/// Relation of the log's retained range to the configuration in force.
enum class LogCondition {
  kFollowing,  ///< the log can be read from next_offset()
  kGap,        ///< next_offset() was truncated; a snapshot is needed
  kRestartedWithFewerRecords,  ///< the log ends before next_offset(); the state
                               ///< is kept
};

enum class SnapshotOutcome {
  kAdopted,  ///< the state of the snapshot is in force
  kOlder,    ///< ignored: the state in force covers the snapshot's records
};

/// Replicated configuration state. Two states at the same offset of the same
/// log are equal, whether they replayed every record or adopted a snapshot
/// instead. next_offset() never decreases.
class ConfigState {
 public:
  explicit ConfigState(ConfigLimits limits = {});
  ~ConfigState();
  ConfigState(ConfigState&&) noexcept;
  ConfigState& operator=(ConfigState&&) noexcept;

  /// Applies the record at `offset` and returns its verdict. A record below
  /// next_offset() gets kCovered and a record above next_offset() gets kGap;
  /// neither changes the state. Offsets start at kFirstOffset and are
  /// consecutive.
  Verdict Apply(LogOffset offset, std::string_view record);

  /// Replaces the state by that of `snapshot` (see Export()) if the snapshot
  /// covers records that this state has not applied. Returns kSnapshotInvalid
  /// if the checksum, format or content of the snapshot is wrong.
  Result<SnapshotOutcome> Adopt(std::string_view snapshot);

  /// Returns the state as a record for the `config-snapshots` stream, with the
  /// fields `{"format","through_offset","checksum","state"}`. Hosts also send
  /// their state to peers in this form. Returns an empty string while
  /// next_offset() is kFirstOffset.
  std::string Export() const;

  /// Classifies a log that retains the offsets [first_retained, log_next).
  LogCondition ClassifyLog(LogOffset first_retained, LogOffset log_next) const;

  /// Returns the offset of the first record that has not been applied.
  LogOffset next_offset() const;

  /// Returns the first offset that no announced snapshot covers (see
  /// EncodeSnapshotNote()).
  LogOffset snapshot_next() const;

  /// Returns the number of unreadable records that name no known object.
  uint64_t unattributed_records() const;

  /// Returns the view of the configuration in force. The pointer stays the same
  /// until that configuration changes.
  std::shared_ptr<const ConfigView> View() const;

  /// Returns the current revision of an object, or kNoRevision if the object is
  /// unknown. The last ConfigLimits::max_deleted_objects deleted objects keep
  /// their revision.
  LogOffset Revision(const ObjectId& id) const;

  /// Returns the latest verdicts on changes of an object, oldest first.
  std::vector<Verdict> History(const ObjectId& id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the index of the valid snapshot with the highest `through_offset`,
/// or nullopt if no snapshot is valid. The last snapshot of the stream may have
/// a lower offset than a preceding snapshot, because a slow host may have
/// appended an older state.
std::optional<size_t> FindHighestSnapshot(
    const std::vector<std::string>& snapshots);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONFIG_STATE_H_
