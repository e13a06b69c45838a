/// \file
/// Token bucket for the bytes of messages.

#include "teaselhill/routing/byte_budget.h"

#include <algorithm>

namespace teaselhill::routing {

ByteBudget::ByteBudget(double bytes_per_second, Duration burst)
    : rate_(bytes_per_second), burst_(burst) {}

size_t ByteBudget::Entries(size_t receivers,
                           const MessageSize& size,
                           size_t wanted,
                           TimePoint now) {
  const double full = rate_ * ToSeconds(burst_);
  if (refilled_at_ == TimePoint{})
    allowance_ = full;
  else
    allowance_ += rate_ * ToSeconds(now - refilled_at_);
  allowance_ = std::min(allowance_, full);
  refilled_at_ = now;
  if (receivers == 0)
    return 0;
  const auto entries_for = [&](double bytes) {
    const double each =
        bytes / static_cast<double>(receivers) - static_cast<double>(size.head);
    return each <= 0
               ? size_t{0}
               : static_cast<size_t>(each / static_cast<double>(size.entry));
  };
  // With many receivers even a full bucket may not cover one entry; it then
  // allows one, or no message would ever be sent.
  const size_t most = std::max<size_t>(1, entries_for(full));
  const size_t paid = allowance_ >= full
                          ? std::max<size_t>(1, entries_for(allowance_))
                          : entries_for(allowance_);
  return paid >= wanted || 2 * paid >= most ? paid : 0;
}

void ByteBudget::Charge(size_t receivers,
                        const MessageSize& size,
                        size_t entries) {
  allowance_ -= static_cast<double>(receivers) *
                static_cast<double>(size.head + entries * size.entry);
}

}  // namespace teaselhill::routing
