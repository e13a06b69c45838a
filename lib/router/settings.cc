/// \file
/// Table of settings, whose flags are parsed by CLI11.

#include "teaselhill/router/settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <sstream>

#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/routing/routing_policy.h"

namespace teaselhill::router {

namespace {

constexpr std::string_view kVariablePrefix = "TEASELHILL_";

/// Environment variables that other programs of the project read. The daemon
/// may share an environment with them, so it does not report them as unknown.
constexpr std::string_view kOtherProgramsVariables[] = {
    "TEASELHILL_OPERATOR_KEY", "TEASELHILL_LOG", "TEASELHILL_AUTHOR"};

/// Stores the value and returns whether it is valid.
using ApplyFunction = std::function<bool(const std::string&, Settings&)>;

struct Setting {
  std::string flag;  ///< without the dashes
  std::string help;
  std::string allowed;
  ApplyFunction apply;
  bool required = false;
};

std::string VariableName(const Setting& setting) {
  std::string name(kVariablePrefix);
  for (char c : setting.flag)
    name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  return name;
}

template <typename T>
bool ParseNumber(const std::string& text, T min_value, T max_value, T* value) {
  T parsed{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), parsed);
  if (error != std::errc() || end != text.data() + text.size() ||
      parsed < min_value || parsed > max_value)
    return false;
  *value = parsed;
  return true;
}

bool ParseDuration(const std::string& text,
                   Duration min_value,
                   Duration max_value,
                   Duration* value) {
  size_t digits = 0;
  while (digits < text.size() && std::isdigit(text[digits]))
    ++digits;
  int64_t count = 0;
  if (!ParseNumber<int64_t>(text.substr(0, digits), 0, 1000000000, &count))
    return false;
  const std::string unit = text.substr(digits);
  Duration parsed{};
  if (unit == "ms")
    parsed = std::chrono::milliseconds(count);
  else if (unit == "s")
    parsed = std::chrono::seconds(count);
  else if (unit == "m")
    parsed = std::chrono::minutes(count);
  else
    return false;
  if (parsed < min_value || parsed > max_value)
    return false;
  *value = parsed;
  return true;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::stringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty())
      items.push_back(item);
  }
  return items;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

bool IsAddress(const std::string& text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789abcdef.:") == std::string::npos;
}

bool IsUrl(const std::string& text) {
  return text.rfind("http://", 0) == 0 || text.rfind("https://", 0) == 0;
}

bool IsKeyHash(const std::string& text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Setting NameSetting(std::string flag,
                    std::string help,
                    std::string Settings::*member,
                    bool required) {
  return {std::move(flag), std::move(help),
          "1 to 64 letters, digits, '-', '_' or '.'",
          [member](const std::string& text, Settings& settings) {
            settings.*member = text;
            return IsName(text);
          },
          required};
}

Setting UrlSetting(std::string flag,
                   std::string help,
                   std::string Settings::*member,
                   bool required) {
  return {std::move(flag), std::move(help), "http://ADDRESS:PORT",
          [member](const std::string& text, Settings& settings) {
            settings.*member = text;
            return IsUrl(text);
          },
          required};
}

Setting PortSetting(std::string flag,
                    std::string help,
                    uint16_t Settings::*member) {
  return {std::move(flag), std::move(help), "a port from 0 to 65535",
          [member](const std::string& text, Settings& settings) {
            return ParseNumber<uint16_t>(text, 0, 65535, &(settings.*member));
          }};
}

Setting DurationSetting(std::string flag,
                        std::string help,
                        Duration Settings::*member,
                        Duration min_value,
                        Duration max_value) {
  std::ostringstream allowed;
  allowed << "a duration such as 500ms, 2s or 10m, from "
          << ToMilliseconds(min_value) << "ms to " << ToSeconds(max_value)
          << "s";
  return {std::move(flag), std::move(help), allowed.str(),
          [member, min_value, max_value](const std::string& text,
                                         Settings& settings) {
            return ParseDuration(text, min_value, max_value,
                                 &(settings.*member));
          }};
}

Setting BoolSetting(std::string flag,
                    std::string help,
                    bool Settings::*member) {
  return {std::move(flag), std::move(help), "true or false",
          [member](const std::string& text, Settings& settings) {
            settings.*member = text == "true";
            return text == "true" || text == "false";
          }};
}

Setting PemFileSetting(std::string flag,
                       std::string help,
                       std::string net::TlsFiles::*member) {
  return {std::move(flag), std::move(help), "the name of a PEM file",
          [member](const std::string& text, Settings& settings) {
            settings.tls.*member = text;
            return !text.empty();
          }};
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : ", ") + name;
  return joined;
}

