/// \file
/// Hosts that share the duties on simulated time, with a log that fails.

#ifndef TEASELHILL_UNITTESTS_DUTIES_DUTY_FLEET_H_
#define TEASELHILL_UNITTESTS_DUTIES_DUTY_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/duties/duty_runner.h"
#include "teaselhill/metrics/metrics.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::duties {

/// How the log treats what is sent to it.
struct LogFaults {
  Duration max_delay = std::chrono::milliseconds(10);  ///< each way
  double lost_requests = 0;                            ///< as a fraction
  double lost_answers = 0;
  /// Appends that are executed up to kMaxLateness later; their answers are
  /// lost.
  double late_appends = 0;
  bool down = false;
};

struct SimulatedCall {
  size_t host = 0;
  Epoch epoch = 0;
  TimePoint arrived_at;
};

class SimulatedHost;

/// The hosts, the log and the platform's API. Each duty makes a call at each
/// tick. Everything that is random comes from the seed.
class DutyFleet {
 public:
  static constexpr std::chrono::milliseconds kStep{20};
  static constexpr std::chrono::milliseconds kRequestTimeout{900};
  static constexpr std::chrono::seconds kMaxLateness{8};
  /// A call may arrive after its sender has given it up: what is under way in
  /// the network still arrives.
  static constexpr std::chrono::milliseconds kMaxCallDelay{2100};
  /// A call that a cut or a freeze has held up arrives at most so long after
  /// its end, unless its sender has given it up by then.
  static constexpr std::chrono::milliseconds kMaxHeldDelay{800};
  /// Calls that arrive so soon after the end of a cut or a freeze of their
  /// sender are excused.
  static constexpr std::chrono::milliseconds kExcusedTime{300};

  DutyFleet(size_t hosts,
            uint64_t seed,
            DutyRunnerOptions options = {},
            Duration max_call_delay = kMaxCallDelay);
  ~DutyFleet();

  void Run(Duration time);
  TimePoint now() const { return now_; }
  size_t hosts() const { return hosts_.size(); }

  /// The host that holds the lease now; nothing: none.
  std::optional<size_t> holder() const;
  /// The first rule that was broken; empty: none.
  const std::string& fault() const { return fault_; }
  const std::vector<SimulatedCall>& calls() const { return calls_; }
  /// Texts that the host was given when it last acquired the lease.
  const std::vector<KeptText>& texts_given(size_t host) const;

  void Kill(size_t host);
  void Start(size_t host);
  void Drain(size_t host);
  bool IsRunning(size_t host) const;
  /// Suspends the whole host: the timeouts of its connections stand still too.
  void SetFrozen(size_t host, bool frozen);
  void SetCut(size_t host, bool cut);
  /// The log refuses the host and serves the others.
  void SetRefused(size_t host, bool refused);
  /// The texts of all hosts have to differ.
  void Keep(size_t host, const std::string& text);

  /// Reads and appends that hosts have sent.
  uint64_t log_calls() const { return log_calls_; }

  LogFaults& log_faults() { return log_faults_; }
  /// A mutation: connections of calls that were given up are closed, not reset.
  void CloseGivenUpCalls() { resets_calls_ = false; }
  /// Drops all records that the log has.
  void DropHistory() { first_ = end(); }
  void SaveCopy() { copy_ = records_.size(); }
  /// The log comes back from the copy, if there is one.
  void RestoreCopy();
  /// The next append is executed after this time, and its answer is lost.
  void DelayNextAppend(Duration delay) { next_append_delay_ = delay; }
  /// The answers to appends are lost from now on until this time has passed.
  void LoseAppendAnswers(Duration time) {
    append_answers_lost_until_ = now_ + time;
  }

  Rng& rng() { return rng_; }

 private:
  friend class SimulatedLog;
  friend class SimulatedApi;
  friend class SimulatedHost;

  uint64_t end() const { return records_.size(); }
  void Schedule(Duration delay, std::function<void()> action);
  void RunDue();
  void CheckHolders();
  void CheckCall(const SimulatedCall& call);
  void CheckTexts(const KeptTexts& given);
  Duration RandomDelay();
  bool Happens(double probability) { return rng_.Uniform() < probability; }
  LogPage PageFrom(uint64_t from) const;
  AppendAnswer Execute(const LogAppend& append);

  Rng rng_;
  DutyRunnerOptions options_;
  Duration max_call_delay_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<SimulatedHost>> hosts_;
  std::multimap<TimePoint, std::function<void()>> due_;
  std::vector<LeaseRecord> records_;
  uint64_t first_ = 0;
  uint64_t era_ = 1;
  std::optional<size_t> copy_;
  LogFaults log_faults_;
  uint64_t log_calls_ = 0;
  bool resets_calls_ = true;
  std::optional<Duration> next_append_delay_;
  TimePoint append_answers_lost_until_;
  std::vector<SimulatedCall> calls_;
  std::map<Epoch, size_t> host_of_epoch_;
  std::map<size_t, TimePoint> last_call_of_;
  /// When a holder was told that the text is kept, so that it could act on it.
  std::map<std::string, TimePoint> kept_at_;
  std::string fault_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_UNITTESTS_DUTIES_DUTY_FLEET_H_
