/// \file
/// Command-line flags and main loop shared by the stand-in programs.

#ifndef TEASELHILL_STANDIN_PROGRAM_H_
#define TEASELHILL_STANDIN_PROGRAM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/standin/standin.h"

namespace CLI {
class App;
}

namespace teaselhill::standin {

/// Command-line flags. The value of a `Duration` flag is in milliseconds.
class ProgramFlags {
 public:
  explicit ProgramFlags(const std::string& description);
  ~ProgramFlags();
  ProgramFlags(const ProgramFlags&) = delete;
  ProgramFlags& operator=(const ProgramFlags&) = delete;

  void Add(const std::string& name, std::string* value, const char* help);
  void Add(const std::string& name, uint64_t* value, const char* help);
  void Add(const std::string& name, uint32_t* value, const char* help);
  void Add(const std::string& name, uint16_t* value, const char* help);
  void Add(const std::string& name, double* value, const char* help);
  void Add(const std::string& name, bool* value, const char* help);
  void Add(const std::string& name, Duration* value, const char* help);
  void Add(const std::string& name,
           std::vector<std::string>* value,
           const char* help);

  /// Adds the flags that all stand-ins accept.
  void AddCommon(StandInOptions* options);

  /// Parses the arguments. Returns an exit code if the program has to exit
  /// immediately, for example after `--help` or an invalid flag.
  std::optional<int> Parse(int argc, char** argv);

 private:
  std::unique_ptr<CLI::App> app_;
};

/// Prints one JSON line with the listening port, then serves until SIGTERM or
/// SIGINT. Returns the exit code.
int RunStandIn(net::EventLoop& loop,
               StandIn& standin,
               const StandInOptions& options);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_PROGRAM_H_
