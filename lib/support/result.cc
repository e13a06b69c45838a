/// \file
/// Table of result codes.

#include "teaselhill/support/result.h"

#include <algorithm>

namespace teaselhill {

const std::vector<ResultCodeInfo>& AllResultCodes() {
  static const std::vector<ResultCodeInfo> table = {
#define RESULT_CODE(number, name, status, outcome, text) \
  {ResultCode::k##name, #name, status, Outcome::k##outcome, text},
#include "teaselhill/support/result_codes.def"
#undef RESULT_CODE
  };
  return table;
}

const ResultCodeInfo& Describe(ResultCode code) {
  const std::vector<ResultCodeInfo>& table = AllResultCodes();
  const auto row = std::lower_bound(
      table.begin(), table.end(), code,
      [](const ResultCodeInfo& info, ResultCode c) { return info.code < c; });
  assert(row != table.end() && row->code == code && "undeclared result code");
  return *row;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNone:
      return "none";
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "none";
}

}  // namespace teaselhill