Setting PluginSetting(std::string flag,
                      std::string help,
                      std::string Settings::*member,
                      std::vector<std::string> names) {
  return {std::move(flag), std::move(help), "one of " + JoinNames(names),
          [member, names](const std::string& text, Settings& settings) {
            settings.*member = text;
            return std::find(names.begin(), names.end(), text) != names.end();
          }};
}

bool ParsePeers(const std::string& text, Settings& settings) {
  settings.peers = SplitList(text);
  return std::all_of(settings.peers.begin(), settings.peers.end(),
                     [](const std::string& peer) {
                       return std::count(peer.begin(), peer.end(), '=') == 2;
                     });
}

bool ParseLogLevel(const std::string& text, Settings& settings) {
  static const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  const auto found = levels.find(text);
  if (found == levels.end())
    return false;
  settings.log_level = found->second;
  return true;
}

std::vector<Setting> AllSettings() {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  return {
      NameSetting("host", "name of this host on the host list", &Settings::host,
                  true),
      NameSetting("domain", "failure domain of this host", &Settings::domain,
                  true),
      NameSetting("region", "region of this host", &Settings::region, false),
      {"address", "IP address of all listeners", "an IP address",
       [](const std::string& text, Settings& settings) {
         settings.address = text;
         return IsAddress(text);
       },
       true},
      PortSetting("http-port", "port for callers, the same on all hosts",
                  &Settings::http_port),
      PortSetting("peer-port", "port for other hosts, the same on all hosts",
                  &Settings::peer_port),
      PortSetting("admin-port", "port for operators", &Settings::admin_port),
      UrlSetting("log-url", "URL of the append-only log service",
                 &Settings::log_url, true),
      UrlSetting("host-list-url", "URL of the host list service",
                 &Settings::host_list_url, false),
      UrlSetting("weight-store-url", "URL of the weight store",
                 &Settings::weight_store_url, false),
      {"peers", "hosts known at the start", "a list NAME=ADDRESS=DOMAIN,...",
       ParsePeers},
      {"peer-secret", "secret shared by all hosts", "at least 16 characters",
       [](const std::string& text, Settings& settings) {
         settings.peer_secret = text;
         return text.size() >= 16;
       },
       true},
      {"operator-key-hashes", "SHA-256 hashes of the operators' keys",
       "a list of 64 hexadecimal digits each",
       [](const std::string& text, Settings& settings) {
         settings.operator_key_hashes = SplitList(text);
         return std::all_of(settings.operator_key_hashes.begin(),
                            settings.operator_key_hashes.end(), IsKeyHash);
       }},
      PemFileSetting(
          "tls-certificate",
          "certificate chain of this host for all listeners, and for "
          "connections to upstreams, platform and other hosts",
          &net::TlsFiles::certificate),
      PemFileSetting("tls-key", "private key of the certificate",
                     &net::TlsFiles::key),
      PemFileSetting(
          "tls-ca",
          "CA certificates that other certificates are verified against",
          &net::TlsFiles::ca),
      {"traffic-threads", "threads that relay answers", "a number from 1 to 64",
       [](const std::string& text, Settings& settings) {
         return ParseNumber(text, 1, 64, &settings.traffic_threads);
       }},
      PluginSetting("admission-policy", "policy that orders queued requests",
                    &Settings::admission_policy,
                    admission::AdmissionRegistry::Instance().Names()),
      PluginSetting("routing-policy", "policy that chooses upstreams",
                    &Settings::routing_policy,
                    routing::RoutingPolicyRegistry::Instance().Names()),
      {"log-level", "lowest level that is logged",
       "one of debug, info, warning, error", ParseLogLevel},
      {"seed", "seed of random choices; 0 takes one from the system",
       "a whole number",
       [](const std::string& text, Settings& settings) {
         return ParseNumber<uint64_t>(text, 0, ~0ull, &settings.seed);
       }},
      {"max-body-bytes", "maximum size of a request body in bytes",
       "a number from 1024 to 67108864",
       [](const std::string& text, Settings& settings) {
         return ParseNumber<size_t>(text, 1024, 64 << 20,
                                    &settings.max_body_bytes);
       }},
      {"memory-bytes",
       "memory of the process in bytes; unfinished requests and answers get an "
       "eighth of it",
       "a number from 33554432 to 1099511627776",
       [](const std::string& text, Settings& settings) {
         return ParseNumber<size_t>(text, size_t{32} << 20, size_t{1} << 40,
                                    &settings.memory_bytes);
       }},
      DurationSetting("drain-timeout",
                      "maximum wait for open requests at shutdown",
                      &Settings::drain_timeout, seconds(1), hours(24)),
      DurationSetting("report-period", "time between load reports of an engine",
                      &Settings::report_period, milliseconds(50), minutes(1)),
      DurationSetting("host-list-period", "time between reads of the host list",
                      &Settings::host_list_period, milliseconds(100), hours(1)),
      DurationSetting(
          "claim-window",
          "time within which a key may be retried; shorter than the log's "
          "retention",
          &Settings::claim_window, seconds(10), hours(24)),
      BoolSetting("give-orders", "whether this host may send orders to engines",
                  &Settings::give_orders),
      BoolSetting("hedging", "whether urgent requests may be hedged",
                  &Settings::hedging),
  };
}

