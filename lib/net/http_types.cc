/// \file
/// Header lookup and query parsing.

#include "teaselhill/net/http_types.h"

#include <algorithm>
#include <cctype>

namespace teaselhill::net {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name))
      return header.value;
  }
  return std::nullopt;
}

static int HexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static std::string DecodeUrlComponent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded.push_back(' ');
      continue;
    }
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
        HexValue(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 +
                                          HexValue(text[i + 2])));
      i += 2;
      continue;
    }
    decoded.push_back(text[i]);
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const size_t equals = std::min(pair.find('='), pair.size());
    if (equals == 0)
      continue;
    values[DecodeUrlComponent(pair.substr(0, equals))] =
        DecodeUrlComponent(pair.substr(std::min(equals + 1, pair.size())));
  }
  return values;
}

std::string EncodeUrlComponent(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (unsigned char c : text) {
    if (std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~') {
      encoded.push_back(static_cast<char>(c));
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[c >> 4]);
    encoded.push_back(kDigits[c & 15]);
  }
  return encoded;
}

}  // namespace teaselhill::net
