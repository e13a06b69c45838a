/// \file
/// Brings what hosts count to the holder of the duties.

#ifndef TEASELHILL_GATEWAY_DUTY_POLLER_H_
#define TEASELHILL_GATEWAY_DUTY_POLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/report_cursors.h"
#include "teaselhill/duties/usage_counter.h"
#include "teaselhill/duties/work_source.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/peer_calls.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::gateway {

/// What a host counts itself; a null one counts nothing.
struct HostReportSources {
  duties::UsageCounter* usage = nullptr;
  duties::WorkSource* work = nullptr;
};

/// Answers the questions of the holder; while this host is the holder, asks
/// each host, itself included, once a second, spread over the second. It is a
/// duty itself, so that it learns who is the holder. Used on the control
/// thread.
class DutyPoller : public duties::Duty {
 public:
  static constexpr std::chrono::seconds kPeriod{1};
  static constexpr std::chrono::milliseconds kTimeout{400};
  static constexpr const char* kPath = "/v1/duty-report";

  /// `own_host`: name of this host. All references must outlive the poller, and
  /// `calls` must not be used after it. `now`: boot time.
  DutyPoller(PeerCalls& calls,
             TimerService& timers,
             EventLog& log,
             std::string own_host,
             HostReportSources sources,
             std::function<TimePoint()> now = BootNow);

  /// Adds the hosts that announce an address.
  void OnHosts(const std::vector<HostRecord>& records);

  /// Adds a receiver of each report, which must outlive the poller's last use.
  void AddHandler(duties::HostReportHandler& handler) {
    handlers_.push_back(&handler);
  }

  std::string_view name() const override { return "poll"; }
  /// Asks for all that hosts keep.
  void OnAcquired(duties::DutyContext& context,
                  const duties::KeptTexts& kept,
                  TimePoint now) override;
  /// Answers that are still on their way are dropped.
  void OnLost(TimePoint now) override;
  void OnTick(TimePoint) override {}

 private:
  static constexpr std::chrono::milliseconds kSlot{50};
  static constexpr int64_t kSlots = kPeriod / kSlot;

  struct Peer {
    std::string host;
    std::string address;
  };

  Result<std::string> Answer(const std::string& body);
  duties::HostReport MakeReport(const duties::HostReportQuery& query);
  /// Asks the hosts whose turn it is.
  void OnTimer();
  void Ask(const Peer& peer);
  void OnAnswer(const Peer& peer,
                const duties::HostReportQuery& query,
                TimePoint asked_at,
                const Result<std::string>& body);
  void Deliver(const duties::HostReportQuery& query,
               const std::string& host,
               const duties::HostReport& report);
  void LogUnreachable(const Peer& peer, const Error& error);

  PeerCalls& calls_;
  TimerService& timers_;
  EventLog& log_;
  const std::string own_host_;
  const HostReportSources sources_;
  const std::function<TimePoint()> now_;
  std::map<std::string, std::string> addresses_;  ///< of other hosts
  std::set<std::string> unreachable_;             ///< hosts
  duties::ReportCursors cursors_;
  std::vector<duties::HostReportHandler*> handlers_;
  int64_t last_slot_ = 0;
  /// Exists while this host holds the duties; answers to an earlier holding
  /// find it gone.
  std::shared_ptr<const bool> holding_;
  TimerSubscription timer_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_DUTY_POLLER_H_
