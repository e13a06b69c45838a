/// \file
/// Parses idempotency keys and signs tokens.

#include "teaselhill/claims/key.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace teaselhill::claims {

static constexpr std::string_view kTokenPrefix = "thk1.";
static constexpr size_t kSignatureDigits = 32;
static constexpr size_t kUuidLength = 36;

// The length prefix prevents two different (customer, key) pairs from having
// the same concatenation and therefore the same hash.
static std::string JoinWithLength(std::string_view customer,
                                  std::string_view text) {
  return std::to_string(customer.size()) + ':' + std::string(customer) +
         std::string(text);
}

// The nested hash is resistant to length extension attacks, as HMAC is.
static std::string ComputeSignature(std::string_view text,
                                    std::string_view secret) {
  const std::string inner = Sha256Hex(JoinWithLength(secret, text));
  return Sha256Hex(JoinWithLength(secret, inner)).substr(0, kSignatureDigits);
}

static std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

// Removes the last dot of `text` and the characters after the dot. Returns
// these characters, or an empty view if there is no dot.
static std::string_view RemoveLastPart(std::string_view* text) {
  const size_t dot = text->rfind('.');
  if (dot == std::string_view::npos)
    return {};
  const std::string_view last_part = text->substr(dot + 1);
  *text = text->substr(0, dot);
  return last_part;
}

static Result<Key> InvalidKeyError(const char* message) {
  return Error{ResultCode::kInvalidIdempotencyKey, message};
}

static Result<Key> ParseToken(std::string_view customer,
                              std::string_view text,
                              std::string_view secret) {
  std::string_view rest = text;
  const std::string_view signature = RemoveLastPart(&rest);
  if (!SameSecret(signature,
                  ComputeSignature(JoinWithLength(customer, rest), secret)))
    return InvalidKeyError("token signature is not valid");
  const auto number = ParseNumber(RemoveLastPart(&rest));
  const auto incarnation = ParseNumber(RemoveLastPart(&rest));
  if (!number || !incarnation || rest.size() <= kTokenPrefix.size())
    return InvalidKeyError("token is malformed");
  TokenKey key;
  key.hash = HashWide(JoinWithLength(customer, text));
  key.issuer = {std::string(rest.substr(kTokenPrefix.size())), *incarnation};
  key.number = *number;
  return Key(std::move(key));
}

static Result<Key> ParseUuid(std::string_view customer, std::string_view text) {
  if (text.size() != kUuidLength)
    return InvalidKeyError("idempotency key is neither a UUIDv7 nor a token");
  std::string lower;
  std::string digits;
  for (size_t i = 0; i < text.size(); ++i) {
    const unsigned char c = static_cast<unsigned char>(text[i]);
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? c != '-' : !std::isxdigit(c))
      return InvalidKeyError("idempotency key is not a UUID");
    lower.push_back(static_cast<char>(std::tolower(c)));
    if (!dash)
      digits.push_back(lower.back());
  }
  Hash128 value;
  FromHex(digits, &value);
  if (digits[12] != '7' || value.low >> 62 != 2)
    return InvalidKeyError("UUID is not of version 7");
  const auto milliseconds = static_cast<int64_t>(value.high >> 16);
  return Key(UuidKey{HashWide(JoinWithLength(customer, lower)),
                     WallTime(std::chrono::milliseconds(milliseconds))});
}

Result<Key> ParseKey(std::string_view customer,
                     std::string_view text,
                     std::string_view secret) {
  if (text.substr(0, kTokenPrefix.size()) == kTokenPrefix)
    return ParseToken(customer, text, secret);
  return ParseUuid(customer, text);
}

std::string FormatToken(std::string_view customer,
                        const HostIncarnation& issuer,
                        uint64_t number,
                        std::string_view secret) {
  const std::string text = std::string(kTokenPrefix) + issuer.host + '.' +
                           std::to_string(issuer.incarnation) + '.' +
                           std::to_string(number);
  return text + '.' + ComputeSignature(JoinWithLength(customer, text), secret);
}

}  // namespace teaselhill::claims
