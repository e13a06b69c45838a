/// \file
/// Order and leases of the hosts' claims.

#include "teaselhill/gateway/trial_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace teaselhill::gateway {

bool TrialQueue::TryStart(TimePoint now) {
  last_asked_at_ = now;
  if (running_ || verdict_due_at_)
    return false;
  if (!claimed_at_) {
    claimed_at_ = now;
    unshared_.push_back({host_, /*released=*/false, ++last_claim_});
    return false;
  }
  Advance(now);
  if (!IsListed(host_))
    return now >= *claimed_at_ + OwnClaimDelay();
  const Waiting& first = claims_.front();
  if (first.host != host_)
    return false;
  // A trial that starts late in the lease would run beside the next host's.
  if (now < *first.first_since + options_.lease / 2)
    return true;
  Release();
  return false;
}

void TrialQueue::OnTrialEnded() {
  running_ = false;
  if (!verdict_due_at_)
    Release();
}

void TrialQueue::OnTrialLost(TimePoint now) {
  verdict_due_at_ = now + options_.max_verdict_delay;
}

void TrialQueue::OnVerdict() {
  if (!verdict_due_at_)
    return;
  verdict_due_at_.reset();
  if (!running_)
    Release();
}

void TrialQueue::OnClaims(const std::vector<TrialClaim>& claims,
                          TimePoint now) {
  for (const TrialClaim& claim : claims) {
    Advance(now);
    if (!IsReadAgain(claim, now))
      OnClaim(claim);
  }
  Advance(now);
}

void TrialQueue::OnClaim(const TrialClaim& claim) {
  // A late copy of an earlier release has ended the claim for all hosts.
  if (claim.released && claim.host == host_ && IsListed(host_) && !running_)
    claimed_at_.reset();
  Remove(claim.host);
  const bool is_own_and_released = claim.host == host_ && !claimed_at_;
  if (!claim.released && claim.age < options_.lease && !is_own_and_released)
    claims_.push_back({claim.host, std::nullopt});
  // Its host has ended without releasing it.
  if (!claim.released && claim.age > options_.retention)
    unshared_.push_back({claim.host, /*released=*/true});
}

bool TrialQueue::IsReadAgain(const TrialClaim& claim, TimePoint now) {
  if (claim.number == 0)
    return false;
  Read& last = last_read_[claim.host];
  if (claim.number <= last.number)
    return true;
  last = {claim.number, now};
  return false;
}

void TrialQueue::Expire(TimePoint now) {
  if (verdict_due_at_ && now >= *verdict_due_at_)
    OnVerdict();
  for (auto it = last_read_.begin(); it != last_read_.end();) {
    it = now > it->second.at + options_.memory ? last_read_.erase(it)
                                               : std::next(it);
  }
  const bool is_idle = now > last_asked_at_ + options_.max_idle;
  if (claimed_at_ && is_idle && !running_)
    Release();
}

Duration TrialQueue::OwnClaimDelay() const {
  const double fraction =
      static_cast<double>(host_) /
      static_cast<double>(std::numeric_limits<uint64_t>::max());
  return options_.max_claim_delay +
         FromSeconds(ToSeconds(options_.claim_delay_spread) * fraction);
}

bool TrialQueue::IsListed(uint64_t host) const {
  return std::any_of(
      claims_.begin(), claims_.end(),
      [host](const Waiting& claim) { return claim.host == host; });
}

void TrialQueue::Remove(uint64_t host) {
  claims_.erase(std::remove_if(claims_.begin(), claims_.end(),
                               [host](const Waiting& claim) {
                                 return claim.host == host;
                               }),
                claims_.end());
}

void TrialQueue::Release() {
  if (!claimed_at_)
    return;
  claimed_at_.reset();
  Remove(host_);
  unshared_.push_back({host_, /*released=*/true});
}

void TrialQueue::Advance(TimePoint now) {
  while (!claims_.empty()) {
    Waiting& first = claims_.front();
    if (!first.first_since)
      first.first_since = now;
    if (now < *first.first_since + options_.lease)
      return;
    // Its trial goes on beside the next one. It claims again for another.
    if (first.host == host_)
      Release();
    else
      claims_.pop_front();
  }
}

}  // namespace teaselhill::gateway
