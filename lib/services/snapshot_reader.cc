/// \file
/// Paged reading of the latest snapshots.

#include "teaselhill/services/snapshot_reader.h"

#include <algorithm>
#include <utility>

#include "teaselhill/config/config_state.h"

namespace teaselhill::services {

namespace {

/// Maximum number of snapshots in a page, which limits the size of an answer; a
/// snapshot has about 3 MB at the design size.
constexpr size_t kMaxSnapshotsPerPage = 4;

}  // namespace

void SnapshotReader::Read(Callback callback) {
  callback_ = std::move(callback);
  snapshots_.clear();
  client_.ReadBounds(
      std::string(config::kSnapshotStream),
      [this, alive = std::weak_ptr<int>(alive_)](const Result<LogPage>& page) {
        if (!alive.expired())
          OnBounds(page);
      });
}

void SnapshotReader::OnBounds(const Result<LogPage>& page) {
  if (!page) {
    std::exchange(callback_, nullptr)(page.error());
    return;
  }
  const LogOffset latest = page->next_offset > kSnapshotsRead
                               ? page->next_offset - kSnapshotsRead
                               : 0;
  const LogOffset from = std::max(page->first_retained, latest);
  if (from < page->next_offset)
    ReadFrom(from);
  else
    std::exchange(callback_, nullptr)(std::move(snapshots_));
}

void SnapshotReader::ReadFrom(LogOffset from) {
  client_.Read(
      {std::string(config::kSnapshotStream), from, kMaxSnapshotsPerPage,
       Duration{}},
      [this, alive = std::weak_ptr<int>(alive_)](const Result<LogPage>& page) {
        if (!alive.expired())
          OnPage(page);
      });
}

void SnapshotReader::OnPage(const Result<LogPage>& page) {
  if (!page) {
    std::exchange(callback_, nullptr)(page.error());
    return;
  }
  for (const LogRecord& record : page->records)
    snapshots_.push_back(record.data);
  if (!page->records.empty() &&
      page->records.back().offset + 1 < page->next_offset) {
    ReadFrom(page->records.back().offset + 1);
    return;
  }
  std::exchange(callback_, nullptr)(std::move(snapshots_));
}

}  // namespace teaselhill::services
