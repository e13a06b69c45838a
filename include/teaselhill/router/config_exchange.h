/// \file
/// Connects the configuration follower with the other hosts and the log lines.

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

/// Spreads the configuration between hosts, so that one which cannot reach the
/// log still gets it.
class ConfigExchange : public services::ConfigFollowerObserver {
 public:
  /// Sends a message to a host; an empty name means any host.
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

  void Start();

  /// Names of the live hosts, this one included.
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
  void Gossip();

  TimerService& timers_;
  Logger& logger_;
  SendFunction send_;
  ChangeFunction on_change_;
  services::ConfigFollower follower_;
  LogOffset hinted_{};  ///< highest hint that the log has not confirmed yet
  TimerSubscription timer_;
  TimerSubscription hint_timer_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_CONFIG_EXCHANGE_H_
