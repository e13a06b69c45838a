/// \file
/// Numbered result codes and the `Result<T>` value that carries them.

#ifndef TEASELHILL_SUPPORT_RESULT_H_
#define TEASELHILL_SUPPORT_RESULT_H_

#include <cassert>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace teaselhill {

enum class ResultCode {
#define RESULT_CODE(number, name, status, outcome, text) k##name = number,
#include "teaselhill/support/result_codes.def"
#undef RESULT_CODE
};

/// What a caller may conclude about its request.
enum class Outcome {
  kNone,      ///< the code never answers a caller
  kAnswered,  ///< the whole answer was delivered
  kNotRun,    ///< no upstream has run or will run the request
  kUnknown,   ///< it may have run and will not be run again
};

/// One row of the result code table.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;  ///< CamelCase name without the leading k
  int http_status;
  Outcome outcome;
  std::string_view description;
};

/// All codes in ascending order.
const std::vector<ResultCodeInfo>& AllResultCodes();

/// Returns the row of `code`; asserts that it is a declared code.
const ResultCodeInfo& Describe(ResultCode code);

/// Returns `answered`, `not-run`, `unknown` or `none`.
std::string_view OutcomeName(Outcome outcome);

/// A failure: a numbered code and a diagnostic that names the input at fault.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

/// Success without a value.
struct Ok {};

/// Either a value or an error. Must be looked at before the value is used.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : value_(std::move(value)) {}
  Result(Error error) : value_(std::move(error)) {}
  Result(ResultCode code, std::string message)
      : value_(Error{code, std::move(message)}) {}

  bool ok() const { return std::holds_alternative<T>(value_); }
  explicit operator bool() const { return ok(); }

  const T& value() const {
    assert(ok() && "value() called on an error result");
    return std::get<T>(value_);
  }
  T& value() {
    assert(ok() && "value() called on an error result");
    return std::get<T>(value_);
  }
  const Error& error() const {
    assert(!ok() && "error() called on a success result");
    return std::get<Error>(value_);
  }
  const T& operator*() const { return value(); }
  T& operator*() { return value(); }
  const T* operator->() const { return &value(); }
  T* operator->() { return &value(); }

 private:
  std::variant<T, Error> value_;
};

using Status = Result<Ok>;

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_RESULT_H_
