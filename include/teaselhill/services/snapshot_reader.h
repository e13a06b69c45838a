/// \file
/// Reads the latest configuration snapshots from the log.

#ifndef TEASELHILL_SERVICES_SNAPSHOT_READER_H_
#define TEASELHILL_SERVICES_SNAPSHOT_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/services/log_client.h"

namespace teaselhill::services {

/// Reads the last `kSnapshotsRead` records of `config-snapshots`. The caller
/// passes each record to config::ConfigState::Adopt(), which keeps the state
/// with the highest offset. A read transfers all of these records, so hosts
/// read them only at start and after their offset was truncated.
class SnapshotReader {
 public:
  /// A few hosts may write the same due snapshot, some of them late and with an
  /// older state (see config::SnapshotSchedule). 12 records cover two due
  /// snapshots.
  static constexpr size_t kSnapshotsRead = 12;

  /// Gets the snapshot records in log order, or the error of a failed read.
  using Callback = std::function<void(Result<std::vector<std::string>>)>;

  /// `client` must outlive this object. A callback that is pending when this
  /// object is destroyed is not run.
  explicit SnapshotReader(LogClient& client) : client_(client) {}

  /// Starts a read. Must not be called while another read is in flight.
  void Read(Callback callback);

 private:
  void ReadFrom(LogOffset from);
  void OnBounds(const Result<LogPage>& page);
  void OnPage(const Result<LogPage>& page);

  LogClient& client_;
  Callback callback_;
  std::vector<std::string> snapshots_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_SNAPSHOT_READER_H_