std::string DurationText(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  if (ms.count() % 60000 == 0)
    return std::to_string(ms.count() / 60000) + "m";
  if (ms.count() % 1000 == 0)
    return std::to_string(ms.count() / 1000) + "s";
  return std::to_string(ms.count()) + "ms";
}

/// Returns the default of a setting as shown in the help.
std::string DefaultText(const Setting& setting) {
  if (setting.required)
    return "required";
  static const Settings defaults;
  static const std::map<std::string, std::string> texts = {
      {"http-port", std::to_string(defaults.http_port)},
      {"peer-port", std::to_string(defaults.peer_port)},
      {"admin-port", std::to_string(defaults.admin_port)},
      {"traffic-threads", std::to_string(defaults.traffic_threads)},
      {"admission-policy", defaults.admission_policy},
      {"routing-policy", defaults.routing_policy},
      {"log-level", "info"},
      {"seed", std::to_string(defaults.seed)},
      {"max-body-bytes", std::to_string(defaults.max_body_bytes)},
      {"memory-bytes", std::to_string(defaults.memory_bytes)},
      {"drain-timeout", DurationText(defaults.drain_timeout)},
      {"report-period", DurationText(defaults.report_period)},
      {"host-list-period", DurationText(defaults.host_list_period)},
      {"claim-window", DurationText(defaults.claim_window)},
      {"give-orders", defaults.give_orders ? "true" : "false"},
      {"hedging", defaults.hedging ? "true" : "false"}};
  const auto found = texts.find(setting.flag);
  return found == texts.end() ? "default: none" : "default: " + found->second;
}

