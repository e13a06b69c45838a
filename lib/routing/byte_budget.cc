/// \file
/// Token bucket for the bytes of messages.

#include "teaselhill/routing/byte_budget.h"

#include <algorithm>

namespace teaselhill::routing {

ByteBudget::ByteBudget(double bytes_per_second, Duration burst)
    : bytes_per_second_(bytes_per_second), burst_(burst) {}

size_t ByteBudget::AffordableEntries(size_t receivers,
                                     const MessageSize& size,
                                     size_t wanted,
                                     TimePoint now) {
  const double capacity_bytes = bytes_per_second_ * ToSeconds(burst_);
  if (refilled_at_ == TimePoint{})
    balance_bytes_ = capacity_bytes;
  else
    balance_bytes_ += bytes_per_second_ * ToSeconds(now - refilled_at_);
  balance_bytes_ = std::min(balance_bytes_, capacity_bytes);
  refilled_at_ = now;
  if (receivers == 0)
    return 0;
  const auto entries_for = [&](double bytes) {
    const double bytes_per_receiver = bytes / static_cast<double>(receivers) -
                                      static_cast<double>(size.header_bytes);
    return bytes_per_receiver <= 0
               ? size_t{0}
               : static_cast<size_t>(bytes_per_receiver /
                                     static_cast<double>(size.entry_bytes));
  };
  // With many receivers even a full bucket may not cover one entry. A full
  // bucket then allows one entry, or no message would ever be sent.
  const size_t max_entries = std::max<size_t>(1, entries_for(capacity_bytes));
  const size_t affordable_entries =
      balance_bytes_ >= capacity_bytes
          ? std::max<size_t>(1, entries_for(balance_bytes_))
          : entries_for(balance_bytes_);
  return affordable_entries >= wanted || 2 * affordable_entries >= max_entries
             ? affordable_entries
             : 0;
}

void ByteBudget::Charge(size_t receivers,
                        const MessageSize& size,
                        size_t entries) {
  balance_bytes_ -=
      static_cast<double>(receivers) *
      static_cast<double>(size.header_bytes + entries * size.entry_bytes);
}

}  // namespace teaselhill::routing
