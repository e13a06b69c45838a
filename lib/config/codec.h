/// \file
/// JSON conversion inside the config part.

#ifndef TEASELHILL_LIB_CONFIG_CODEC_H_
#define TEASELHILL_LIB_CONFIG_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "teaselhill/config/change.h"
#include "teaselhill/config/contract.h"

namespace teaselhill::config {

using Json = nlohmann::json;

/// Collects the faults of one document, so that all are reported at once.
class Faults {
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

/// Read a document and add what is wrong with it to `faults`.
Contract ReadContract(const Json& json, Faults* faults);
UpstreamAssignment ReadAssignment(const Json& json, Faults* faults);

/// Whether `name` may name a customer, team, class, upstream or service: 1 to
/// 64 of letters, digits, `.`, `_` and `-`.
bool IsName(std::string_view name);

Json ToJson(const Verdict& verdict);
Verdict ReadVerdict(const Json& json);
VerdictKind ReadVerdictKind(const Json& name);

std::string_view ObjectKindName(ObjectKind kind);
std::optional<ObjectKind> ParseObjectKind(std::string_view name);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_CODEC_H_
