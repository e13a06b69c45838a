/// \file
/// Records of stream `orders` and orders to engines.

#ifndef TEASELHILL_ORDERS_MESSAGES_H_
#define TEASELHILL_ORDERS_MESSAGES_H_

#include <string>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::orders {

/// Acquires or renews the order lease of a failure domain. `previous` is the
/// offset of the last record of the domain that the holder had read, or
/// kNoRecord. A LeaseRecord is valid if the record at `previous` was still the
/// last one of the domain when the LeaseRecord was appended. OrderLease cannot
/// check this condition for the first record that it reads after its start or
/// after a gap.
struct LeaseRecord {
  std::string domain;
  HostIncarnation holder;
  LogOffset previous = 0;
  Duration duration{};
};

constexpr LogOffset kNoRecord = ~LogOffset{0};

/// Returns the JSON text of a record, as stored under `data` in a log record.
std::string EncodeLease(const LeaseRecord& record);
/// Fails with kUnreadableRecord.
Result<LeaseRecord> DecodeLease(const std::string& json);

enum class OrderKind { kLoadModel, kUnloadModel };

/// An order to an engine to have or not to have a model loaded. An order states
/// the desired final state, so it is idempotent.
struct Order {
  std::string engine;
  OrderKind kind = OrderKind::kLoadModel;
  std::string model;
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_MESSAGES_H_
