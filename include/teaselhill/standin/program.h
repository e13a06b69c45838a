/// \file
/// Flags and main function shared by the stand-in programs.

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

/// Command-line flags. A `Duration` flag takes milliseconds.
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

  /// Adds the flags that all stand-ins take.
  void AddCommon(StandInOptions* options);

  /// Returns the exit code if the program is to end at once.
  std::optional<int> Parse(int argc, char** argv);

 private:
  std::unique_ptr<CLI::App> app_;
};

/// Serves until SIGTERM or SIGINT, after printing one JSON line with the port.
/// Returns the exit code.
int RunStandIn(net::EventLoop& loop,
               StandIn& standin,
               const StandInOptions& options);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_PROGRAM_H_
