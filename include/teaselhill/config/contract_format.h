/// \file
/// Text format of contracts and upstream assignments: JSON with comments.

#ifndef TEASELHILL_CONFIG_CONTRACT_FORMAT_H_
#define TEASELHILL_CONFIG_CONTRACT_FORMAT_H_

#include <string>
#include <string_view>

#include "teaselhill/config/contract.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

/// Parses and validates a contract. On failure returns kChangeInvalid; the
/// message lists every error on a line of its own. A syntax error is located by
/// line and column, any other error by a path such as `classes[2].tier`.
Result<Contract> ParseContract(std::string_view text);

/// Parses and validates an upstream assignment; errors as for ParseContract().
Result<UpstreamAssignment> ParseAssignment(std::string_view text);

/// Returns indented JSON that parses back to the same value.
std::string FormatContract(const Contract& contract);
std::string FormatAssignment(const UpstreamAssignment& assignment);

/// Parses a duration such as `1800ms`, `2s`, `1.5s`, `5m`, `250us`, `10ns` or
/// `0`. Returns kChangeInvalid for negative durations and durations of more
/// than one day.
Result<Duration> ParseDuration(std::string_view text);

/// Returns `duration` as a whole number of the largest unit that represents
/// the duration exactly. ParseDuration() accepts this form.
std::string FormatDuration(Duration duration);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONTRACT_FORMAT_H_
