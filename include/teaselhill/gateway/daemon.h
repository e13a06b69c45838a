/// \file
/// Sets up the gateway's threads and runs them until SIGTERM.

#ifndef TEASELHILL_GATEWAY_DAEMON_H_
#define TEASELHILL_GATEWAY_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/duties/duty.h"
#include "teaselhill/duties/duty_log.h"
#include "teaselhill/duties/duty_settings.h"
#include "teaselhill/gateway/fleet_log.h"
#include "teaselhill/gateway/gateway.h"
#include "teaselhill/gateway/peer_calls.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/stream_log.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

struct Endpoint {
  std::string address;  ///< IP address
  uint16_t port = 0;

  bool operator==(const Endpoint& other) const {
    return address == other.address && port == other.port;
  }
  bool operator!=(const Endpoint& other) const { return !(*this == other); }
};

/// Parses an endpoint such as `10.1.0.19:8740`. The kSettingInvalid error names
/// the setting `field`.
Result<Endpoint> ParseEndpoint(const std::string& text,
                               const std::string& field);

struct GatewaySettings {
  std::string host;
  std::string domain;
  Endpoint caller_endpoint;
  Endpoint readiness_endpoint;
  Endpoint metrics_endpoint;  ///< port 0: metrics are not served
  Endpoint peer_endpoint;     ///< port 0: no messages between hosts
  /// Requests of hosts that are cut from all upstreams; port 0: not served.
  Endpoint relay_endpoint;
  /// Time after SIGTERM at which the platform sends SIGKILL.
  Duration shutdown_grace = std::chrono::seconds(8);
  RetryBudgetOptions retry_budget;
  /// Time after the last crash that is tolerated in which all hosts must have
  /// stopped sending requests with its cause.
  Duration crash_stop_delay = std::chrono::seconds(3);
  std::string placement_policy = "affinity";  ///< name of a plug-in
  size_t max_descriptors = 1024;
  /// Memory above which the platform ends the process; see
  /// UnfinishedMessageBounds(). Read at the start only.
  size_t max_memory_bytes = 110'000'000;
  LogLevel log_level = LogLevel::kInfo;
  /// Nothing: the deployment lists no duties. Read at the start only.
  std::optional<duties::DutySettings> duties;
  /// Why the settings of the duties cannot be used; empty: they can.
  std::string duties_fault;
};

/// Settings that were read while the gateway runs.
struct ReloadedSettings {
  GatewaySettings gateway;
  /// Names of the fields that have changed and are read at the start only.
  std::vector<std::string> need_restart;
};

/// Connects the gateway to a platform.
class Adapter {
 public:
  virtual ~Adapter() = default;
  virtual const CallerProtocol& callers() const = 0;
  virtual const UpstreamProtocol& upstreams() const = 0;
  /// What the three of them hold of unfinished answers counts towards
  /// `memory_budget`.
  /// `peers` must outlive the source.
  virtual std::unique_ptr<StateSource> MakeStateSource(
      net::EventLoop& loop,
      net::MemoryBudget& memory_budget,
      PeerCalls& peers) = 0;
  virtual std::unique_ptr<FleetLog> MakeFleetLog(
      net::EventLoop& loop,
      net::MemoryBudget& memory_budget) = 0;
  virtual std::unique_ptr<StreamLog> MakeStreamLog(
      net::EventLoop& loop,
      net::MemoryBudget& memory_budget) = 0;

  /// Both are asked for only if GatewaySettings::duties is set.
  virtual std::unique_ptr<duties::DutyLog> MakeDutyLog(
      net::EventLoop& loop,
      net::MemoryBudget& memory_budget) = 0;
  virtual std::unique_ptr<duties::PlatformApi> MakePlatformApi(
      net::EventLoop& loop) = 0;

  /// Reads the settings again. After an error, the previous settings stay in
  /// force.
  virtual Result<ReloadedSettings> ReloadSettings() = 0;

  /// Whether the settings have changed since they were last read.
  virtual bool SettingsChanged() = 0;
};

/// Runs the gateway until it has drained. Returns the exit code: 0 after a
/// drain, otherwise the class of the error (its code divided by 1000).
int RunGateway(const GatewaySettings& settings, Adapter& adapter);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_DAEMON_H_
