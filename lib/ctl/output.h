/// \file
/// Tables for people and JSON for automation.

#ifndef TEASELHILL_LIB_CTL_OUTPUT_H_
#define TEASELHILL_LIB_CTL_OUTPUT_H_

#include <ostream>
#include <string>
#include <vector>

#include "teaselhill/support/result.h"

namespace teaselhill::ctl {

using Row = std::vector<std::string>;

/// Writes left-aligned columns under `head`.
void PrintTable(const Row& head, const std::vector<Row>& rows, std::ostream&);

/// Returns the exit code of a result code.
inline int ExitCode(ResultCode code) {
  return static_cast<int>(code) / 1000;
}

}  // namespace teaselhill::ctl

#endif  // TEASELHILL_LIB_CTL_OUTPUT_H_
