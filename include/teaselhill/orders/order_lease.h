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
  /// Candidates append up to this much later, by a hash of their name, so that
  /// a free lease does not draw an append from every host at once.
  Duration stagger = std::chrono::seconds(2);
  /// An append that was not read back is tried again after this.
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
  bool OwnAppendIsOpen() const {
    return appended_ && append_previous_ == last_offset_;
  }

  HostIncarnation self_;
  std::string domain_;
  LeaseOptions options_;
  Duration stagger_{};
  bool caught_up_ = false;
  /// The domain's last record was read, so the next one can be judged.
  bool chain_known_ = false;
  LogOffset last_offset_ = kNoRecord;
  std::optional<LeaseRecord> current_;  // last valid, or assumed valid, record
  bool held_ = false;                   // current_ is this host's and valid
  LogOffset fencing_ = kNoRecord;
  TimePoint free_at_;  // the current lease and the pause are over
  /// First append that names append_previous_: only one such can be valid, and
  /// the earliest start is the safe one to count from.
  std::optional<TimePoint> appended_;
  LogOffset append_previous_ = kNoRecord;
  TimePoint last_append_;
  TimePoint held_since_;  // start of the append of current_
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ORDER_LEASE_H_
