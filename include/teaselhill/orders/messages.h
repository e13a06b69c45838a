/// \file
/// Records of stream `orders` and orders to engines.

#ifndef TEASELHILL_ORDERS_MESSAGES_H_
#define TEASELHILL_ORDERS_MESSAGES_H_

#include <string>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::orders {

/// Takes or renews the lease of a failure domain. It is valid when `previous`
/// is the offset of the domain's record just before it (kNoRecord: none).
struct LeaseRecord {
  std::string domain;
  HostIncarnation holder;
  LogOffset previous = 0;
  Duration duration{};
};

constexpr LogOffset kNoRecord = ~LogOffset{0};

/// JSON text of a record, as stored under `data` in a log record.
std::string EncodeLease(const LeaseRecord& record);
Result<LeaseRecord> DecodeLease(const std::string& json);

enum class OrderKind { kLoadModel, kUnloadModel };

/// An order states the wanted end state, so that a repeated one changes
/// nothing.
struct Order {
  std::string engine;
  OrderKind kind = OrderKind::kLoadModel;
  std::string model;
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_MESSAGES_H_
