/// \file
/// Header lines of one response and the checks of its framing.

#include "response_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace teaselhill::net {

namespace {

constexpr const char* kLengthName = "Content-Length";
constexpr const char* kEncodingName = "Transfer-Encoding";

bool IsToken(std::string_view name) {
  constexpr std::string_view kSeparators = "()<>@,;:\\\"/[]?={}";
  return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
    return c > ' ' && c < 0x7f && kSeparators.find(c) == std::string_view::npos;
  });
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

std::optional<int64_t> ParseLength(std::string_view text) {
  int64_t length = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, length);
  if (error != std::errc() || parsed != end || text.front() == '-')
    return std::nullopt;
  return length;
}

/// Whether the line is a version, blanks and a status from 100 to 599 without
/// 101, which answers a request to change the protocol, and nothing or a blank
/// behind it.
bool HasValidStatus(std::string_view line) {
  constexpr size_t kVersionLength = std::string_view("HTTP/1.1").size();
  constexpr size_t kStatusLength = 3;
  if (line.size() <= kVersionLength || line[kVersionLength] != ' ')
    return false;
  line.remove_prefix(
      std::min(line.find_first_not_of(' ', kVersionLength), line.size()));
  if (line.size() < kStatusLength ||
      (line.size() > kStatusLength && line[kStatusLength] != ' '))
    return false;
  int status = 0;
  const char* const end = line.data() + kStatusLength;
  const auto [parsed, error] = std::from_chars(line.data(), end, status);
  return error == std::errc() && parsed == end && status >= 100 &&
         status < 600 && status != 101;
}

}  // namespace

Status ResponseHead::Open(std::string_view line) {
  headers_.clear();
  is_open_ = HasValidStatus(line);
  if (!is_open_)
    return {ResultCode::kProtocolError,
            "the response head has no valid status"};
  return Ok{};
}

bool ResponseHead::is_framed() const {
  return FindHeader(headers_, kLengthName) ||
         FindHeader(headers_, kEncodingName);
}

Status ResponseHead::Add(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)))
    return {ResultCode::kProtocolError,
            "the response head has a line without a valid name"};
  Header header{std::string(line.substr(0, colon)),
                std::string(line.substr(std::min(
                    line.find_first_not_of(" \t", colon + 1), line.size())))};
  const Status frame = CheckFrame(header);
  if (frame.ok())
    headers_.push_back(std::move(header));
  return frame;
}

Status ResponseHead::CheckFrame(const Header& header) const {
  const std::string_view value = TrimBlanks(header.value);
  const bool is_length = SameHeaderName(header.name, kLengthName);
  const bool is_encoding = SameHeaderName(header.name, kEncodingName);
  const auto earlier_length = FindHeader(headers_, kLengthName);
  const auto earlier_encoding = FindHeader(headers_, kEncodingName);
  if ((is_length && earlier_encoding) || (is_encoding && earlier_length))
    return {ResultCode::kProtocolError,
            "the response head has both a length and a transfer encoding"};
  if (is_encoding && (earlier_encoding || !SameHeaderName(value, "chunked")))
    return {ResultCode::kProtocolError,
            "the response head has a transfer encoding other than chunked"};
  if (!is_length)
    return Ok{};
  const std::optional<int64_t> length = ParseLength(value);
  if (!length)
    return {ResultCode::kProtocolError,
            "the response head has an invalid content length"};
  if (earlier_length && ParseLength(TrimBlanks(*earlier_length)) != length)
    return {ResultCode::kProtocolError,
            "the response head has two content lengths"};
  return Ok{};
}

}  // namespace teaselhill::net
