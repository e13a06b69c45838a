/// \file
/// Sends the requests of a plan and records their results.

#ifndef TEASELHILL_LOAD_RUNNER_H_
#define TEASELHILL_LOAD_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/load/answer_checker.h"
#include "teaselhill/load/arrivals.h"
#include "teaselhill/load/plan.h"
#include "teaselhill/load/report.h"
#include "teaselhill/load/router_rotation.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::load {

/// Progress of a load run.
struct RunProgress {
  Duration elapsed{};
  size_t arrivals = 0;
  size_t arrived = 0;
  size_t open = 0;
};

class Runner {
 public:
  Runner(net::EventLoop& loop, Plan plan);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Runs the plan, then reads the journals and calls `done` once.
  void Start(std::function<void()> done);

  RunProgress progress() const;
  const std::vector<RequestRecord>& requests() const { return records_; }
  /// Returns the journals read so far. They are complete once the `done`
  /// function passed to Start() has been called.
  const Journals& journals() const { return journals_; }
  Summary MakeSummary() const;

 private:
  class Send;
  struct ActiveRequest;

  Duration Elapsed() const { return loop_.timers().Now() - start_; }
  void ScheduleArrivals();
  void HandleArrival(const Arrival& arrival);
  void RequestToken(size_t request, size_t router);
  /// Starts the first send and, if the request is to be resent, schedules the
  /// second send.
  void StartFirstSend(size_t request, size_t router);
  void StartSend(size_t request, size_t router);
  void StartTransfer(size_t request, size_t send, size_t router);
  void CheckRouters();
  /// Indices of the routers that the simulated balancer currently uses.
  std::vector<size_t> RoutersInUse() const;
  size_t PickRouter();
  size_t RouterAfter(size_t router);
  void OnSendEnded(const Send& ended, const net::TransferEnd& end);
  /// Schedules another send after `delay`, to the router that follows
  /// `failed_router` if given, or else to the next router in the rotation.
  void ScheduleRetry(size_t request,
                     Duration delay,
                     std::optional<size_t> failed_router = std::nullopt);
  void ScheduleResend(size_t request);
  void ScheduleDisconnect(size_t request);
  void ReleaseRequest(size_t request);
  void InjectFault(const FaultPlan& fault);
  void MaybeFinish();
  void CancelOpenSends();
  void ReadJournals();
  void ScheduleCall(Duration delay, std::function<void()> function);
  GapTracker& GapOf(size_t request);

  net::EventLoop& loop_;
  Plan plan_;
  Rng rng_;
  net::HttpClient client_;
  std::string run_id_;
  TimePoint start_{};
  std::vector<Arrival> arrivals_;
  size_t next_arrival_ = 0;
  uint64_t next_router_ = 0;
  RouterRotation rotation_;
  std::vector<RequestRecord> records_;
  std::map<size_t, ActiveRequest> active_;
  std::map<std::string, GapTracker> gaps_;
  Journals journals_;
  size_t journals_open_ = 0;
  bool draining_ = false;  ///< no new sends are started
  std::function<void()> done_;
  TimerSubscription arrival_timer_;
  TimerSubscription drain_timer_;
  TimerSubscription check_timer_;
  uint64_t last_timer_id_ = 0;
  std::map<uint64_t, TimerSubscription> timers_;
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_RUNNER_H_
