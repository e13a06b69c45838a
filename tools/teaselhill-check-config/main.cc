/// \file
/// Checks a configuration before it is sent.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "platform/decode.h"
#include "teaselhill/configcheck/config_check.h"
#include "teaselhill/configcheck/findings_output.h"

namespace {

namespace configcheck = teaselhill::configcheck;
using teaselhill::Result;
using teaselhill::ResultCode;
using teaselhill::gateway::RouteConfig;

/// Guards against an endless input; well above any configuration.
constexpr size_t kMaxFileBytes = size_t{64} << 20;

constexpr size_t kReadBytes = size_t{64} << 10;

constexpr const char* kExitCodes =
    R"(Exit codes: 0 no error (there may be warnings), 4 the configuration is not
valid, 7 a file cannot be read or the command line is wrong.)";

struct Flags {
  std::string file;
  std::string file_in_force;
  bool json = false;
};

void Declare(CLI::App& app, Flags& flags) {
  app.set_version_flag("--version", TEASELHILL_VERSION);
  app.footer(kExitCodes);
  app.add_option("FILE", flags.file, "Configuration to check")->required();
  app.add_option("--against", flags.file_in_force,
                 "Configuration in force; differences from it are listed");
  app.add_flag("--json", flags.json, "Print one JSON object");
}

int ExitCode(ResultCode code) {
  return static_cast<int>(code) / 1000;
}

Result<std::string> ReadFile(const std::string& path) {
  const teaselhill::Error unreadable = {ResultCode::kFileUnreadable,
                                        "cannot read '" + path + "'"};
  std::error_code ignored;
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path, ignored))
    return unreadable;
  std::string text;
  std::string block(kReadBytes, '\0');
  while (file && text.size() <= kMaxFileBytes) {
    file.read(block.data(), static_cast<std::streamsize>(block.size()));
    text.append(block, 0, static_cast<size_t>(file.gcount()));
  }
  if (file.bad())
    return unreadable;
  if (text.size() > kMaxFileBytes)
    return {ResultCode::kFileUnreadable, "'" + path + "' exceeds 64 MiB"};
  if (text.empty())
    return {ResultCode::kInputEmpty, "'" + path + "' is empty"};
  return text;
}

void Append(std::vector<configcheck::Finding> more,
            std::vector<configcheck::Finding>* findings) {
  std::move(more.begin(), more.end(), std::back_inserter(*findings));
}

std::vector<configcheck::Finding> Compare(const std::string& text_in_force,
                                          const RouteConfig& next) {
  const Result<RouteConfig> in_force = platform::DecodeConfig(text_in_force);
  if (!in_force) {
    configcheck::Finding finding =
        configcheck::FindingFromDecoder(in_force.error().message);
    finding.place = "configuration in force";
    return {finding};
  }
  return configcheck::CompareConfigs(*in_force, next);
}

int Fail(const teaselhill::Error& error) {
  std::cerr << "teaselhill-check-config: " << error.message << "\n";
  return ExitCode(error.code);
}

int Report(const std::vector<configcheck::Finding>& findings, bool json) {
  std::cout << (json ? configcheck::FormatJson(findings)
                     : configcheck::FormatText(findings));
  return configcheck::IsValid(findings) ? 0
                                        : ExitCode(ResultCode::kChangeInvalid);
}

int Run(const Flags& flags) {
  const Result<std::string> text = ReadFile(flags.file);
  if (!text)
    return Fail(text.error());
  const bool compares = !flags.file_in_force.empty();
  const Result<std::string> text_in_force =
      compares ? ReadFile(flags.file_in_force) : std::string();
  if (!text_in_force)
    return Fail(text_in_force.error());
  const Result<RouteConfig> config = platform::DecodeConfig(*text);
  if (!config)
    return Report({configcheck::FindingFromDecoder(config.error().message)},
                  flags.json);
  std::vector<configcheck::Finding> findings =
      configcheck::CheckConfig(*config);
  if (compares)
    Append(Compare(*text_in_force, *config), &findings);
  return Report(findings, flags.json);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Checks a configuration before it is sent",
               "teaselhill-check-config");
  Flags flags;
  Declare(app, flags);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : ExitCode(ResultCode::kSettingInvalid);
  }
  return Run(flags);
}
