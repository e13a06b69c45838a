/// \file
/// Checks CBOR from other hosts before it is decoded.

#ifndef TEASELHILL_SUPPORT_CBOR_CHECK_H_
#define TEASELHILL_SUPPORT_CBOR_CHECK_H_

#include <cstddef>
#include <string_view>

namespace teaselhill {

/// The decoder calls itself for each level, and takes up to 48 bytes for a
/// value of one byte.
constexpr size_t kMaxCborDepth = 16;
constexpr size_t kMaxCborValues = 128 << 10;

/// Whether `bytes` are one CBOR value within these bounds. Its memory does not
/// depend on what the bytes say.
bool IsBoundedCbor(std::string_view bytes);

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_CBOR_CHECK_H_
