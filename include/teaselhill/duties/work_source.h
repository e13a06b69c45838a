/// \file
/// Where a host's report gets its rows of engine work from.

#ifndef TEASELHILL_DUTIES_WORK_SOURCE_H_
#define TEASELHILL_DUTIES_WORK_SOURCE_H_

#include <vector>

#include "teaselhill/duties/host_report.h"

namespace teaselhill::duties {

/// Used on the control thread.
class WorkSource {
 public:
  virtual ~WorkSource() = default;
  /// Returns the work since the last call. Rows whose report is lost on its way
  /// are not told again.
  virtual std::vector<EngineWork> TakeWork(TimePoint now) = 0;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_WORK_SOURCE_H_
