/// \file
/// Output of findings (nlohmann::json adapter).

#include "teaselhill/configcheck/findings_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "teaselhill/support/text.h"

namespace teaselhill::configcheck {

namespace {

const char* SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

size_t Count(const std::vector<Finding>& findings, Severity severity) {
  return std::count_if(findings.begin(), findings.end(),
                       [severity](const Finding& finding) {
                         return finding.severity == severity;
                       });
}

std::string EscapeControls(const std::string& text) {
  constexpr const char* kHexDigits = "0123456789abcdef";
  std::string escaped;
  for (const unsigned char c : ReplaceInvalidUtf8(text)) {
    if (c >= 0x20 && c != 0x7f) {
      escaped += static_cast<char>(c);
      continue;
    }
    escaped += "\\x";
    escaped += kHexDigits[c >> 4];
    escaped += kHexDigits[c & 15];
  }
  return escaped;
}

std::string CountText(size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

}  // namespace

bool IsValid(const std::vector<Finding>& findings) {
  return Count(findings, Severity::kError) == 0;
}

std::string FormatText(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings)
    text += std::string(SeverityName(finding.severity)) + ": " +
            EscapeControls(finding.place) + ": " +
            EscapeControls(finding.message) + "\n";
  text += IsValid(findings) ? "configuration is valid: "
                            : "configuration is not valid: ";
  return text + CountText(Count(findings, Severity::kError), "error") + ", " +
         CountText(Count(findings, Severity::kWarning), "warning") + "\n";
}

std::string FormatJson(const std::vector<Finding>& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : findings)
    list.push_back({{"severity", SeverityName(finding.severity)},
                    {"place", ReplaceInvalidUtf8(finding.place)},
                    {"message", ReplaceInvalidUtf8(finding.message)}});
  const nlohmann::json object = {
      {"valid", IsValid(findings)},
      {"errors", Count(findings, Severity::kError)},
      {"warnings", Count(findings, Severity::kWarning)},
      {"findings", std::move(list)}};
  return object.dump() + "\n";
}

}  // namespace teaselhill::configcheck
