/// \file
/// Parser of server-sent events.

#include "teaselhill/gateway/event_stream.h"

#include <charconv>

namespace teaselhill::gateway {

namespace {

constexpr size_t kMaxEventBytes = 1 << 20;

/// Returns the position after the empty line that ends the first event from
/// `begin` on, or npos.
size_t EventEnd(std::string_view data, size_t begin) {
  const size_t plain = data.find("\n\n", begin);
  const size_t crlf = data.find("\n\r\n", begin);
  if (plain == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  if (crlf == std::string_view::npos || plain < crlf)
    return plain + 2;
  return crlf + 3;
}

/// Returns the value of the `id` field, or nothing.
std::optional<std::string_view> FindId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t begin = 0;
  while (begin < event.size()) {
    size_t end = event.find('\n', begin);
    if (end == std::string_view::npos)
      end = event.size();
    std::string_view line = event.substr(begin, end - begin);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.substr(0, kField.size()) == kField) {
      line.remove_prefix(kField.size());
      while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
      return line;
    }
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace

Result<std::string> EventStream::Feed(std::string_view data) {
  rest_.append(data);
  size_t done = 0;
  while (true) {
    const size_t end = EventEnd(rest_, done);
    if (end == std::string_view::npos)
      break;
    const Status checked =
        CheckId(std::string_view(rest_).substr(done, end - done));
    if (!checked)
      return checked.error();
    ++events_;
    done = end;
  }
  std::string whole = rest_.substr(0, done);
  rest_.erase(0, done);
  if (rest_.size() > kMaxEventBytes)
    return {ResultCode::kProtocolError, "event exceeds 1048576 bytes"};
  return whole;
}

Status EventStream::CheckId(std::string_view event) {
  const std::optional<std::string_view> text = FindId(event);
  if (!text)
    return Ok{};
  uint64_t id = 0;
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), id);
  if (error != std::errc() || end != text->data() + text->size())
    return {
        ResultCode::kProtocolError,
        "event id '" + std::string(text->substr(0, 32)) + "' is not a number"};
  if (last_id_ && id <= *last_id_)
    return {ResultCode::kProtocolError, "event id " + std::to_string(id) +
                                            " does not follow " +
                                            std::to_string(*last_id_)};
  last_id_ = id;
  return Ok{};
}

}  // namespace teaselhill::gateway
