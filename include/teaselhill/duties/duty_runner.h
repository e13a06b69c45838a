/// \file
/// Runs the duties of this host while it holds the lease.

#ifndef TEASELHILL_DUTIES_DUTY_RUNNER_H_
#define TEASELHILL_DUTIES_DUTY_RUNNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/duties/candidate_choice.h"
#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/duty_lease.h"
#include "teaselhill/duties/duty_log.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::duties {

struct DutyRunnerOptions {
  std::string host;
  uint64_t writer = 0;  ///< LeaseRecord::writer of this process
  LeaseOptions lease;
  CandidateOptions candidates;
  /// Calls a second that the platform's API takes from all hosts. This host
  /// uses a part, since the last holder may have used the same second.
  double calls_per_second = 1;
};

/// Longest text that can be kept.
constexpr size_t kMaxTextBytes = 128 << 10;

/// Moves records, answers and times between the log, the lease, the duties and
/// the platform's API. Used on one thread.
class DutyRunner : private DutyContext {
 public:
  using Clock = std::function<TimePoint()>;

  /// `clock`: goes on while the process is frozen.
  DutyRunner(TimerService& timers,
             Clock clock,
             std::unique_ptr<DutyLog> log,
             std::unique_ptr<PlatformApi> api,
             Logger& logger,
             Metrics& metrics,
             std::vector<std::unique_ptr<Duty>> duties,
             DutyRunnerOptions options);
  ~DutyRunner() override;
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  /// Hosts that run or ran of late. Nothing is read before the first are known.
  void OnHosts(const std::vector<KnownHost>& hosts);

  /// Sends no more calls, and releases the lease when the open one has ended.
  void StartDrain();

  bool IsHeld() const { return lease_.IsHeld(clock_()); }
  Epoch epoch() const { return lease_.epoch(); }

 private:
  /// A text of any holder that was read from the log.
  struct ReadText {
    std::pair<uint64_t, uint64_t> id;  ///< LeaseRecord::writer and number
    std::string duty;
    KeptText kept;
  };
  struct WaitingText {
    DutyLease::Text text;
    std::function<void(Status)> done;
  };
  enum class Call { kUsage, kServers };
  struct OpenCall {
    Call call = Call::kUsage;
    Epoch epoch = 0;
    uint64_t hold = 0;
    TimePoint sent_at;
    PlatformApi::Callback callback;
  };

  void Keep(std::string_view duty,
            std::string text,
            std::function<void(Status)> done) override;
  Status ReportUsage(const UsageReport& report,
                     PlatformApi::Callback callback) override;
  Status OrderServers(const PoolOrder& order,
                      PlatformApi::Callback callback) override;

  /// Does all that is due now.
  void Step();
  void StepOnce();
  void HandleEvents(TimePoint now);
  void OnAcquired(const LeaseEvent& event, TimePoint now);
  void OnLost(const LeaseEvent& event, TimePoint now);
  void EndHold(TimePoint now);
  void ReportHeld(bool held);
  void OnTextKept(uint64_t id);
  void SendAppend(TimePoint now);
  void SendRead(TimePoint now);
  ReadPlan PlanRead(TimePoint now) const;
  void OnPage(Result<LogPage> page);
  /// Call after the lease may have begun to read the log anew.
  void MarkLostTexts(uint64_t previous_offset);
  void RememberTexts(const std::vector<LeaseRecord>& records);
  /// Whether a text with this id was read before; if so, the log has it again.
  bool FindAgain(std::pair<uint64_t, uint64_t> id);
  KeptTexts TextsOf(std::string_view duty) const;
  void ArmTimer(TimePoint now);
  Status CheckCall(TimePoint now);
  PlatformApi::Callback BeginCall(Call call,
                                  TimePoint now,
                                  PlatformApi::Callback callback);
  void OnCallEnded(CallOutcome outcome);
  /// Gives up a call that another host's could overtake: the lease is lost, or
  /// the process was frozen.
  void GiveUpCall(TimePoint now);

  TimerService& timers_;
  Clock clock_;
  Logger& logger_;
  Metrics& metrics_;
  DutyRunnerOptions options_;
  DutyLease lease_;
  CandidateChoice candidates_;
  std::vector<std::unique_ptr<Duty>> duties_;

  bool draining_ = false;
  /// Number of the hold, while the duties run; their callbacks end with it.
  std::optional<uint64_t> hold_;
  uint64_t last_hold_ = 0;
  uint64_t last_call_ = 0;
  TimePoint next_tick_at_;
  std::optional<OpenCall> open_call_;
  /// When nothing is under way any more of the last call without an answer.
  TimePoint calls_over_at_;
  Epoch unanswered_epoch_ = 0;  ///< of that call
  double call_tokens_ = 0;
  TimePoint tokens_at_;

  std::deque<ReadText> texts_;
  std::set<std::pair<uint64_t, uint64_t>> text_ids_;
  std::deque<WaitingText> waiting_texts_;
  uint64_t last_text_ = 0;

  bool reading_ = false;
  Duration read_wait_{};  ///< of the read in progress
  std::optional<TimePoint> last_read_at_;
  TimePoint last_answered_read_at_;  ///< begin of the read
  TimePoint read_not_before_;
  int read_failures_ = 0;

  bool stepping_ = false;
  bool step_again_ = false;
  TimerSubscription wake_timer_;
  /// Expires with this object; callbacks of calls may come later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<DutyLog> log_;
  std::unique_ptr<PlatformApi> api_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_DUTY_RUNNER_H_
