/// \file
/// Replays the `config` stream and appends changes for the command-line client.

#ifndef TEASELHILL_CTL_CONFIG_SESSION_H_
#define TEASELHILL_CTL_CONFIG_SESSION_H_

#include <functional>
#include <map>
#include <string>

#include "teaselhill/config/config_state.h"
#include "teaselhill/services/log_client.h"

namespace teaselhill::ctl {

/// Waits; the fakes of tests return at once.
class Waiter {
 public:
  virtual ~Waiter() = default;

  /// Runs the event loop until `done` holds.
  virtual void Until(const std::function<bool()>& done) = 0;

  /// Runs the event loop for `delay`.
  virtual void Sleep(Duration delay) = 0;
};

class ConfigSession {
 public:
  ConfigSession(services::LogClient& log, Waiter& waiter);

  /// Adopts the furthest snapshot and replays the log to its end.
  /// kOffsetDropped when retention dropped records that no snapshot covers.
  Status Load();

  /// Appends `change` and returns its verdict by replay. A lost answer is
  /// settled by reading; when the change is not on the log it is appended again
  /// under the same change id, which counts once. kAppendUnknown only when the
  /// log cannot be read either.
  Result<config::Verdict> Submit(const config::Change& change);

  const config::ConfigState& state() const { return state_; }

  /// Whether the log ends before the state in force, which then comes from a
  /// snapshot.
  bool log_restarted_with_less() const {
    return log_next_ < state_.next_offset();
  }

 private:
  Result<services::LogPage> Read(std::string_view stream, LogOffset from);
  /// Runs a read until it succeeds, a bounded number of times. `start` takes
  /// the callback of the read.
  template <typename T, typename Start>
  Result<T> ReadWithRetries(Start start);
  Result<LogOffset> Append(const config::Change& change);
  Status LoadSnapshots();
  Status Replay();

  services::LogClient& log_;
  Waiter& waiter_;
  config::ConfigState state_;
  LogOffset log_next_ = 0;
  /// Verdicts of the records replayed here, by change id.
  std::map<std::string, config::Verdict> verdicts_;
};

}  // namespace teaselhill::ctl

#endif  // TEASELHILL_CTL_CONFIG_SESSION_H_
