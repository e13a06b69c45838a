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
/// offers each to config::ConfigState::Adopt(), which keeps the furthest. One
/// read costs the size of these records, so hosts read them only when they
/// start and when retention dropped their offset.
class SnapshotReader {
 public:
  /// For one due snapshot a few hosts may write, some of them late with an
  /// older view (see config::SnapshotSchedule); this many cover two such
  /// rounds.
  static constexpr size_t kSnapshotsRead = 12;

  /// Snapshot records in log order, or the error of a failed read.
  using Callback = std::function<void(Result<std::vector<std::string>>)>;

  /// `client` must outlive this object. Destroying it drops the callback.
  explicit SnapshotReader(LogClient& client) : client_(client) {}

  /// Only one read may be in flight.
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
