/// \file
/// What each host tells the holder of the duties.

#ifndef TEASELHILL_DUTIES_HOST_REPORT_H_
#define TEASELHILL_DUTIES_HOST_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// Requests of one team that began to run at one host, by when they began.
/// Times are ages, so that only the holder's wall clock counts.
struct UsageCount {
  std::string team;
  Duration age{};  ///< at the time of the report
  uint32_t requests = 0;
};

/// Work that one host has sent to the engines of one service in one failure
/// domain since the last report.
struct EngineWork {
  std::string service;
  std::string domain;  ///< of the engines; empty: none was chosen
  /// Route tier, 0 the most urgent.
  int tier = 0;
  uint32_t requests = 0;
  uint64_t prompt_tokens = 0;     ///< that had to be read, as far as known
  uint64_t generated_tokens = 0;  ///< as counted in events
  uint32_t running = 0;           ///< open requests that have begun to answer
  uint32_t waiting = 0;           ///< open requests that have not
  uint32_t started = 0;           ///< answers that began
  uint32_t started_late = 0;      ///< of them, after the route's target
  uint32_t refused = 0;           ///< by this host or by the engines
};

struct HostReport {
  std::string host;
  uint64_t incarnation = 0;  ///< differs with each start of the host
  /// Counts up to this one are in this report or an earlier one.
  uint64_t last_count = 0;
  std::vector<UsageCount> usage;
  std::vector<EngineWork> work;
};

/// Asks a host for what it has counted.
struct HostReportQuery {
  /// HostReport::incarnation and last_count of the last report that arrived; 0
  /// for all that the host still keeps.
  uint64_t incarnation = 0;
  uint64_t after_count = 0;
};

/// CBOR. Decoding fails with kProtocolError.
std::string EncodeHostReport(const HostReport& report);
Result<HostReport> DecodeHostReport(std::string_view text);
std::string EncodeHostReportQuery(const HostReportQuery& query);
Result<HostReportQuery> DecodeHostReportQuery(std::string_view text);

/// Gets the reports of all hosts while this host holds the lease.
class HostReportHandler {
 public:
  virtual ~HostReportHandler() = default;
  virtual void OnHostReport(const HostReport& report, TimePoint now) = 0;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_HOST_REPORT_H_
