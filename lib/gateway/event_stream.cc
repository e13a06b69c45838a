/// \file
/// Parser of server-sent events.

#include "teaselhill/gateway/event_stream.h"

#include <algorithm>
#include <charconv>

namespace teaselhill::gateway {

namespace {

constexpr size_t kMaxEventBytes = 1 << 20;

/// Memory that a stream keeps for its next event, after a large one.
constexpr size_t kMaxSpareBytes = 4 << 10;

/// Returns the position after the empty line that ends the first event from
/// `begin` on, or npos.
size_t FindEventEnd(std::string_view data, size_t begin) {
  const size_t lf_end = data.find("\n\n", begin);
  const size_t crlf_end = data.find("\n\r\n", begin);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    return std::string_view::npos;
  if (crlf_end == std::string_view::npos || lf_end < crlf_end)
    return lf_end + 2;
  return crlf_end + 3;
}

/// Fields of an event that say where its stream stands.
struct EventFields {
  std::optional<std::string_view> id;
  int id_count = 0;
  bool has_data = false;
};

/// Returns the value of the field `name` in a line, or nothing.
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view name) {
  if (line.substr(0, name.size()) != name)
    return std::nullopt;
  line.remove_prefix(name.size());
  while (!line.empty() && line.front() == ' ')
    line.remove_prefix(1);
  return line;
}

EventFields ReadFields(std::string_view event) {
  EventFields fields;
  size_t begin = 0;
  while (begin < event.size()) {
    size_t end = event.find('\n', begin);
    if (end == std::string_view::npos)
      end = event.size();
    std::string_view line = event.substr(begin, end - begin);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (const auto id = FieldValue(line, "id:")) {
      fields.id = id;
      ++fields.id_count;
    }
    fields.has_data |= FieldValue(line, "data:").has_value();
    begin = end + 1;
  }
  return fields;
}

}  // namespace

ParsedEvents EventStream::Append(std::string_view data) {
  // The end of an event may have arrived in part.
  constexpr size_t kEndBytes = 3;
  size_t search_from =
      partial_event_.size() - std::min(partial_event_.size(), kEndBytes - 1);
  partial_event_.append(data);
  ParsedEvents events;
  size_t parsed_end = 0;
  while (true) {
    const size_t end = FindEventEnd(partial_event_, search_from);
    if (end == std::string_view::npos)
      break;
    const Status checked = CheckEvent(
        std::string_view(partial_event_).substr(parsed_end, end - parsed_end));
    if (!checked) {
      events.fault = checked.error();
      break;
    }
    ++event_count_;
    parsed_end = search_from = end;
  }
  events.complete = partial_event_.substr(0, parsed_end);
  partial_event_.erase(0, parsed_end);
  if (partial_event_.capacity() > kMaxSpareBytes &&
      partial_event_.size() < kMaxSpareBytes / 2)
    partial_event_.shrink_to_fit();
  if (!events.fault && partial_event_.size() > kMaxEventBytes)
    events.fault =
        Error{ResultCode::kProtocolError, "event exceeds 1048576 bytes"};
  return events;
}

Status EventStream::CheckEvent(std::string_view event) {
  const EventFields fields = ReadFields(event);
  if (fields.id_count > 1)
    return {ResultCode::kProtocolError, "event has two ids"};
  if (fields.id) {
    const Status checked = CheckEventId(*fields.id);
    if (checked)
      last_event_has_data_ = fields.has_data;
    return checked;
  }
  // Comments and fields without data are not delivered to an application.
  if (!fields.has_data)
    return Ok{};
  if (last_event_id_) {
    // These may be the data of the last event, behind a spoilt line end.
    position_known_ &= last_event_has_data_;
    return {ResultCode::kProtocolError, "event without an id follows event " +
                                            std::to_string(*last_event_id_)};
  }
  position_known_ = false;
  return Ok{};
}

Status EventStream::CheckEventId(std::string_view text) {
  uint64_t id = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), id);
  if (error != std::errc() || end != text.data() + text.size())
    return {
        ResultCode::kProtocolError,
        "event id '" + std::string(text.substr(0, 32)) + "' is not a number"};
  if (last_event_id_ && id <= *last_event_id_) {
    // The last event may have been any of those between the one before it and
    // this one.
    position_known_ &= id <= previous_event_id_ + 1;
    return {ResultCode::kProtocolError, "event id " + std::to_string(id) +
                                            " does not follow " +
                                            std::to_string(*last_event_id_)};
  }
  previous_event_id_ = last_event_id_.value_or(0);
  last_event_id_ = id;
  return Ok{};
}

}  // namespace teaselhill::gateway
