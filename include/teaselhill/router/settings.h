/// \file
/// Settings of the router daemon, from flags and environment variables.

#ifndef TEASELHILL_ROUTER_SETTINGS_H_
#define TEASELHILL_ROUTER_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "teaselhill/net/tls.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::router {

struct Settings {
  std::string host;    ///< name on the host list
  std::string domain;  ///< failure domain
  std::string region;
  std::string address;         ///< IP address of all listeners
  uint16_t http_port = 8080;   ///< for callers; the same on all hosts
  uint16_t peer_port = 8081;   ///< for peers; the same on all hosts
  uint16_t admin_port = 8082;  ///< for operators
  std::string log_url;
  std::string host_list_url;       ///< empty: `peers` are all hosts
  std::string weight_store_url;    ///< validated, but not used
  std::vector<std::string> peers;  ///< name=address=domain, known at start
  std::string peer_secret;
  std::vector<std::string> operator_key_hashes;  ///< SHA-256 in hexadecimal
  /// Without a certificate all listeners are unencrypted.
  net::TlsFiles tls;
  int traffic_threads = 4;
  std::string admission_policy = "tiered";
  std::string routing_policy = "adaptive";
  LogLevel log_level = LogLevel::kInfo;
  uint64_t seed = 0;  ///< 0: from the operating system
  size_t max_body_bytes = 4 << 20;
  size_t memory_bytes = 128 << 20;  ///< of the process
  Duration drain_timeout = std::chrono::minutes(10);
  Duration report_period = std::chrono::milliseconds(500);
  Duration host_list_period = std::chrono::seconds(1);
  Duration claim_window = std::chrono::minutes(15);
  bool give_orders = true;
  bool hedging = true;
};

/// Text to print instead of running, such as the help or errors.
struct PrintAndExit {
  std::string text;
  int exit_code = 0;
};

using ParsedSettings = std::variant<Settings, PrintAndExit>;

/// Reads flags and `TEASELHILL_*` environment variables; a flag overrides its
/// variable. All errors are reported together, each with the setting's name,
/// the value and the allowed values. `environment` holds entries such as
/// `NAME=value`.
ParsedSettings ParseSettings(const std::vector<std::string>& arguments,
                             const std::vector<std::string>& environment);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_SETTINGS_H_
