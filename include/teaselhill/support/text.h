/// \file
/// Checks of text that other processes wrote.

#ifndef TEASELHILL_SUPPORT_TEXT_H_
#define TEASELHILL_SUPPORT_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace teaselhill {

/// Returns the bytes of the valid UTF-8 character at the start of `text`, 1 to
/// 4, or 0 if there is none. Overlong forms and surrogates are invalid (RFC
/// 3629).
size_t Utf8CharacterBytes(std::string_view text);

/// Whether `text` is not empty, is UTF-8, and holds neither ASCII control
/// characters nor U+FFFD. Such text may stand in JSON, in the value of an HTTP
/// header and in a log line.
bool IsPrintableText(std::string_view text);

/// Returns `text` with U+FFFD in place of each byte that is not UTF-8.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_TEXT_H_
