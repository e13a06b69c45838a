/// \file
/// Hashes: fast 64- and 128-bit hashes for tables, SHA-256 for keys.

#ifndef TEASELHILL_SUPPORT_HASH_H_
#define TEASELHILL_SUPPORT_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselhill {

/// A 128-bit hash value, ordered and comparable.
struct Hash128 {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const Hash128& a, const Hash128& b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator<(const Hash128& a, const Hash128& b) {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

/// Stable across processes and machines; not for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);
Hash128 HashWide(std::string_view data);

/// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

/// Compares in a time that depends on the lengths only, so that a caller cannot
/// find a secret out byte by byte.
bool SameSecret(std::string_view a, std::string_view b);

/// Returns 32 lower-case hexadecimal digits.
std::string ToHex(const Hash128& hash);

/// Parses 32 hexadecimal digits; returns false on any other input.
bool FromHex(std::string_view text, Hash128* hash);

struct Hash128Hasher {
  size_t operator()(const Hash128& h) const { return h.high ^ h.low; }
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_HASH_H_
