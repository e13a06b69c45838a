/// \file
/// Command-line parsing (CLI11 adapter).

#include "teaselhill/ctl/command_line.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <ostream>

#include "commands.h"
#include "output.h"
#include "teaselhill/ctl/log_explain.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::ctl {

namespace {

using config::ObjectKind;

constexpr Duration kPollStep = std::chrono::milliseconds(1);

constexpr const char* kExamples = R"(
Examples:
  teaselhillctl --log http://127.0.0.1:7000 contract put brazos.json
  teaselhillctl --log http://127.0.0.1:7000 contract put brazos.json --base 41
  teaselhillctl --log http://127.0.0.1:7000 contract history brazos
  teaselhillctl --log http://127.0.0.1:7000 upstream assign sheet-1.json
  teaselhillctl --log http://127.0.0.1:7000 upstream drain sheet-1
  teaselhillctl --host http://127.0.1.1:8082 --host http://127.0.1.2:8082 status
  teaselhillctl --host http://127.0.1.1:8082 wait --offset 42 --timeout 10s
  teaselhillctl --host http://127.0.1.1:8082 why 4f1c
  teaselhillctl explain 9c41d07be2a35f68 host-1.log host-2.log

Exit codes: 0 success, otherwise the result code divided by 1000: 1 not found or
not permitted, 4 change refused, 5 log, 6 network, 7 settings or timed out.)";

/// Runs an event loop on the calling thread while a command waits.
class LoopWaiter : public Waiter {
 public:
  explicit LoopWaiter(net::EventLoop& loop) : loop_(loop) {}

  void Until(const std::function<bool()>& done) override {
    const auto poll = loop_.timers().Subscribe(kPollStep, [&](TimePoint) {
      if (done())
        loop_.Stop();
    });
    loop_.Run();
  }

  void Sleep(Duration delay) override {
    const auto timer =
        loop_.timers().After(delay, [&](TimePoint) { loop_.Stop(); });
    loop_.Run();
  }

 private:
  net::EventLoop& loop_;
};

/// Connects a command to the log.
class LogCommand {
 public:
  LogCommand(const Settings& settings, std::ostream& out)
      : client_(loop_),
        log_(client_, settings.log_url),
        waiter_(loop_),
        session_(log_, waiter_),
        commands_(session_, settings, out) {
    client_.UseTls({"", "", settings.tls_ca});
  }

  ConfigCommands& commands() { return commands_; }
  ConfigSession& session() { return session_; }
  Waiter& waiter() { return waiter_; }

 private:
  net::EventLoop loop_;
  net::HttpClient client_;
  services::HttpLogClient log_;
  LoopWaiter waiter_;
  ConfigSession session_;
  ConfigCommands commands_;
};

using Command = std::function<Status()>;

/// Builds the commands and remembers the one that was chosen.
class CommandTable {
 public:
  CommandTable(CLI::App& app, Settings& settings, std::ostream& out)
      : app_(app), settings_(settings), out_(out) {
    AddGlobalOptions();
    AddObjectCommands("contract", "Contracts of customers", "put",
                      ObjectKind::kContract);
    AddObjectCommands("upstream", "Assignments of upstreams", "assign",
                      ObjectKind::kAssignment);
    AddHostCommands();
  }

  Status Run() { return chosen_(); }

 private:
  void AddGlobalOptions() {
    app_.footer(kExamples);
    app_.set_version_flag("--version", TEASELHILL_VERSION);
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.add_option("--log", settings_.log_url, "URL of the log service")
        ->envname("TEASELHILL_LOG");
    app_.add_option("--host", settings_.hosts,
                    "Admin URL of a host; repeatable")
        ->allow_extra_args(false);
    app_.add_option("--operator-key", settings_.operator_key,
                    "Bearer key for the admin API")
        ->envname("TEASELHILL_OPERATOR_KEY");
    app_.add_option("--tls-ca", settings_.tls_ca,
                    "Certificates that https servers are checked against")
        ->envname("TEASELHILL_TLS_CA");
    app_.add_option("--author", settings_.author, "Who makes the change")
        ->envname("TEASELHILL_AUTHOR");
    app_.add_flag("--json", settings_.json, "Print JSON");
  }

  CLI::App* Add(CLI::App* parent,
                const char* name,
                const char* help,
                Command command) {
    CLI::App* added = parent->add_subcommand(name, help);
    added->fallthrough();
    added->callback(
        [this, command = std::move(command)] { chosen_ = command; });
    return added;
  }

  /// A command on the log; refuses to run without its URL.
  Command OnLog(Status (ConfigCommands::*command)(ObjectKind),
                ObjectKind kind,
                bool changes) {
    return [this, command, kind, changes]() -> Status {
      const Status ready = NeedLog(changes);
      if (!ready)
        return ready;
      LogCommand log(settings_, out_);
      return (log.commands().*command)(kind);
    };
  }

