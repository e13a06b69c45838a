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
    stagger_ = Duration(Hash64(self_.host) %
                        static_cast<uint64_t>(options_.max_stagger.count()));
}

void OrderLease::OnRecord(LogOffset offset,
                          const LeaseRecord& record,
                          TimePoint now) {
  if (record.domain != domain_)
    return;
  const bool own = record.holder == self_;
  const bool valid = chain_known_ && record.previous == last_offset_;
  // The first record cannot be checked without the one before it. Another
  // host's is assumed valid, as hosts that read the whole chain may accept it.
  const bool assumed = !chain_known_ && !own;
  const bool own_append = own && OwnAppendIsOpen();
  chain_known_ = true;
  last_offset_ = offset;
  if (!valid && !assumed) {
    appended_.reset();
    return;
  }
  current_ = record;
  held_ = valid && own_append;
  free_at_ = now + record.duration + options_.takeover_delay;
  if (held_) {
    fencing_ = offset;
    held_since_ = *appended_;
  }
  appended_.reset();
}

void OrderLease::OnCaughtUp(TimePoint now) {
  // A lease record that has not expired may have been truncated.
  if (!caught_up_ && !current_)
    free_at_ = now + options_.duration + options_.takeover_delay;
  caught_up_ = true;
}

void OrderLease::OnGap(TimePoint now) {
  chain_known_ = false;
  caught_up_ = false;
  last_offset_ = kNoRecord;
  current_.reset();
  held_ = false;
  appended_.reset();
  free_at_ = now + options_.duration + options_.takeover_delay;
}

std::optional<LeaseRecord> OrderLease::NextRecordToAppend(bool wanted,
                                                          TimePoint now) {
  if (!caught_up_ || !wanted)
    return std::nullopt;
  if (OwnAppendIsOpen() && now - last_append_ < options_.append_timeout)
    return std::nullopt;
  const bool due = held_ ? now - held_since_ >= options_.renew_after
                         : now >= free_at_ + stagger_;
  if (!due)
    return std::nullopt;
  if (!OwnAppendIsOpen())
    appended_ = now;
  append_previous_ = last_offset_;
  last_append_ = now;
  return LeaseRecord{domain_, self_, last_offset_, options_.duration};
}

Result<LogOffset> OrderLease::FencingNumber(TimePoint now) const {
  if (!held_ || now - held_since_ >= options_.duration)
    return Error{ResultCode::kOrderStale,
                 "this host does not hold the order lease of " + domain_};
  return fencing_;
}

std::optional<HostIncarnation> OrderLease::holder() const {
  if (!current_)
    return std::nullopt;
  return current_->holder;
}

}  // namespace teaselhill::orders
