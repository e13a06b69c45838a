/// \file
/// Division of the load polling of a failure domain among its hosts.

#ifndef TEASELHILL_ROUTING_REPORT_SHARING_H_
#define TEASELHILL_ROUTING_REPORT_SHARING_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/routing/byte_budget.h"
#include "teaselhill/routing/messages.h"
#include "teaselhill/routing/upstream_table.h"

namespace teaselhill::routing {

struct ReportSharingOptions {
  /// With up to this many engines in the failure domain, each host polls all
  /// engines. Polling one engine twice per second costs 614 bytes per second.
  size_t max_engines_polled_by_all = 6;
  /// Maximum rate of all polls of this host together.
  double poll_bytes_per_second = 1000;
  /// Size of one poll, including the answer and the HTTP headers.
  size_t poll_bytes = 250;
  /// Upper bound of the poll period. The bound also applies to a host that
  /// polls all engines because its peers are unreachable; such a host then
  /// exceeds `poll_bytes_per_second`.
  Duration max_poll_period = std::chrono::seconds(5);
  /// Bytes per second for messages to the peers in the failure domain.
  double publish_bytes_per_second = 800;
  Duration publish_burst = std::chrono::seconds(8);
  /// Maximum number of engines that a host polls, relative to an even division.
  /// Without this limit, a host at the design size polls up to twice its share.
  double max_engines_ratio = 1.25;
};

/// Decides which engines of the own failure domain this host polls, and
/// publishes their load to the peers. Each engine is polled by one host: the
/// first host in the engine's rendezvous hashing order that polls fewer engines
/// than its maximum. A change of hosts therefore moves few engines.
class ReportSharing {
 public:
  ReportSharing(std::string self, ReportSharingOptions options);

  /// Sets the engines of the own failure domain.
  void SetEngines(std::vector<std::string> engines);
  /// Sets the reachable peers in the own failure domain.
  void SetPeers(std::vector<std::string> peers);

  /// Returns whether the engines are divided among the hosts.
  bool DividesEngines() const;
  const std::set<std::string>& polled_engines() const {
    return polled_engines_;
  }
  /// Returns the time between two polls of an engine: `base`, or more when this
  /// host polls many engines.
  Duration PollPeriod(Duration base) const;

  void OnOwnReport(const std::string& engine,
                   const LoadReport& report,
                   TimePoint now);
  /// Returns the most urgent new reports, as many as the byte budget allows,
  /// which is often none. A report is urgent when the load differs from the
  /// published load or the published report is old. The caller sets `sender`.
  EngineReports MakeReportsMessage(TimePoint now);

 private:
  struct EngineState {
    LoadReport report;
    TimePoint measured_at;
    uint32_t published_load = 0;
    TimePoint published_measured_at;
  };

  void AssignEngines();
  static double Urgency(const EngineState& state, TimePoint now);

  std::string self_;
  ReportSharingOptions options_;
  ByteBudget budget_;
  std::vector<std::string> engines_;
  std::vector<std::string> peers_;
  std::set<std::string> polled_engines_;
  std::map<std::string, EngineState> engine_states_;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_REPORT_SHARING_H_
