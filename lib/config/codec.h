/// \file
/// JSON conversion of contracts, assignments and verdicts.

#ifndef TEASELHILL_LIB_CONFIG_CODEC_H_
#define TEASELHILL_LIB_CONFIG_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "teaselhill/config/change.h"
#include "teaselhill/config/contract.h"

namespace teaselhill::config {

using Json = nlohmann::json;

/// Collects the validation errors of one document, one per line, so that all of
/// them are reported at once.
class ValidationErrors {
 public:
  void Add(const std::string& path, const std::string& text) {
    text_ += (text_.empty() ? "" : "\n") + path + ": " + text;
  }
  bool empty() const { return text_.empty(); }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

Json ToJson(const Contract& contract);
Json ToJson(const UpstreamAssignment& assignment);

/// Convert a document and add its validation errors to `errors`. The result is
/// usable only if no error was added.
Contract ReadContract(const Json& json, ValidationErrors* errors);
UpstreamAssignment ReadAssignment(const Json& json, ValidationErrors* errors);

/// Returns whether `name` is a valid name of a customer, team, class, upstream,
/// failure domain or service: 1 to 64 letters, digits, `.`, `_` or `-`.
bool IsName(std::string_view name);

Json ToJson(const Verdict& verdict);
Verdict ReadVerdict(const Json& json);
VerdictKind ReadVerdictKind(const Json& name);

std::string_view ObjectKindName(ObjectKind kind);
std::optional<ObjectKind> ParseObjectKind(std::string_view name);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_CODEC_H_
