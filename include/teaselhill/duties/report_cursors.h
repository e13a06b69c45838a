/// \file
/// What the holder of the duties has got from each host.

#ifndef TEASELHILL_DUTIES_REPORT_CURSORS_H_
#define TEASELHILL_DUTIES_REPORT_CURSORS_H_

#include <map>
#include <string>

#include "teaselhill/duties/host_report.h"

namespace teaselhill::duties {

/// Chooses what to ask each host for, so that each count arrives once.
/// Deterministic.
class ReportCursors {
 public:
  /// The holder has changed: all that the hosts keep is asked for.
  void Clear() { next_queries_.clear(); }

  HostReportQuery QueryFor(const std::string& host) const {
    const auto found = next_queries_.find(host);
    return found == next_queries_.end() ? HostReportQuery{} : found->second;
  }

  /// Whether the answer to `query` is to be used: false if an answer to it has
  /// been used already, or if it is from another host, whose counts would be
  /// taken for those of this one.
  bool Accept(const std::string& host,
              const HostReportQuery& query,
              const HostReport& report);

 private:
  std::map<std::string, HostReportQuery> next_queries_;  ///< by host
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_REPORT_CURSORS_H_
