/// \file
/// Keeps the configuration in force: from the log, from snapshots, or from
/// other hosts while the log cannot be reached.

#ifndef TEASELHILL_ROUTER_CONFIG_FOLLOWER_H_
#define TEASELHILL_ROUTER_CONFIG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/config/config_state.h"
#include "teaselhill/config/snapshot_schedule.h"
#include "teaselhill/peer/messages.h"
#include "teaselhill/platform/log_tail.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/rng.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::router {

class ConfigFollower : public platform::LogTailObserver {
 public:
  /// Sends a message to a host; an empty name means any host.
  using SendFunction =
      std::function<void(const std::string& host, const peer::Message&)>;
  using ChangeFunction =
      std::function<void(std::shared_ptr<const config::ConfigView>)>;

  ConfigFollower(HostIncarnation self,
                 platform::LogClient& log,
                 TimerService& timers,
                 Rng& rng,
                 Logger& logger,
                 SendFunction send,
                 ChangeFunction on_change);
  ~ConfigFollower() override;

  void Start();

  /// Names of the live hosts, this one included.
  void SetHosts(std::vector<std::string> hosts) { hosts_ = std::move(hosts); }

  void OnHint(const std::string& from, const peer::ConfigHint& hint);
  void OnFetch(const std::string& from, const peer::ConfigFetch& fetch);
  void OnTransfer(const std::string& from,
                  const peer::ConfigTransfer& transfer);

  LogOffset next_offset() const { return state_.next_offset(); }
  const platform::LogLag& lag() const { return tail_.lag(); }

  void OnRecords(const std::vector<platform::LogRecord>& records) override;
  void OnGap(LogOffset from) override;
  void OnLogRestartedWithLess(LogOffset from, LogOffset log_next) override;

 private:
  void Tick(TimePoint now);
  void ReadSnapshots(LogOffset from);
  void Adopt(const std::string& snapshot, const std::string& source);
  void Publish();
  void WriteSnapshot();

  HostIncarnation self_;
  platform::LogClient& log_;
  TimerService& timers_;
  Rng& rng_;
  Logger& logger_;
  SendFunction send_;
  ChangeFunction on_change_;
  config::ConfigState state_;
  config::SnapshotSchedule schedule_;
  platform::LogTail tail_;
  std::vector<std::string> hosts_;
  std::vector<std::string> snapshots_;
  bool reading_snapshots_ = false;
  bool writing_snapshot_ = false;
  std::shared_ptr<const config::ConfigView> published_;
  TimerSubscription tick_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CONFIG_FOLLOWER_H_
