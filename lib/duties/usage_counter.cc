/// \file
/// Buckets of counts by team.

#include "teaselhill/duties/usage_counter.h"

#include <algorithm>

namespace teaselhill::duties {

namespace {

constexpr Duration kBucket = UsageCounter::kBucket;

Duration::rep BucketOf(TimePoint time) {
  return time.time_since_epoch() / kBucket;
}

/// Middle of the bucket.
TimePoint TimeOf(Duration::rep bucket) {
  return TimePoint(bucket * kBucket + kBucket / 2);
}

}  // namespace

void UsageCounter::Count(std::string_view team,
                         TimePoint began,
                         TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  CloseBucket(now);
  open_bucket_ = BucketOf(now);
  ++open_counts_[{BucketOf(began), teams_.NumberOf(team)}];
}

void UsageCounter::CloseBucket(TimePoint now) {
  if (!open_counts_.empty() && BucketOf(now) > open_bucket_) {
    for (const auto& [key, requests] : open_counts_)
      entries_.push_back({key.first, key.second, requests});
    last_number_ += open_counts_.size();
    open_counts_.clear();
  }
  const Bucket oldest = BucketOf(now - kRetention);
  while (!entries_.empty() &&
         (entries_.size() > kMaxCounts || entries_.front().began < oldest))
    entries_.pop_front();
}

void UsageCounter::Report(const HostReportQuery& query,
                          TimePoint now,
                          HostReport* report) {
  const std::lock_guard<std::mutex> lock(mutex_);
  CloseBucket(now);
  report->incarnation = incarnation_;
  report->last_count = last_number_;
  const uint64_t first_kept = last_number_ - entries_.size();
  const uint64_t after =
      query.incarnation == incarnation_ ? query.after_count : 0;
  const uint64_t skipped = std::clamp(after, first_kept, last_number_);
  for (size_t i = skipped - first_kept; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    report->usage.push_back(
        {teams_.NameOf(entry.team), now - TimeOf(entry.began), entry.requests});
  }
}

}  // namespace teaselhill::duties
