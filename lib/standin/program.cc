/// \file
/// Command-line parsing with CLI11, and the main loop of the stand-in programs.

#include "teaselhill/standin/program.h"

#include <CLI/CLI.hpp>
#include <cstdio>

#include "teaselhill/support/logger.h"

namespace teaselhill::standin {

ProgramFlags::ProgramFlags(const std::string& description)
    : app_(std::make_unique<CLI::App>(description)) {}

ProgramFlags::~ProgramFlags() = default;

void ProgramFlags::Add(const std::string& name,
                       std::string* value,
                       const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name,
                       uint64_t* value,
                       const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name,
                       uint32_t* value,
                       const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name,
                       uint16_t* value,
                       const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name,
                       double* value,
                       const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name, bool* value, const char* help) {
  app_->add_option(name, *value, help)->capture_default_str();
}

void ProgramFlags::Add(const std::string& name,
                       Duration* value,
                       const char* help) {
  app_->add_option_function<double>(
      name, [value](const double& ms) { *value = FromSeconds(ms / 1000); },
      std::string(help) + " (milliseconds)");
}

void ProgramFlags::Add(const std::string& name,
                       std::vector<std::string>* value,
                       const char* help) {
  app_->add_option(name, *value, help)->delimiter(',')->capture_default_str();
}

void ProgramFlags::AddCommon(StandInOptions* options) {
  Add("--address", &options->address, "listening address");
  Add("--port", &options->port, "listening port; 0 selects a free port");
  Add("--name", &options->name, "name printed in the first line of output");
  Add("--seed", &options->seed, "seed of the random number generator");
  Add("--latency-ms", &options->latency, "delay before a request is served");
  Add("--crash-on", &options->crash_on,
      "prompt text that makes the process crash");
  Add("--journal-file", &options->journal_file,
      "append the journal to this file, one line per start and end of a run");
}

std::optional<int> ProgramFlags::Parse(int argc, char** argv) {
  try {
    app_->parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app_->exit(failure);
  }
  return std::nullopt;
}

int RunStandIn(net::EventLoop& loop,
               StandIn& standin,
               const StandInOptions& options) {
  if (options.address.rfind("127.", 0) != 0 && options.address != "::1") {
    std::fprintf(stderr, "%s is not a loopback address\n",
                 options.address.c_str());
    return 1;
  }
  if (!options.journal_file.empty() &&
      !standin.OpenJournalFile(options.journal_file)) {
    std::fprintf(stderr, "cannot open journal file %s\n",
                 options.journal_file.c_str());
    return 1;
  }
  net::HttpServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  net::HttpServer server(loop, server_options, standin);
  const Status started = server.Start();
  if (!started) {
    std::fprintf(stderr, "%s\n", started.error().message.c_str());
    return 1;
  }
  std::string name;
  AppendJsonString(options.name, &name);
  std::printf("{\"event\":\"listening\",\"port\":%u,\"name\":%s}\n",
              unsigned{server.port()}, name.c_str());
  std::fflush(stdout);
  const auto signals = net::HandleTermination(loop, [&](int) { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace teaselhill::standin
