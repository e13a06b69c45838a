/// \file
/// Exchanges the configuration with other hosts.

#ifndef TEASELHILL_ROUTER_CONFIG_EXCHANGE_H_
#define TEASELHILL_ROUTER_CONFIG_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/peer/messages.h"
#include "teaselhill/services/config_follower.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Exchanges the configuration between hosts, so that a host that cannot reach
/// the log still receives it. Logs the configuration records that it reads.
class ConfigExchange : public services::ConfigFollowerObserver,
                       private AnswerMonitor::Observer {
 public:
  /// Sends a message to the named host, or to a randomly chosen one if the name
  /// is empty.
  using SendFunction =
      std::function<void(const std::string& host, const peer::Message&)>;
  using ChangeFunction =
      std::function<void(std::shared_ptr<const config::ConfigView>)>;

  ConfigExchange(const std::string& host,
                 services::LogClient& log,
                 TimerService& timers,
                 Rng& rng,
                 Logger& logger,
                 SendFunction send,
                 ChangeFunction on_change);
  ~ConfigExchange() override;

  void Start();

  /// Sets the names of the live hosts, including this one.
  void SetHosts(std::vector<std::string> hosts) {
    follower_.SetHosts(std::move(hosts));
  }

  void OnHint(const std::string& from, const peer::ConfigHint& hint);
  void OnFetch(const std::string& from, const peer::ConfigFetch& fetch);
  void OnTransfer(const std::string& from,
                  const peer::ConfigTransfer& transfer);

  LogOffset next_offset() const { return follower_.state().next_offset(); }
  const services::LogLag& lag() const { return follower_.lag(); }

 private:
  void OnConfig(std::shared_ptr<const config::ConfigView> view) override;
  void OnVerdict(const config::Verdict& verdict) override;
  void OnProblem(const Error& error) override;
  void OnSourceInDoubt() override;
  void SendGossip();
  /// Tells some peers at once; they tell others in turn.
  void SpreadHints();

  services::LogClient& log_;
  TimerService& timers_;
  Logger& logger_;
  SendFunction send_;
  ChangeFunction on_change_;
  services::ConfigFollower follower_;
  /// Highest offset hinted by a peer that the log has not confirmed yet.
  LogOffset hinted_offset_{};
  bool doubt_told_ = false;  ///< peers know that the log does not answer
  TimerSubscription timer_;
  TimerSubscription hint_timer_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CONFIG_EXCHANGE_H_
