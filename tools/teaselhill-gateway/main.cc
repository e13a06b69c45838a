/// \file
/// Gateway daemon for opaque requests on configured routes.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <map>

#include "platform/adapter.h"

namespace {

/// Exit code for settings that cannot be used.
constexpr int kBadSettings = 7;

struct Flags {
  std::string settings_file;
  uint16_t metrics_port = 0;
  teaselhill::LogLevel log_level = teaselhill::LogLevel::kInfo;
  std::string placement = "affinity";
  bool check_only = false;
};

void Declare(CLI::App& app, Flags& flags) {
  static const std::map<std::string, teaselhill::LogLevel> levels = {
      {"debug", teaselhill::LogLevel::kDebug},
      {"info", teaselhill::LogLevel::kInfo},
      {"warning", teaselhill::LogLevel::kWarning},
      {"error", teaselhill::LogLevel::kError}};
  app.set_version_flag("--version", TEASELHILL_VERSION);
  app.add_option("--settings", flags.settings_file,
                 "Settings file of the platform")
      ->envname(platform::kSettingsVariable)
      ->required();
  app.add_option("--metrics-port", flags.metrics_port,
                 "Port for /metrics; 0 serves none")
      ->envname("TEASELHILL_METRICS_PORT");
  app.add_option("--log-level", flags.log_level,
                 "debug, info, warning or error")
      ->envname("TEASELHILL_LOG_LEVEL")
      ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
  app.add_option("--placement", flags.placement, "How upstreams are chosen")
      ->envname("TEASELHILL_PLACEMENT")
      ->check(CLI::IsMember(
          teaselhill::gateway::PlacementRegistry::Instance().Names()));
  app.add_flag("--check-settings", flags.check_only,
               "Name every fault of the settings and exit");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Routes callers' requests to upstreams under service levels",
               "teaselhill-gateway");
  Flags flags;
  Declare(app, flags);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kBadSettings;
  }
  teaselhill::Result<platform::BootSettings> settings =
      platform::ReadBootSettings(flags.settings_file);
  if (!settings) {
    std::cerr << "teaselhill-gateway: " << settings.error().message << "\n";
    return kBadSettings;
  }
  if (flags.check_only && !settings->gateway.duties_fault.empty()) {
    std::cerr << "teaselhill-gateway: " << settings->gateway.duties_fault;
    return kBadSettings;
  }
  if (flags.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  settings->gateway.placement_policy = flags.placement;
  settings->gateway.log_level = flags.log_level;
  settings->gateway.metrics_endpoint = {settings->address, flags.metrics_port};
  const teaselhill::gateway::GatewaySettings gateway = settings->gateway;
  platform::PlatformAdapter adapter(flags.settings_file, std::move(*settings));
  return teaselhill::gateway::RunGateway(gateway, adapter);
}
