/// \file
/// Lease, stored on the log, that lets one host per failure domain give orders.

#ifndef TEASELHILL_ORDERS_ORDER_LEASE_H_
#define TEASELHILL_ORDERS_ORDER_LEASE_H_

#include <optional>

#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

struct LeaseOptions {
  Duration duration = std::chrono::seconds(10);
  Duration renew_after = std::chrono::seconds(3);
  /// Minimum time between the end of a lease and the acquisition of the next
  /// lease by another host. This time covers orders in flight and the
  /// difference in rate of two monotonic clocks.
  Duration takeover_delay = std::chrono::seconds(5);
  /// Maximum additional delay before a host appends to acquire a free lease.
  /// The delay is derived from a hash of the host's name, so that not all hosts
  /// append at the same time.
  Duration max_stagger = std::chrono::seconds(2);
  /// An append is retried if its record has not been read from the log within
  /// this time.
  Duration append_timeout = std::chrono::seconds(2);
};

/// The lease of one failure domain as seen by one host.
class OrderLease {
 public:
  OrderLease(HostIncarnation self, std::string domain, LeaseOptions options);

  /// Applies a record of stream `orders`. Called for every record in log order;
  /// records of other domains are ignored.
  void OnRecord(LogOffset offset, const LeaseRecord& record, TimePoint now);

  /// Called when the stream has been read to its end. Only the first call after
  /// the start or after OnGap() has an effect.
  void OnCaughtUp(TimePoint now);

  /// Called when records were truncated before this host read them.
  void OnGap(TimePoint now);

  /// Returns the record to append now, if any. `may_hold` is false on a host
  /// that is leaving. Such a host neither acquires nor renews the lease.
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
  /// True once a record of the domain has been read after the start or a gap.
  /// Only then can the next record be checked.
  bool last_record_known_ = false;
  LogOffset last_record_offset_ = kNoRecord;
  /// Last record that is valid or assumed valid.
  std::optional<LeaseRecord> current_record_;
  bool held_ = false;  // this host appended current_record_, which is valid
  LogOffset fencing_number_ = kNoRecord;
  TimePoint available_at_;  // when the takeover delay after the lease ends
  /// Time of the first append of a record whose `previous` is
  /// append_previous_offset_. If the append is retried, several such records
  /// may be on the log, and at most one of them is valid. The duration of the
  /// lease is counted from the first append, because this host cannot tell
  /// which append produced the valid record.
  std::optional<TimePoint> first_append_at_;
  LogOffset append_previous_offset_ = kNoRecord;
  TimePoint last_append_at_;
  TimePoint held_since_;  // time of the first append of the held record
};

}  // namespace teaselhill::orders

#endif  // TEASELHILL_ORDERS_ORDER_LEASE_H_
