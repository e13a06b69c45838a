/// \file
/// Rate limit in bytes for one kind of message, summed over all receivers.

#ifndef TEASELHILL_ROUTING_BYTE_BUDGET_H_
#define TEASELHILL_ROUTING_BYTE_BUDGET_H_

#include <cstddef>

#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// Size of a message to one receiver: the bytes of the header and the bytes of
/// each entry.
struct MessageSize {
  size_t header_bytes = 0;
  size_t entry_bytes = 0;
};

/// A token bucket of bytes. A message that must not wait may be charged even if
/// the bucket is empty; the negative balance then delays later messages.
class ByteBudget {
 public:
  /// The bucket holds at most the bytes that accrue within `burst`.
  ByteBudget(double bytes_per_second, Duration burst);

  /// Changes the rate and keeps the current balance.
  void SetRate(double bytes_per_second) {
    bytes_per_second_ = bytes_per_second;
  }

  /// Returns the number of entries that a message to `receivers` hosts may have
  /// now. Returns zero when this number is below `wanted` and below half of the
  /// entries that a full bucket allows, because each message also costs the
  /// bytes of its header.
  size_t AffordableEntries(size_t receivers,
                           const MessageSize& size,
                           size_t wanted,
                           TimePoint now);

  void Charge(size_t receivers, const MessageSize& size, size_t entries);

 private:
  double bytes_per_second_;
  Duration burst_;
  double balance_bytes_ = 0;
  TimePoint refilled_at_{};
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_BYTE_BUDGET_H_
