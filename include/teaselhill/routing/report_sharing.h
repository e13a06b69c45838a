/// \file
/// Division of the load reports of a failure domain among its hosts.

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
  /// With up to this many engines each host polls all of them, which costs 614
  /// bytes a second for each at two polls a second.
  size_t polled_by_all = 6;
  /// Bytes a second for polls of this host's engines, and of one poll with its
  /// answer and HTTP heads.
  double poll_bytes_per_second = 1000;
  size_t poll_bytes = 250;
  /// Holds for a host whose neighbours are gone, at the cost of more bytes.
  Duration longest_poll_period = std::chrono::seconds(5);
  /// Bytes a second for messages to the other hosts of the domain.
  double spread_bytes_per_second = 800;
  Duration spread_burst = std::chrono::seconds(8);
  /// Most engines of a host, relative to an even division. Without a bound a
  /// host at the design size polls up to twice its part.
  double most_engines = 1.25;
};

/// Decides which engines of the own domain this host polls, and tells the
/// others their load. Each engine is polled by one host, the first by
/// rendezvous hashing that has room, so a change of hosts moves few engines.
class ReportSharing {
 public:
  ReportSharing(std::string self, ReportSharingOptions options);

  /// Engines of the own domain.
  void SetEngines(std::vector<std::string> engines);
  /// The other hosts of the own domain that are up.
  void SetHosts(std::vector<std::string> hosts);

  /// Whether engines are divided among hosts.
  bool shared() const;
  const std::set<std::string>& polled() const { return polled_; }
  /// At least `base`; longer when this host polls many engines.
  Duration PollPeriod(Duration base) const;

  void OnOwnReport(const std::string& engine,
                   const LoadReport& report,
                   TimePoint now);
  /// The reports that differ most from what was told before, as many as the
  /// byte budget allows; often none. The sender is left empty.
  EngineReports MakeMessage(TimePoint now);

 private:
  struct Known {
    LoadReport report;
    TimePoint taken;
    uint32_t told_load = 0;
    TimePoint told;
  };

  void Divide();
  static double Urgency(const Known& known, TimePoint now);

  std::string self_;
  ReportSharingOptions options_;
  ByteBudget budget_;
  std::vector<std::string> engines_;
  std::vector<std::string> hosts_;
  std::set<std::string> polled_;
  std::map<std::string, Known> known_;
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_REPORT_SHARING_H_
