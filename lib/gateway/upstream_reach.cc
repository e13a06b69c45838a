/// \file
/// Detects that this host is cut from all upstreams.

#include "teaselhill/gateway/upstream_reach.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::gateway {

void UpstreamReach::OnFailed(const std::string& upstream_id,
                             TimePoint opened_at,
                             size_t upstream_count,
                             TimePoint now) {
  if (opened_at < reached_at_)
    return;
  failed_at_[upstream_id] = now;
  for (auto failure = failed_at_.begin(); failure != failed_at_.end();)
    failure = now - failure->second > options_.failure_window
                  ? failed_at_.erase(failure)
                  : std::next(failure);
  const size_t required = std::max<size_t>(
      1, std::min(options_.min_failed_upstreams, upstream_count));
  cut_ |= failed_at_.size() >= required;
}

void UpstreamReach::OnReached(TimePoint opened_at) {
  if (opened_at <= reached_at_)
    return;
  reached_at_ = opened_at;
  for (auto failure = failed_at_.begin(); failure != failed_at_.end();)
    failure = failure->second <= opened_at ? failed_at_.erase(failure)
                                           : std::next(failure);
  if (failed_at_.empty())
    cut_ = false;
}

std::optional<bool> UpstreamReach::TakeChange() {
  if (cut_ == reported_cut_)
    return std::nullopt;
  reported_cut_ = cut_;
  return cut_;
}

}  // namespace teaselhill::gateway
