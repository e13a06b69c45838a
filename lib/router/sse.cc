/// \file
/// Splitting of server-sent events.

#include "teaselhill/router/sse.h"

namespace teaselhill::router {

namespace {

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneEvent = "data: [DONE]";
constexpr std::string_view kContentMember = "\"content\":";

}  // namespace

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
  while (!done_) {
    const size_t end = data.find(kEventEnd, begin);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = data.substr(begin, end - begin);
    const size_t next = end + kEventEnd.size();
    if (event == kDoneEvent) {
      done_ = true;
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
