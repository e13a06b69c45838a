/// \file
/// Numbered errors towards callers.

#include "teaselhill/net/error_response.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/support/logger.h"

namespace teaselhill::net {

std::string ErrorBody(const Error& error) {
  const ResultCodeInfo& info = Describe(error.code);
  std::string body = R"({"error":{"code":)" +
                     std::to_string(static_cast<int>(error.code)) +
                     R"(,"name":)";
  AppendJsonString(info.name, &body);
  body += R"(,"outcome":)";
  AppendJsonString(OutcomeName(info.outcome), &body);
  body += R"(,"message":)";
  AppendJsonString(error.message.empty() ? info.description
                                         : std::string_view(error.message),
                   &body);
  return body + "}}";
}

Headers ErrorHeaders(const Error& error, Duration retry_after) {
  const ResultCodeInfo& info = Describe(error.code);
  Headers headers = {
      {"Content-Type", "application/json"},
      {"X-Teaselhill-Outcome", std::string(OutcomeName(info.outcome))},
      {"X-Teaselhill-Code", std::to_string(static_cast<int>(error.code))}};
  const bool fault_of_caller = static_cast<int>(error.code) < 2000;
  if (info.outcome == Outcome::kNotRun && !fault_of_caller) {
    const double seconds = std::max(1.0, std::ceil(ToSeconds(retry_after)));
    headers.push_back(
        {"Retry-After", std::to_string(static_cast<int64_t>(seconds))});
  }
  return headers;
}

}  // namespace teaselhill::net
