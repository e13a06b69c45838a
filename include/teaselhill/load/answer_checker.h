/// \file
/// Compares a streamed or whole answer with the expected content.

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

  /// Processes `data`, the next bytes of the body. For an event stream, returns
  /// whether `data` completes at least one event with content; for other forms,
  /// whether `data` is not empty.
  bool Feed(std::string_view data);

  /// Whether the content received so far equals the expected content and, for a
  /// stream, the `[DONE]` event was received.
  bool Complete() const;

  /// Whether a stream had a malformed event, unexpected content, content after
  /// `[DONE]` or a second `[DONE]`.
  bool mismatch() const { return mismatch_; }

  /// Outcome named by the last error event of the stream; empty if there was no
  /// error event.
  const std::string& error_outcome() const { return error_outcome_; }

 private:
  bool HandleEvent(std::string_view payload);

  AnswerForm form_;
  std::string expected_;
  /// The incomplete last line of a stream, or the whole body.
  std::string buffer_;
  std::string error_outcome_;
  size_t matched_bytes_ = 0;
  bool mismatch_ = false;
  bool done_received_ = false;
};

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_ANSWER_CHECKER_H_
