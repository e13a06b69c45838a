/// \file
/// Envelope of snapshots: through_offset and checksum around the state.

#ifndef TEASELHILL_LIB_CONFIG_SNAPSHOT_H_
#define TEASELHILL_LIB_CONFIG_SNAPSHOT_H_

#include <string>
#include <string_view>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

struct Snapshot {
  LogOffset through_offset = 0;
  /// JSON text; kept as text so that the checksum does not depend on how the
  /// log writes numbers and orders fields.
  std::string state;
};

std::string SealSnapshot(const Snapshot& snapshot);

/// kSnapshotInvalid when the format is unknown or the checksum differs.
Result<Snapshot> OpenSnapshot(std::string_view text);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_SNAPSHOT_H_
