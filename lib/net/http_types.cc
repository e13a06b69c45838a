/// \file
/// Header lookup and query parsing.

#include "teaselhill/net/http_types.h"

#include <algorithm>
#include <cctype>

namespace teaselhill::net {

static std::string_view TrimSpaces(std::string_view text) {
  constexpr std::string_view kSpaces = " \t";
  const size_t begin = std::min(text.find_first_not_of(kSpaces), text.size());
  text.remove_prefix(begin);
  return text.substr(0, text.find_last_not_of(kSpaces) + 1);
}

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

bool IsHopByHop(std::string_view name, const Headers& headers) {
  static constexpr std::string_view kNames[] = {"Content-Length",
                                                "Transfer-Encoding",
                                                "Connection",
                                                "Keep-Alive",
                                                "Proxy-Connection",
                                                "Proxy-Authorization",
                                                "Proxy-Authenticate",
                                                "TE",
                                                "Trailer",
                                                "Upgrade",
                                                "Expect"};
  for (std::string_view known : kNames) {
    if (SameHeaderName(name, known))
      return true;
  }
  for (const Header& header : headers) {
    if (!SameHeaderName(header.name, "Connection"))
      continue;
    std::string_view list = header.value;
    while (!list.empty()) {
      const size_t comma = std::min(list.find(','), list.size());
      if (SameHeaderName(name, TrimSpaces(list.substr(0, comma))))
        return true;
      list.remove_prefix(std::min(comma + 1, list.size()));
    }
  }
  return false;
}

bool IsEventStream(const Headers& headers) {
  constexpr std::string_view kType = "text/event-stream";
  const auto type = FindHeader(headers, "Content-Type");
  return type && SameHeaderName(type->substr(0, kType.size()), kType);
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
