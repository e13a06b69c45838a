/// \file
/// Lease for giving orders in one failure domain.

#include "teaselhill/orders/order_lease.h"

#include "teaselhill/support/hash.h"

namespace teaselhill::orders {

OrderLease::OrderLease(HostIncarnation self,
                       std::string domain,
                       LeaseOptions options)
    : self_(std::move(self)), domain_(std::move(domain)), options_(options) {
  if (options_.max_stagger > Duration::zero())
    acquire_delay_ =
        Duration(Hash64(self_.host) %
                 static_cast<uint64_t>(options_.max_stagger.count()));
}

void OrderLease::OnRecord(LogOffset offset,
                          const LeaseRecord& record,
                          TimePoint now) {
  if (record.domain != domain_)
    return;
  const bool own = record.holder == self_;
  const bool valid =
      last_record_known_ && record.previous == last_record_offset_;
  // The first record after the start or a gap cannot be checked, because the
  // preceding record is not known. A first record that another host appended is
  // assumed valid, because hosts that have read the preceding record may have
  // found it valid.
  const bool assumed_valid = !last_record_known_ && !own;
  const bool own_append = own && HasAppendInFlight();
  last_record_known_ = true;
  last_record_offset_ = offset;
  if (!valid && !assumed_valid) {
    first_append_at_.reset();
    return;
  }
  current_record_ = record;
  held_ = valid && own_append;
  available_at_ = now + record.duration + options_.takeover_delay;
  if (held_) {
    fencing_number_ = offset;
    held_since_ = *first_append_at_;
  }
  first_append_at_.reset();
}

void OrderLease::OnCaughtUp(TimePoint now) {
  // No lease is known, but a lease whose record was truncated from the log may
  // not have expired yet.
  if (!caught_up_ && !current_record_)
    available_at_ = now + options_.duration + options_.takeover_delay;
  caught_up_ = true;
}

void OrderLease::OnGap(TimePoint now) {
  last_record_known_ = false;
  caught_up_ = false;
  last_record_offset_ = kNoRecord;
  current_record_.reset();
  held_ = false;
  first_append_at_.reset();
  available_at_ = now + options_.duration + options_.takeover_delay;
}

std::optional<LeaseRecord> OrderLease::NextRecordToAppend(bool may_hold,
                                                          TimePoint now) {
  if (!caught_up_ || !may_hold)
    return std::nullopt;
  if (HasAppendInFlight() && now - last_append_at_ < options_.append_timeout)
    return std::nullopt;
  const bool due = held_ ? now - held_since_ >= options_.renew_after
                         : now >= available_at_ + acquire_delay_;
  if (!due)
    return std::nullopt;
  if (!HasAppendInFlight())
    first_append_at_ = now;
  append_previous_offset_ = last_record_offset_;
  last_append_at_ = now;
  return LeaseRecord{domain_, self_, last_record_offset_, options_.duration};
}

Result<LogOffset> OrderLease::FencingNumber(TimePoint now) const {
  if (!held_ || now - held_since_ >= options_.duration)
    return Error{ResultCode::kOrderStale,
                 "this host does not hold the order lease of " + domain_};
  return fencing_number_;
}

std::optional<HostIncarnation> OrderLease::holder() const {
  if (!current_record_)
    return std::nullopt;
  return current_record_->holder;
}

}  // namespace teaselhill::orders