  Status NeedLog(bool changes) const {
    if (settings_.log_url.empty())
      return {ResultCode::kSettingInvalid, "name the log with --log"};
    if (changes && settings_.author.empty())
      return {ResultCode::kSettingInvalid, "name yourself with --author"};
    return Ok{};
  }

  void AddObjectCommands(const char* group_name,
                         const char* help,
                         const char* put_name,
                         ObjectKind kind) {
    CLI::App* group = app_.add_subcommand(group_name, help);
    group->require_subcommand(1);
    group->fallthrough();
    CLI::App* put = Add(group, put_name, "Create or change from a file",
                        OnLog(&ConfigCommands::Put, kind, true));
    put->add_option("file", settings_.file, "JSON with comments")->required();
    AddBase(put);
    CLI::App* gone = Add(group, "delete", "Delete",
                         OnLog(&ConfigCommands::Delete, kind, true));
    AddName(gone);
    AddBase(gone);
    AddName(Add(group, "show", "Show what is in force",
                OnLog(&ConfigCommands::Show, kind, false)));
    AddName(Add(group, "history", "Show the latest verdicts",
                OnLog(&ConfigCommands::History, kind, false)));
    Add(group, "list", "List all", OnLog(&ConfigCommands::List, kind, false));
    if (kind == ObjectKind::kContract) {
      Add(group, "check", "Check a file without the log",
          [this] { return CheckFile(settings_, out_); })
          ->add_option("file", settings_.file, "JSON with comments")
          ->required();
      return;
    }
    AddDraining(group, "drain", "Send no new work to an upstream", true);
    AddDraining(group, "undrain", "Send work to an upstream again", false);
  }

  void AddDraining(CLI::App* group,
                   const char* name,
                   const char* help,
                   bool draining) {
    CLI::App* command = Add(group, name, help, [this, draining]() -> Status {
      const Status ready = NeedLog(true);
      if (!ready)
        return ready;
      LogCommand log(settings_, out_);
      return log.commands().SetDraining(draining);
    });
    AddName(command);
    AddBase(command);
  }

  void AddHostCommands() {
    Add(&app_, "status", "Show hosts and upstreams",
        [this] { return ShowStatus(settings_, out_); });
    CLI::App* why = Add(&app_, "why", "Show why a request was routed as it was",
                        [this] { return ShowRequest(settings_, out_); });
    why->add_option("request", settings_.name, "Request id")->required();
    CLI::App* explain =
        Add(&app_, "explain", "Tell the story of a request from hosts' logs",
            [this] {
              return ExplainRequest(settings_.name, settings_.log_files,
                                    std::cin, out_);
            });
    explain->add_option("request", settings_.name, "Request id")->required();
    explain->add_option("files", settings_.log_files,
                        "Log files; default: standard input");
    CLI::App* wait = Add(&app_, "wait", "Wait until a change is in force",
                         [this] { return Wait(); });
    wait->add_option("--offset", settings_.offset,
                     "Revision to wait for; default: the end of the log");
    wait->add_option("--timeout", settings_.timeout, "Such as 10s");
  }

  Status Wait() {
    LogCommand log(settings_, out_);
    if (settings_.offset.empty()) {
      const Status ready = NeedLog(false);
      const Status loaded = ready ? log.session().Load() : ready;
      if (!loaded)
        return loaded;
      const LogOffset next = log.session().state().next_offset();
      return WaitInForce(settings_, next - 1, log.waiter(), out_);
    }
    if (settings_.offset.size() > 18 ||
        settings_.offset.find_first_not_of("0123456789") != std::string::npos)
      return {ResultCode::kSettingInvalid, "--offset must be a number"};
    return WaitInForce(settings_, std::stoull(settings_.offset), log.waiter(),
                       out_);
  }

  void AddName(CLI::App* command) {
    command->add_option("name", settings_.name, "Name")->required();
  }

  void AddBase(CLI::App* command) {
    command->add_option("--base", settings_.base,
                        "Revision the change was made against, or 'none'; "
                        "default: the current one");
  }

  CLI::App& app_;
  Settings& settings_;
  std::ostream& out_;
  Command chosen_;
};

}  // namespace

int RunCommandLine(int argc,
                   const char* const* argv,
                   std::ostream& out,
                   std::ostream& err) {
  CLI::App app("Operators' client of teaselhill", "teaselhillctl");
  Settings settings;
  CommandTable commands(app, settings, out);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    // CLI11 only says that a command is missing.
    const std::vector<std::string> unknown = app.remaining(true);
    if (e.get_exit_code() != 0 && !unknown.empty())
      err << "teaselhillctl: unknown command or argument '" << unknown.front()
          << "'\n";
    const int code = app.exit(e, out, err);
    return code == 0 ? 0 : ExitCode(ResultCode::kSettingInvalid);
  }
  const Status status = commands.Run();
  if (status)
    return 0;
  const ResultCodeInfo& info = Describe(status.error().code);
  err << "teaselhillctl: " << info.name << " (" << static_cast<int>(info.code)
      << "): " << status.error().message << "\n";
  return ExitCode(info.code);
}

}  // namespace teaselhill::ctl
