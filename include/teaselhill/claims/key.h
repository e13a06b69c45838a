/// \file
/// Idempotency keys: UUIDv7 values and tokens that a host issues.

#ifndef TEASELHILL_CLAIMS_KEY_H_
#define TEASELHILL_CLAIMS_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::claims {

/// A key that the caller generated. Its age is determined from the time in the
/// UUIDv7.
struct UuidKey {
  Hash128 hash;  ///< of the customer and the text of the key
  WallTime time;
};

/// A token that host `issuer` issued to a customer as an idempotency key. Only
/// `issuer` runs the request that has the token. The signature in the token's
/// text covers the customer, the issuer and the token's number.
struct TokenKey {
  Hash128 hash;  ///< of the customer and the text of the token
  HostIncarnation issuer;
  uint64_t number = 0;
};

using Key = std::variant<UuidKey, TokenKey>;

inline const Hash128& KeyHash(const Key& key) {
  return std::visit([](const auto& k) -> const Hash128& { return k.hash; },
                    key);
}

/// Parses the value of an Idempotency-Key header. Fails with
/// kInvalidIdempotencyKey if the value is neither a UUIDv7 nor a token that was
/// issued to `customer` and signed with `secret`.
Result<Key> ParseKey(std::string_view customer,
                     std::string_view text,
                     std::string_view secret);

/// Returns the text of a token:
/// `thk1.<host>.<incarnation>.<number>.<signature>`.
std::string FormatToken(std::string_view customer,
                        const HostIncarnation& issuer,
                        uint64_t number,
                        std::string_view secret);

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_KEY_H_
