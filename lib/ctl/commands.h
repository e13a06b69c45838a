/// \file
/// The commands behind the command line.

#ifndef TEASELHILL_LIB_CTL_COMMANDS_H_
#define TEASELHILL_LIB_CTL_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "teaselhill/ctl/config_session.h"
#include "teaselhill/support/result.h"

namespace teaselhill::ctl {

struct Settings {
  std::string log_url;
  std::vector<std::string> hosts;
  std::string operator_key;
  std::string tls_ca;  ///< PEM file; empty: the system's trust anchors
  std::string author;
  std::string base;  ///< revision, `none`, or empty for the current one
  std::string file;
  std::string name;
  std::string offset;
  std::string timeout = "10s";
  std::vector<std::string> log_files;
  bool json = false;
};

/// Changes and shows contracts and assignments.
class ConfigCommands {
 public:
  ConfigCommands(ConfigSession& session,
                 const Settings& settings,
                 std::ostream& out)
      : session_(session), settings_(settings), out_(out) {}

  Status Put(config::ObjectKind kind);
  Status Delete(config::ObjectKind kind);
  Status SetDraining(bool draining);
  Status Show(config::ObjectKind kind);
  Status List(config::ObjectKind kind);
  Status History(config::ObjectKind kind);

 private:
  Status Submit(config::Change change);
  Status PrintVerdict(const config::Verdict& verdict);

  ConfigSession& session_;
  const Settings& settings_;
  std::ostream& out_;
};

/// Checks a file without the log.
Status CheckFile(const Settings& settings, std::ostream& out);

/// Ask the hosts' admin API.
Status ShowStatus(const Settings& settings, std::ostream& out);
Status ShowRequest(const Settings& settings, std::ostream& out);

/// Waits until every host of `--host` reports at least `offset` in force.
/// kWaitTimedOut names the hosts that do not.
Status WaitInForce(const Settings& settings,
                   LogOffset offset,
                   Waiter& waiter,
                   std::ostream& out);

}  // namespace teaselhill::ctl

#endif  // TEASELHILL_LIB_CTL_COMMANDS_H_
