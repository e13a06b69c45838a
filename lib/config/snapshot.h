/// \file
/// Encoding of snapshots: the state with its `through_offset` and checksum.

#ifndef TEASELHILL_LIB_CONFIG_SNAPSHOT_H_
#define TEASELHILL_LIB_CONFIG_SNAPSHOT_H_

#include <string>
#include <string_view>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

struct Snapshot {
  LogOffset through_offset = 0;  ///< last offset that the state covers
  /// JSON text. Embedded as a string, so that the checksum does not depend on
  /// how the log formats numbers and orders fields.
  std::string state;
};

/// Returns the record of `snapshot` with its checksum.
std::string EncodeSnapshot(const Snapshot& snapshot);

/// Parses and verifies a snapshot record. Returns kSnapshotInvalid if the
/// format is unknown or the checksum differs.
Result<Snapshot> DecodeSnapshot(std::string_view text);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_SNAPSHOT_H_
