/// \file
/// Checks an answer byte for byte while it arrives.

#ifndef TEASELHILL_LOAD_ANSWER_CHECKER_H_
#define TEASELHILL_LOAD_ANSWER_CHECKER_H_

#include <string>
#include <string_view>

namespace teaselhill::load {

enum class AnswerForm { kEventStream, kChatBody, kServiceBody };

class AnswerChecker {
 public:
  AnswerChecker(AnswerForm form, std::string expected)
      : form_(form), expected_(std::move(expected)) {}

  /// Takes the next bytes of the body; returns whether content has arrived.
  bool Feed(std::string_view data);

  /// Whether the body ended as it must and its content is the expected one.
  bool Complete() const;

  /// Whether a stream brought other content than the expected one.
  bool mismatch() const { return mismatch_; }

  /// Outcome in an error event of a stream that was cut short, or empty.
  const std::string& error_outcome() const { return error_outcome_; }

 private:
  bool TakeEvent(std::string_view payload);

  AnswerForm form_;
  std::string expected_;
  std::string buffer_;  ///< an incomplete line, or the whole body
  std::string error_outcome_;
  size_t matched_ = 0;
  bool mismatch_ = false;
  bool done_ = false;
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ANSWER_CHECKER_H_
