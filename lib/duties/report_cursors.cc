/// \file
/// Accepts each count once.

#include "teaselhill/duties/report_cursors.h"

namespace teaselhill::duties {

bool ReportCursors::Accept(const std::string& host,
                           const HostReportQuery& query,
                           const HostReport& report) {
  HostReportQuery& next = next_queries_[host];
  if (report.host != host || query.incarnation != next.incarnation ||
      query.after_count != next.after_count)
    return false;
  next = {report.incarnation, report.last_count};
  return true;
}

}  // namespace teaselhill::duties
