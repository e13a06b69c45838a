/// \file
/// UTF-8 as RFC 3629 defines it.

#include "teaselhill/support/text.h"

#include <cstdint>

namespace teaselhill {

namespace {

constexpr std::string_view kReplacement = "\xef\xbf\xbd";

/// Smallest code point of a sequence of as many bytes; a smaller one is
/// overlong.
constexpr uint32_t kMinCodePoint[] = {0, 0, 0x80, 0x800, 0x10000};

constexpr uint32_t kMaxCodePoint = 0x10ffff;

size_t SequenceBytes(unsigned char lead) {
  if (lead < 0x80)
    return 1;
  if ((lead >> 5) == 0x06)
    return 2;
  if ((lead >> 4) == 0x0e)
    return 3;
  return (lead >> 3) == 0x1e ? 4 : 0;
}

}  // namespace

size_t Utf8CharacterBytes(std::string_view text) {
  if (text.empty())
    return 0;
  const auto lead = static_cast<unsigned char>(text[0]);
  const size_t bytes = SequenceBytes(lead);
  if (bytes <= 1)
    return bytes;
  if (bytes > text.size())
    return 0;
  uint32_t code_point = lead & (0xff >> (bytes + 1));
  for (size_t i = 1; i < bytes; ++i) {
    const auto next = static_cast<unsigned char>(text[i]);
    if ((next >> 6) != 0x02)
      return 0;
    code_point = (code_point << 6) | (next & 0x3f);
  }
  const bool is_surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
  return code_point < kMinCodePoint[bytes] || code_point > kMaxCodePoint ||
                 is_surrogate
             ? 0
             : bytes;
}

bool IsPrintableText(std::string_view text) {
  if (text.empty())
    return false;
  while (!text.empty()) {
    const size_t bytes = Utf8CharacterBytes(text);
    const auto lead = static_cast<unsigned char>(text[0]);
    const bool is_control = lead < 0x20 || lead == 0x7f;
    if (bytes == 0 || is_control || text.substr(0, bytes) == kReplacement)
      return false;
    text.remove_prefix(bytes);
  }
  return true;
}

std::string ReplaceInvalidUtf8(std::string_view text) {
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    const size_t bytes = Utf8CharacterBytes(text);
    if (bytes > 0)
      valid.append(text.substr(0, bytes));
    else
      valid.append(kReplacement);
    text.remove_prefix(bytes > 0 ? bytes : 1);
  }
  return valid;
}

}  // namespace teaselhill