std::string InvalidValueError(const std::string& name,
                              const std::string& value,
                              const std::string& allowed) {
  // A secret must not reach a terminal or a log.
  const bool secret = name.find("secret") != std::string::npos ||
                      name.find("SECRET") != std::string::npos;
  return name + ": '" + (secret ? std::string("***") : value) +
         "' is not valid, allowed: " + allowed + "\n";
}

/// Checks that the TLS settings are complete and their files match each other;
/// the validation of each setting on its own cannot detect such errors.
std::string TlsErrors(const net::TlsFiles& files) {
  const bool any_own = files.enabled() || !files.key.empty();
  if (any_own && (!files.enabled() || files.key.empty() || files.ca.empty()))
    return "--tls-certificate, --tls-key and --tls-ca go together; --tls-ca "
           "may stand alone\n";
  const Status checked = net::CheckTlsFiles(files);
  return checked ? "" : checked.error().message + "\n";
}

std::map<std::string, std::string> PrefixedVariables(
    const std::vector<std::string>& environment) {
  std::map<std::string, std::string> variables;
  for (const std::string& entry : environment) {
    const size_t equals = entry.find('=');
    if (equals != std::string::npos &&
        entry.compare(0, kVariablePrefix.size(), kVariablePrefix) == 0)
      variables[entry.substr(0, equals)] = entry.substr(equals + 1);
  }
  return variables;
}

std::string UnknownVariableErrors(
    const std::map<std::string, std::string>& given,
    const std::vector<Setting>& settings) {
  std::string errors;
  for (const auto& [name, value] : given) {
    const bool known = std::any_of(settings.begin(), settings.end(),
                                   [&, name = name](const Setting& setting) {
                                     return VariableName(setting) == name;
                                   }) ||
                       std::find(std::begin(kOtherProgramsVariables),
                                 std::end(kOtherProgramsVariables),
                                 name) != std::end(kOtherProgramsVariables);
    if (!known)
      errors += name + ": no such setting\n";
  }
  return errors;
}

}  // namespace

ParsedSettings ParseSettings(const std::vector<std::string>& arguments,
                             const std::vector<std::string>& environment) {
  const std::vector<Setting> all = AllSettings();
  CLI::App app("teaselhilld routes language-model requests under contracts.",
               "teaselhilld");
  app.set_version_flag("--version", TEASELHILL_VERSION);
  bool check_only = false;
  app.add_flag("--check-settings", check_only,
               "validate the settings and exit without running");
  std::map<std::string, std::string> values;
  for (const Setting& setting : all)
    app.add_option("--" + setting.flag, values[setting.flag],
                   setting.help + " (" + setting.allowed + "; " +
                       DefaultText(setting) + ") [" + VariableName(setting) +
                       "]");
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& failure) {
    std::ostringstream out;
    const int exit_code = app.exit(failure, out, out);
    return PrintAndExit{out.str(), exit_code == 0 ? 0 : 7};
  }
  const auto variables = PrefixedVariables(environment);
  Settings settings;
  std::string errors = UnknownVariableErrors(variables, all);
  for (const Setting& setting : all) {
    const bool by_flag = app.count("--" + setting.flag) > 0;
    const auto variable = variables.find(VariableName(setting));
    if (!by_flag && variable == variables.end()) {
      if (setting.required)
        errors += "--" + setting.flag +
                  ": missing, allowed: " + setting.allowed + "\n";
      continue;
    }
    const std::string& value =
        by_flag ? values[setting.flag] : variable->second;
    if (!setting.apply(value, settings))
      errors +=
          InvalidValueError(by_flag ? "--" + setting.flag : variable->first,
                            value, setting.allowed);
  }
  errors += TlsErrors(settings.tls);
  if (!errors.empty())
    return PrintAndExit{errors, 7};
  if (check_only)
    return PrintAndExit{"settings are valid\n", 0};
  return settings;
}

}  // namespace teaselhill::router
