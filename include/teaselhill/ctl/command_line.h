/// \file
/// The operators' command-line client.

#ifndef TEASELHILL_CTL_COMMAND_LINE_H_
#define TEASELHILL_CTL_COMMAND_LINE_H_

#include <iosfwd>

namespace teaselhill::ctl {

/// Runs one command and returns the exit code: 0, or the result code divided by
/// 1000.
int RunCommandLine(int argc,
                   const char* const* argv,
                   std::ostream& out,
                   std::ostream& err);

}  // namespace teaselhill::ctl

#endif  // TEASELHILL_CTL_COMMAND_LINE_H_
