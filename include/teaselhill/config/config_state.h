/// \file
/// Configuration state as a function of the records of the `config` stream.

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

/// Streams of the log.
constexpr std::string_view kConfigStream = "config";
constexpr std::string_view kSnapshotStream = "config-snapshots";

/// Bounds of the remembered state. They are part of the replicated state: all
/// hosts must use the same values to reach the same verdicts.
struct ConfigLimits {
  size_t change_ids = 1024;
  size_t deleted_objects = 256;
  size_t contract_history = 8;
  size_t assignment_history = 2;
};

/// How the log's retained range relates to what is in force here.
enum class LogCondition {
  kFollowing,          ///< reading on from next_offset() is possible
  kGap,                ///< retention dropped next_offset(); needs a snapshot
  kRestartedWithLess,  ///< the log ends before next_offset(); the state stays
};

enum class SnapshotOutcome {
  kAdopted,  ///< its state is in force now
  kOlder,    ///< not newer than what is in force; ignored
};

/// Deterministic: two states that applied the same records are equal, whether
/// they replayed them or adopted a snapshot on the way. next_offset() never
/// decreases.
class ConfigState {
 public:
  explicit ConfigState(ConfigLimits limits = {});
  ~ConfigState();
  ConfigState(ConfigState&&) noexcept;
  ConfigState& operator=(ConfigState&&) noexcept;

  /// Applies the record at `offset` and returns what became of it. A record
  /// below next_offset() is kCovered and one above it is kGap; both change
  /// nothing. Offsets start at kFirstOffset and have no
  /// holes.
  Verdict Apply(LogOffset offset, std::string_view record);

  /// Takes over a snapshot (see Export()) when it reaches further than this
  /// state. kSnapshotInvalid when its checksum, format or content is wrong.
  Result<SnapshotOutcome> Adopt(std::string_view snapshot);

  /// Returns the state as one record for the `config-snapshots` stream, which
  /// is also the form in which a host hands its state to another one:
  /// `{"format","through_offset","checksum","state"}`. Empty while
  /// next_offset() is kFirstOffset.
  std::string Export() const;

  /// Judges a log that retains [first_retained, log_next).
  LogCondition Judge(LogOffset first_retained, LogOffset log_next) const;

  /// Offset of the first record that is not in force.
  LogOffset next_offset() const;

  /// First offset that no announced snapshot covers (see EncodeSnapshotNote()).
  LogOffset snapshot_next() const;

  /// Records that could not be read and name no object.
  uint64_t unattributed_records() const;

  /// Returns the same object until the configuration in force changes.
  std::shared_ptr<const ConfigView> View() const;

  /// Current revision of an object, also of a deleted one that is still
  /// remembered, or kNoRevision.
  LogOffset Revision(const ObjectId& id) const;

  /// The last verdicts on changes of an object, oldest first.
  std::vector<Verdict> History(const ObjectId& id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the index of the valid snapshot with the highest `through_offset`,
/// or nothing. The newest record may come from a slow writer with an older
/// view.
std::optional<size_t> BestSnapshot(const std::vector<std::string>& snapshots);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONFIG_STATE_H_
