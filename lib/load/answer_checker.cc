/// \file
/// Compares answers with their expected content.

#include "teaselhill/load/answer_checker.h"

#include "teaselhill/load/json.h"

namespace teaselhill::load {

bool AnswerChecker::Feed(std::string_view data) {
  buffer_.append(data);
  if (form_ != AnswerForm::kEventStream)
    return !data.empty();
  bool content = false;
  size_t start = 0;
  for (size_t end = buffer_.find('\n'); end != std::string::npos;
       end = buffer_.find('\n', start)) {
    std::string_view line(buffer_.data() + start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    constexpr std::string_view kField = "data:";
    if (line.substr(0, kField.size()) != kField)
      continue;
    line.remove_prefix(kField.size());
    if (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    content = HandleEvent(line) || content;
  }
  buffer_.erase(0, start);
  return content;
}

bool AnswerChecker::HandleEvent(std::string_view payload) {
  if (payload == "[DONE]") {
    mismatch_ = mismatch_ || done_received_;
    done_received_ = true;
    return false;
  }
  const auto event = ReadStreamEvent(payload);
  if (!event) {
    mismatch_ = true;
    return false;
  }
  if (!event->error_outcome.empty())
    error_outcome_ = event->error_outcome;
  const std::string& content = event->content;
  if (content.empty())
    return false;
  // Content after `[DONE]`, or longer than expected, is a mismatch too.
  mismatch_ = mismatch_ || done_received_ ||
              expected_.compare(matched_bytes_, content.size(), content) != 0;
  if (mismatch_)
    return true;
  matched_bytes_ += content.size();
  return true;
}

bool AnswerChecker::Complete() const {
  switch (form_) {
    case AnswerForm::kServiceBody:
      return buffer_ == expected_;
    case AnswerForm::kChatBody:
      return ReadChatContent(buffer_) == expected_;
    case AnswerForm::kEventStream:
      break;
  }
  return done_received_ && !mismatch_ && matched_bytes_ == expected_.size();
}

}  // namespace teaselhill::load
