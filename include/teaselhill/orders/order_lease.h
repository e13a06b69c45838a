/// \file
/// One order giver per failure domain, by lease records on the log.

#ifndef TEASELHILL_ORDERS_ORDER_LEASE_H_
#define TEASELHILL_ORDERS_ORDER_LEASE_H_

#include <optional>

#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

struct LeaseOptions {
  Duration duration = std::chrono::seconds(10);
  Duration renew_after = std::chrono::seconds(3);
  /// Waited on top of the old lease; covers an order that was already on its
  /// way and the rate difference of two monotonic clocks.
  Duration pause = std::chrono::seconds(5);
  /// An append without a result is tried again after this.
  Duration append_timeout = std::chrono::seconds(2);
};

/// The lease of one failure domain as seen by one host.
class OrderLease {
 public:
  OrderLease(HostIncarnation self, std::string domain, LeaseOptions options);

  /// Records of stream `orders` in log order, of any domain.
  void OnRecord(LogOffset offset, const LeaseRecord& record, TimePoint now);

  /// The stream has been read to its end at least once since the start.
  void OnCaughtUp(TimePoint now);

  /// Records were lost to retention.
  void OnGap(TimePoint now);

  /// The record to append now, if any. `wanted` is false on a host that is
  /// leaving: it renews nothing.
  std::optional<LeaseRecord> TakeAppend(bool wanted, TimePoint now);

  /// The fencing number for an order that is sent at `now`; kOrderStale when
  /// this host may give none. Called with a fresh clock reading just before
  /// each send, so that a holder that was paused notices.
  Result<LogOffset> CheckOrder(TimePoint now) const;

  bool Holds(TimePoint now) const { return CheckOrder(now).ok(); }
  std::optional<HostIncarnation> holder() const;

 private:
  HostIncarnation self_;
  std::string domain_;
  LeaseOptions options_;
  bool caught_up_ = false;
  LogOffset last_offset_ = kNoRecord;   // of the domain's last record
  std::optional<LeaseRecord> current_;  // last valid record
  LogOffset current_offset_ = kNoRecord;
  TimePoint current_read_;  // when it was read here
  TimePoint free_at_;       // the current lease and the pause are over
  std::optional<TimePoint> appended_;  // start of the append in flight
  TimePoint active_from_;              // own lease: orders from here
  TimePoint active_until_;             // own lease: no order from here
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ORDER_LEASE_H_
