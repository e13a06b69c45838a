/// \file
/// Hash functions on top of xxHash and OpenSSL.

#include "teaselhill/support/hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace teaselhill {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

Hash128 HashWide(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return Hash128{hash.high64, hash.low64};
}

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * sizeof(digest));
  for (unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

bool SameSecret(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(const Hash128& hash) {
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high),
                static_cast<unsigned long long>(hash.low));
  return text;
}

static bool ParseHex(std::string_view text, uint64_t* value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

bool FromHex(std::string_view text, Hash128* hash) {
  if (text.size() != 32)
    return false;
  return ParseHex(text.substr(0, 16), &hash->high) &&
         ParseHex(text.substr(16), &hash->low);
}

}  // namespace teaselhill
