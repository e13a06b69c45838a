/// \file
/// Lease on the log that lets one host per failure domain give orders.

#ifndef TEASELHILL_ORDERS_ORDER_LEASE_H_
#define TEASELHILL_ORDERS_ORDER_LEASE_H_

#include <optional>

#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

struct LeaseOptions {
  Duration duration = std::chrono::seconds(10);
  Duration renew_after = std::chrono::seconds(3);
  /// Time between the end of a lease and its acquisition by another host. It
  /// covers orders in flight and the difference in rate of two monotonic
  /// clocks.
  Duration takeover_delay = std::chrono::seconds(5);
  /// Maximum additional delay before a host appends to acquire a free lease.
  /// The delay is derived from a hash of the host's name, so that not all hosts
  /// append at the same time.
  Duration max_stagger = std::chrono::seconds(2);
  /// An append whose record has not been read within this time is retried.
  Duration append_timeout = std::chrono::seconds(2);
};

/// The lease of one failure domain as seen by one host.
class OrderLease {
 public:
  OrderLease(HostIncarnation self, std::string domain, LeaseOptions options);

  /// Applies a record of stream `orders`, of any domain. Called in log order.
  void OnRecord(LogOffset offset, const LeaseRecord& record, TimePoint now);

  /// The stream has been read to its end. Only the first call after the start
  /// or after OnGap() has an effect.
  void OnCaughtUp(TimePoint now);

  /// Records were truncated before they were read.
  void OnGap(TimePoint now);

  /// Returns the record to append now, if any. `may_hold` is false on a host
  /// that is leaving: it neither acquires nor renews the lease.
  std::optional<LeaseRecord> NextRecordToAppend(bool may_hold, TimePoint now);

  /// Returns the fencing number for an order that is sent at `now`, or
  /// kOrderStale if this host does not hold the lease. Called with the current
  /// time just before each send, so that a holder whose lease expired while its
  /// process was paused sends nothing.
  Result<LogOffset> FencingNumber(TimePoint now) const;

  bool IsHeldAt(TimePoint now) const { return FencingNumber(now).ok(); }
  std::optional<HostIncarnation> holder() const;

 private:
  bool HasAppendInFlight() const {
    return first_append_at_ && append_previous_offset_ == last_record_offset_;
  }

  HostIncarnation self_;
  std::string domain_;
  LeaseOptions options_;
  Duration acquire_delay_{};
  bool caught_up_ = false;
  /// Set when the domain's last record has been read, which is needed to tell
  /// whether the next one is valid.
  bool last_record_known_ = false;
  LogOffset last_record_offset_ = kNoRecord;
  /// Last record that is valid or assumed valid.
  std::optional<LeaseRecord> current_record_;
  bool held_ = false;  // current_record_ is this host's and valid
  LogOffset fencing_number_ = kNoRecord;
  TimePoint available_at_;  // end of the takeover delay after the lease
  /// Time of the first append of a record with append_previous_offset_ as its
  /// `previous`. Of this append and its retries at most one record becomes
  /// valid. The lease is counted from the first append, because it is not known
  /// which of them put the record on the log.
  std::optional<TimePoint> first_append_at_;
  LogOffset append_previous_offset_ = kNoRecord;
  TimePoint last_append_at_;
  TimePoint held_since_;  // time of the first append of the held record
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ORDER_LEASE_H_
