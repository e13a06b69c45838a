/// \file
/// Findings as text for people and as JSON.

#ifndef TEASELHILL_CONFIGCHECK_FINDINGS_OUTPUT_H_
#define TEASELHILL_CONFIGCHECK_FINDINGS_OUTPUT_H_

#include <string>
#include <vector>

#include "teaselhill/configcheck/config_check.h"

namespace teaselhill::configcheck {

/// Whether no finding is an error.
bool IsValid(const std::vector<Finding>& findings);

/// Returns one line for each finding and a line with the verdict. Control
/// characters of names are escaped, so a name cannot add a line.
std::string FormatText(const std::vector<Finding>& findings);

/// Returns one JSON object on one line.
std::string FormatJson(const std::vector<Finding>& findings);

}  // namespace teaselhill::configcheck

#endif  // TEASELHILL_CONFIGCHECK_FINDINGS_OUTPUT_H_
