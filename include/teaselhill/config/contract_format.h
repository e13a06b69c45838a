/// \file
/// Text format of contracts and upstream assignments: JSON with comments.

#ifndef TEASELHILL_CONFIG_CONTRACT_FORMAT_H_
#define TEASELHILL_CONFIG_CONTRACT_FORMAT_H_

#include <string>
#include <string_view>

#include "teaselhill/config/contract.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

/// Parses and checks a contract. kChangeInvalid carries every fault, one a
/// line: the line and column of a syntax fault, or paths such as
/// `classes[2].tier`.
Result<Contract> ParseContract(std::string_view text);

/// Parses and checks an upstream assignment; errors as for ParseContract().
Result<UpstreamAssignment> ParseAssignment(std::string_view text);

/// Return indented JSON that parses back to the same value.
std::string FormatContract(const Contract& contract);
std::string FormatAssignment(const UpstreamAssignment& assignment);

/// Parses `1800ms`, `2s`, `1.5s`, `5m`, `250us` or `0`; refuses negative values
/// and values over one day.
Result<Duration> ParseDuration(std::string_view text);

/// Returns the shortest exact form that ParseDuration() accepts.
std::string FormatDuration(Duration duration);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONTRACT_FORMAT_H_
