/// \file
/// Limit on the bytes that one kind of message takes over all its receivers.

#ifndef TEASELHILL_ROUTING_BYTE_BUDGET_H_
#define TEASELHILL_ROUTING_BYTE_BUDGET_H_

#include <cstddef>

#include "teaselhill/support/time.h"

namespace teaselhill::routing {

/// Bytes of one message to one receiver.
struct MessageSize {
  size_t head = 0;
  size_t entry = 0;
};

/// A token bucket of bytes. A message that may not wait is charged as well and
/// delays the next ones.
class ByteBudget {
 public:
  /// Holds at most what `burst` brings at the full rate.
  ByteBudget(double bytes_per_second, Duration burst);

  /// Keeps what is left and changes the rate.
  void SetRate(double bytes_per_second) { rate_ = bytes_per_second; }

  /// Number of entries that a message to `receivers` hosts may hold now; zero
  /// when it would hold fewer than `wanted` and fewer than half of what a full
  /// bucket pays for, because each message also costs its head.
  size_t Entries(size_t receivers,
                 const MessageSize& size,
                 size_t wanted,
                 TimePoint now);

  void Charge(size_t receivers, const MessageSize& size, size_t entries);

 private:
  double rate_;
  Duration burst_;
  double allowance_ = 0;
  TimePoint refilled_at_{};
};

}  // namespace teaselhill::routing

#endif  // TEASELHILL_ROUTING_BYTE_BUDGET_H_
