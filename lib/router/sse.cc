/// \file
/// Splitting of server-sent events.

#include "teaselhill/router/sse.h"

#include <algorithm>

namespace teaselhill::router {

namespace {

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneEvent = "data: [DONE]";
constexpr std::string_view kContentMember = "\"content\":";

/// Removes `prefix`, and the spaces behind it, from the front of `text`.
/// Returns whether it was there.
bool ConsumePrefix(std::string_view prefix, std::string_view* text) {
  if (text->substr(0, prefix.size()) != prefix)
    return false;
  text->remove_prefix(prefix.size());
  text->remove_prefix(std::min(text->find_first_not_of(' '), text->size()));
  return true;
}

bool IsErrorLine(std::string_view line) {
  if (ConsumePrefix("event:", &line))
    return line == "error";
  return ConsumePrefix("data:", &line) && ConsumePrefix("{", &line) &&
         ConsumePrefix("\"error\"", &line) && ConsumePrefix(":", &line) &&
         line.substr(0, 4) != "null";
}

}  // namespace

bool ReportsError(std::string_view event) {
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    if (IsErrorLine(event.substr(0, end)))
      return true;
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return false;
}

bool CarriesToken(std::string_view event) {
  // Searching for the member as text costs a tenth of parsing each event. A
  // quote inside a JSON string is escaped, so the name cannot occur in a value.
  size_t position = event.find(kContentMember);
  if (position == std::string_view::npos)
    return false;
  position += kContentMember.size();
  while (position < event.size() && event[position] == ' ')
    ++position;
  return position + 1 < event.size() && event[position] == '"' &&
         event[position + 1] != '"';
}

Result<SseSplitter::Batch> SseSplitter::Feed(std::string_view data) {
  Batch batch;
  std::string joined;
  if (!partial_event_.empty()) {
    joined = std::move(partial_event_);
    joined.append(data);
    data = joined;
  }
  // Allocates the maximum size at once. Repeated growth could allocate twice as
  // much, which would stay allocated while the events wait for a slow caller.
  batch.events.reserve(data.size());
  size_t begin = 0;
  while (!done_ && !failed_) {
    const size_t end = data.find(kEventEnd, begin);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = data.substr(begin, end - begin);
    const size_t next = end + kEventEnd.size();
    if (event == kDoneEvent) {
      done_ = true;
    } else if (ReportsError(event)) {
      batch.error_event = event;
      failed_ = true;
    } else {
      batch.tokens += CarriesToken(event);
      batch.events.append(data.substr(begin, next - begin));
    }
    begin = next;
  }
  partial_event_ = std::string(data.substr(begin));
  if (partial_event_.size() > kMaxEventBytes)
    return {ResultCode::kProtocolError, "event exceeds 1048576 bytes"};
  total_tokens_ += batch.tokens;
  batch.done = done_;
  return batch;
}

}  // namespace teaselhill::router
